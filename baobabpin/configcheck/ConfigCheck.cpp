#include "baobabpin/configcheck/ConfigCheck.h"

#include <set>
#include <utility>

namespace baobabpin::configcheck {
namespace {

using std::chrono::milliseconds;

std::string inMs(milliseconds it) { return std::to_string(it.count()) + " ms"; }

class Checker {
public:
  explicit Checker(const CheckedConfiguration &it)
      : Checked(it), Parsed(it.Parsed) {}

  std::vector<Finding> run() {
    for (const auto &[database, route] : Parsed.RoutesByDatabase)
      checkRoute(route);
    for (const auto &[name, group] : Parsed.Groups)
      checkGroup(group);
    if (Parsed.Organisations) {
      for (const auto &[name, organisation] : *Parsed.Organisations)
        checkOrganisation(organisation);
      checkKeys();
    }
    if (Parsed.RoutesByDatabase.empty())
      error("routes", "there is none, so no client is served");
    if (Parsed.TransactionIdle <= milliseconds(0))
      error("limits", "the idle-transaction timeout is " +
                          inMs(Parsed.TransactionIdle) +
                          ", so every transaction that rests is aborted");
    return std::move(Findings);
  }

private:
  void error(std::string where, std::string text) {
    Findings.push_back({Severity::Error, std::move(where), std::move(text)});
  }
  void warn(std::string where, std::string text) {
    Findings.push_back({Severity::Warning, std::move(where), std::move(text)});
  }

  void checkRoute(const cluster::Route &route) {
    std::string where = "route of database " + route.Database;
    if (!Parsed.Groups.contains(route.Group))
      error(where, "group " + route.Group + " does not exist");
    if (route.StatementTimeout <= milliseconds(0))
      error(where, "the time limit is " + inMs(route.StatementTimeout) +
                       ", so every statement is refused");
    else if (route.TargetLatency > route.StatementTimeout)
      error(where, "the target of " + inMs(route.TargetLatency) +
                       " is above the time limit of " +
                       inMs(route.StatementTimeout));
    if (route.TargetLatency <= milliseconds(0))
      warn(where, "the target is " + inMs(route.TargetLatency) +
                      ", which no reply meets");
    checkStaleness(route, where);
    if (route.Priority < 0)
      warn(where, "priority " + std::to_string(route.Priority) +
                      " is above the highest one, 0");
    bool needsKey = Parsed.Organisations && !route.Public;
    if (needsKey && !anyKey())
      warn(where, "no client has a key: the route is not public, and no "
                  "organisation has a usable key");
    if (route.Public && !Parsed.Organisations)
      warn(where, "public has no effect without organisations");
  }

  void checkStaleness(const cluster::Route &route, const std::string &where) {
    auto staleness = route.MaxStaleness;
    if (staleness < milliseconds(0)) {
      error(where, "the staleness is negative: " + inMs(staleness));
      return;
    }
    if (route.Reads == cluster::Consistency::Strict) {
      if (staleness > milliseconds(0))
        warn(where, "a staleness of " + inMs(staleness) +
                        " has no effect on strict reads");
      return;
    }
    if (staleness == milliseconds(0))
      warn(where, "the staleness is 0, so replicas hardly ever qualify");
    else if (staleness < route.TargetLatency)
      warn(where, "the staleness of " + inMs(staleness) +
                      " is below the target of " + inMs(route.TargetLatency));
  }

  void checkGroup(const cluster::GroupConfig &group) {
    std::string where = "group " + group.Name;
    if (group.MaxConnections < 1)
      error(where, "its servers accept " +
                       std::to_string(group.MaxConnections) + " connections");
    bool used = false;
    for (const auto &[database, route] : Parsed.RoutesByDatabase)
      used = used || route.Group == group.Name;
    if (!used)
      warn(where, "no route uses it");
  }

  void checkOrganisation(const cluster::Organisation &it) {
    std::string where = "organisation " + it.Name;
    if (it.AccessKeys.empty())
      warn(where, "it has no usable access key");
    if (it.Limit && it.Limit->Burst < 1)
      warn(where, "the burst is below one operation");
  }

  /// Reports keys that identify no organisation because several hold them, and
  /// keys that one organisation holds twice.
  void checkKeys() {
    struct Holder {
      base::OrganisationName Name;
      std::size_t Index;
    };
    std::map<std::string, Holder> first;
    for (const auto &[name, organisation] : *Parsed.Organisations) {
      for (std::size_t n = 0; n < organisation.AccessKeys.size(); ++n) {
        std::size_t index = keyIndex(Checked, name, n);
        auto [it, added] =
            first.try_emplace(organisation.AccessKeys[n], Holder{name, index});
        if (added)
          continue;
        const auto &[otherName, otherIndex] = it->second;
        std::string where =
            "organisation " + name + ", key " + std::to_string(index);
        if (otherName == name)
          warn(where, "the same as its key " + std::to_string(otherIndex));
        else
          error(where, "the same as key " + std::to_string(otherIndex) +
                           " of organisation " + otherName +
                           ", so it identifies neither");
      }
    }
  }

  bool anyKey() const {
    for (const auto &[name, it] : *Parsed.Organisations) {
      if (!it.AccessKeys.empty())
        return true;
    }
    return false;
  }

  const CheckedConfiguration &Checked;
  const cluster::Configuration &Parsed;
  std::vector<Finding> Findings;
};

} // namespace

std::size_t keyIndex(const CheckedConfiguration &it,
                     const base::OrganisationName &organisation,
                     std::size_t n) {
  auto found = it.KeyIndices.find(organisation);
  if (found == it.KeyIndices.end() || n >= found->second.size())
    return n;
  return found->second[n];
}

std::vector<Finding> checkConfiguration(const CheckedConfiguration &it) {
  return Checker(it).run();
}

std::vector<Finding> checkReplacement(const CheckedConfiguration &inForce,
                                      const CheckedConfiguration &next) {
  std::vector<Finding> findings;
  const auto &before = inForce.Parsed;
  const auto &after = next.Parsed;
  if (after.Version <= before.Version)
    findings.push_back({Severity::Error, "version",
                        std::to_string(after.Version) +
                            " is not above the version in force, " +
                            std::to_string(before.Version) +
                            ", so nodes keep that one"});
  if (before.Organisations && !after.Organisations)
    findings.push_back({Severity::Warning, "organisations",
                        "the list is removed, so no route needs a key"});
  if (!before.Organisations && after.Organisations)
    findings.push_back({Severity::Warning, "organisations",
                        "the list is new, so routes that are not public need "
                        "a key"});
  for (const auto &[database, route] : after.RoutesByDatabase) {
    auto old = before.RoutesByDatabase.find(database);
    if (old != before.RoutesByDatabase.end() && !old->second.Public &&
        route.Public && after.Organisations)
      findings.push_back({Severity::Warning, "route of database " + database,
                          "it becomes public and needs no key any more"});
  }
  return findings;
}

} // namespace baobabpin::configcheck
