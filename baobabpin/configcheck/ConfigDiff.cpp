#include "baobabpin/configcheck/ConfigCheck.h"

#include <algorithm>
#include <map>
#include <optional>
#include <sstream>
#include <utility>

namespace baobabpin::configcheck {
namespace {

using Organisations = std::map<base::OrganisationName, cluster::Organisation>;

std::string numberText(double it) {
  std::ostringstream out;
  out << it;
  return out.str();
}

std::string consistencyText(cluster::Consistency it) {
  switch (it) {
  case cluster::Consistency::Strict:
    return "strict";
  case cluster::Consistency::BoundedStaleness:
    return "bounded staleness";
  case cluster::Consistency::ReadYourWrites:
    break;
  }
  return "read your writes";
}

/// Collects the changed fields of one entry.
class FieldChanges {
public:
  void compare(const std::string &field, const std::string &before,
               const std::string &after) {
    if (before != after)
      add(field + " " + before + " -> " + after);
  }
  void compare(const std::string &field, std::chrono::milliseconds before,
               std::chrono::milliseconds after) {
    compare(field, std::to_string(before.count()) + " ms",
            std::to_string(after.count()) + " ms");
  }
  void compare(const std::string &field, int before, int after) {
    compare(field, std::to_string(before), std::to_string(after));
  }
  void add(const std::string &text) {
    if (!Text.empty())
      Text += ", ";
    Text += text;
  }
  std::string take() { return std::move(Text); }

private:
  std::string Text;
};

std::string compareRoutes(const cluster::Route &before,
                          const cluster::Route &after) {
  FieldChanges it;
  it.compare("name", before.Name, after.Name);
  it.compare("group", before.Group, after.Group);
  it.compare("reads", consistencyText(before.Reads),
             consistencyText(after.Reads));
  it.compare("time limit", before.StatementTimeout, after.StatementTimeout);
  it.compare("target", before.TargetLatency, after.TargetLatency);
  it.compare("staleness", before.MaxStaleness, after.MaxStaleness);
  it.compare("priority", before.Priority, after.Priority);
  it.compare("public", before.Public ? "yes" : "no",
             after.Public ? "yes" : "no");
  return it.take();
}

std::string compareGroups(const cluster::GroupConfig &before,
                          const cluster::GroupConfig &after) {
  FieldChanges it;
  it.compare("connections", before.MaxConnections, after.MaxConnections);
  it.compare("synchronous replicas", before.SyncReplicas, after.SyncReplicas);
  return it.take();
}

std::string limitText(const std::optional<cluster::RateLimit> &it) {
  if (!it)
    return "none";
  return numberText(it->Rate) + "/s with burst " + numberText(it->Burst);
}

/// Names the keys of \p organisation that \p other does not hold.
void addMissingKeys(FieldChanges &changes, const CheckedConfiguration &of,
                    const cluster::Organisation &organisation,
                    const cluster::Organisation &other,
                    const std::string &what) {
  for (std::size_t n = 0; n < organisation.AccessKeys.size(); ++n) {
    if (std::ranges::find(other.AccessKeys, organisation.AccessKeys[n]) ==
        other.AccessKeys.end())
      changes.add("key " + std::to_string(keyIndex(of, organisation.Name, n)) +
                  " " + what);
  }
}

template <typename Entries, typename Compare>
void compareEntries(std::vector<Change> &changes, const std::string &label,
                    const Entries &before, const Entries &after,
                    const Compare &compare) {
  for (const auto &[name, entry] : before) {
    auto it = after.find(name);
    if (it == after.end()) {
      changes.push_back({ChangeKind::Removed, label + name, ""});
      continue;
    }
    if (auto text = compare(entry, it->second); !text.empty())
      changes.push_back({ChangeKind::Changed, label + name, std::move(text)});
  }
  for (const auto &[name, entry] : after) {
    if (!before.contains(name))
      changes.push_back({ChangeKind::Added, label + name, ""});
  }
}

} // namespace

std::vector<Change> listChanges(const CheckedConfiguration &inForce,
                                const CheckedConfiguration &next) {
  const auto &before = inForce.Parsed;
  const auto &after = next.Parsed;
  std::vector<Change> changes;
  if (before.Version != after.Version)
    changes.push_back({ChangeKind::Changed, "version",
                       std::to_string(before.Version) + " -> " +
                           std::to_string(after.Version)});
  compareEntries(changes, "route of database ", before.RoutesByDatabase,
                 after.RoutesByDatabase, compareRoutes);
  compareEntries(changes, "group ", before.Groups, after.Groups, compareGroups);
  if (before.Organisations.has_value() != after.Organisations.has_value())
    changes.push_back(
        {after.Organisations ? ChangeKind::Added : ChangeKind::Removed,
         "list of organisations", ""});
  compareEntries(
      changes, "organisation ", before.Organisations.value_or(Organisations{}),
      after.Organisations.value_or(Organisations{}),
      [&](const cluster::Organisation &old, const cluster::Organisation &now) {
        FieldChanges it;
        it.compare("rate limit", limitText(old.Limit), limitText(now.Limit));
        addMissingKeys(it, inForce, old, now, "of the list in force removed");
        addMissingKeys(it, next, now, old, "added");
        return it.take();
      });
  FieldChanges limits;
  limits.compare("idle-transaction timeout", before.TransactionIdle,
                 after.TransactionIdle);
  if (auto text = limits.take(); !text.empty())
    changes.push_back({ChangeKind::Changed, "limits", std::move(text)});
  return changes;
}

} // namespace baobabpin::configcheck
