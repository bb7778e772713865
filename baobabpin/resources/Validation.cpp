#include "baobabpin/resources/Validation.h"

#include "baobabpin/resources/StoredValue.h"

#include <algorithm>
#include <set>

namespace baobabpin::resources {
namespace {

std::string serverPath(std::size_t index, const char *field) {
  return "spec.servers[" + std::to_string(index) + "]." + field;
}

/// Whether \p other has the server at \p index by ID or address.
base::Result<void> checkNotShared(const std::string &otherName,
                                  const DatabaseGroup &other,
                                  const ServerSpec &server, std::size_t index) {
  for (const auto &it : other.Servers) {
    if (it.Id == server.Id)
      return failField({serverPath(index, "id"),
                        server.Id + " belongs to group " + otherName,
                        "a server of no other group"});
    if (it.Address == server.Address)
      return failField({serverPath(index, "address"),
                        server.Address + " belongs to group " + otherName,
                        "an address of no other group"});
  }
  return {};
}

base::Result<void> checkSharedServers(const ResourceCatalog &present,
                                      const std::string &name,
                                      const DatabaseGroup &group) {
  for (const auto &otherName : present.groupNames()) {
    if (otherName == name)
      continue;
    const DatabaseGroup &other = *present.findGroup(otherName);
    for (std::size_t i = 0; i < group.Servers.size(); ++i)
      BOOST_LEAF_CHECK(checkNotShared(otherName, other, group.Servers[i], i));
  }
  return {};
}

base::Result<void> checkServerCount(const DatabaseGroup *before,
                                    const DatabaseGroup &after) {
  if (!before && after.Servers.size() % 2 == 0)
    return failField(
        {"spec.servers",
         std::to_string(after.Servers.size()) + " servers in a new group",
         "an odd number, 1 to 7"});
  if (before && countServerChanges(*before, after) > 1)
    return failField({"spec.servers", "differs by more than one server",
                      "one server added or removed; a server with a new "
                      "address must be removed first"});
  return {};
}

/// Whether an allowance depends on the last group of its database.
base::Result<void> checkStillServed(const ResourceCatalog &present,
                                    const DatabaseGroup &leaving) {
  if (present.groupsOf(leaving.Customer, leaving.Database).size() > 1)
    return {};
  for (const auto &[id, record] : present.records()) {
    const auto *it = std::get_if<StalenessAllowance>(&record.ResourceSpec);
    if (!it || it->Customer != leaving.Customer ||
        it->Database != leaving.Database)
      continue;
    return failField({"spec.database",
                      formatResourceId(id) + " refers to the last group of " +
                          leaving.Database,
                      "deletion after the allowance is deleted"});
  }
  return {};
}

base::Result<void> checkGroup(const ResourceCatalog &present,
                              const std::string &name,
                              const DatabaseGroup &group) {
  const DatabaseGroup *before = present.findGroup(name);
  BOOST_LEAF_CHECK(checkServerCount(before, group));
  BOOST_LEAF_CHECK(checkSharedServers(present, name, group));
  // Data does not move between databases when a group is relabelled.
  if (before && before->Customer != group.Customer)
    return failField(
        {"spec.customer", "differs from the present one", before->Customer});
  if (before && before->Database != group.Database)
    return failField(
        {"spec.database", "differs from the present one", before->Database});
  return {};
}

base::Result<void> checkAdmission(const ResourceCatalog &present,
                                  const std::string &name,
                                  const SessionAdmission &admission) {
  for (const auto &[id, record] : present.records()) {
    const auto *it = std::get_if<SessionAdmission>(&record.ResourceSpec);
    if (!it || id.Name == name || it->Customer != admission.Customer ||
        it->Database != admission.Database)
      continue;
    return failField(
        {"spec.database",
         formatResourceId(id) + " already speaks for " + admission.Database,
         "one admission for a customer's database"});
  }
  return {};
}

base::Result<void> checkAllowance(const ResourceCatalog &present,
                                  const std::string &name,
                                  const StalenessAllowance &allowance) {
  if (present.groupsOf(allowance.Customer, allowance.Database).empty())
    return failField(
        {"spec.database",
         "no group serves " + allowance.Database + " of " + allowance.Customer,
         "a database with at least one DatabaseGroup"});
  for (const auto &[id, record] : present.records()) {
    const auto *it = std::get_if<StalenessAllowance>(&record.ResourceSpec);
    if (!it || id.Name == name || it->Customer != allowance.Customer ||
        it->Database != allowance.Database || it->Class != allowance.Class)
      continue;
    return failField(
        {"spec.class",
         formatResourceId(id) + " already speaks for " + allowance.Class,
         "one allowance for a class"});
  }
  return {};
}

base::Result<void> checkStop(const ResourceCatalog &present,
                             const PlannedStop &stop) {
  if (stop.TargetKind == StopTarget::Server &&
      !present.groupOfServer(stop.Target))
    return failField({"spec.target", "unknown server " + stop.Target,
                      "the ID of a server in a DatabaseGroup"});
  if (stop.TargetKind == StopTarget::Primary && !present.findGroup(stop.Target))
    return failField({"spec.target", "unknown group " + stop.Target,
                      "the name of a DatabaseGroup"});
  return {};
}

base::Result<void> checkSpec(const ResourceCatalog &present,
                             const std::string &name, const Spec &spec) {
  if (const auto *it = std::get_if<DatabaseGroup>(&spec))
    return checkGroup(present, name, *it);
  if (const auto *it = std::get_if<SessionAdmission>(&spec))
    return checkAdmission(present, name, *it);
  if (const auto *it = std::get_if<StalenessAllowance>(&spec))
    return checkAllowance(present, name, *it);
  return checkStop(present, std::get<PlannedStop>(spec));
}

} // namespace

std::size_t countServerChanges(const DatabaseGroup &before,
                               const DatabaseGroup &after) {
  auto missing = [](const DatabaseGroup &from, const DatabaseGroup &in) {
    return std::count_if(
        from.Servers.begin(), from.Servers.end(), [&](const ServerSpec &it) {
          return std::none_of(in.Servers.begin(), in.Servers.end(),
                              [&](const ServerSpec &other) {
                                return other.Id == it.Id &&
                                       other.Address == it.Address;
                              });
        });
  };
  return static_cast<std::size_t>(missing(before, after) +
                                  missing(after, before));
}

base::Result<void> validateChange(const ResourceCatalog &present,
                                  const ResourceId &id,
                                  const std::optional<Spec> &spec) {
  BOOST_LEAF_CHECK(checkName(id.Name, "name"));
  if (spec)
    return checkSpec(present, id.Name, *spec);
  if (id.Kind != ResourceKind::DatabaseGroup)
    return {};
  const DatabaseGroup *group = present.findGroup(id.Name);
  if (!group)
    return {};
  return checkStillServed(present, *group);
}

base::Result<void>
validateAll(ResourceCatalog present,
            std::vector<std::pair<ResourceId, Spec>> changes) {
  std::stable_sort(
      changes.begin(), changes.end(),
      [](const auto &a, const auto &b) { return a.first.Kind < b.first.Kind; });
  std::uint64_t revision = present.highestRevision();
  std::set<ResourceId> seen;
  for (auto &[id, spec] : changes) {
    auto context = base::leaf::on_error([&id = id] { return id; });
    if (!seen.insert(id).second)
      return failField({"name", formatResourceId(id) + " is given twice",
                        "each resource once"});
    BOOST_LEAF_CHECK(validateChange(present, id, spec));
    BOOST_LEAF_AUTO(value, encodeStored({"validation", std::move(spec)}));
    BOOST_LEAF_CHECK(
        present.apply(ResourceChange{storeKey(id), ++revision, value}));
  }
  return {};
}

} // namespace baobabpin::resources
