/// All resources a node knows, indexed for the questions it asks for each
/// request. Built from store changes in any order; a change takes effect only
/// with a higher revision than the key has, so the catalog never reverts.
///
/// \code
///   BOOST_LEAF_AUTO(changed, catalog.apply({key, revision, value}));
///   const auto &groups = catalog.groupsOf("bukhan-grip", "lending-ledger");
/// \endcode
#pragma once

#include "baobabpin/base/Errors.h"
#include "baobabpin/resources/Kinds.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace baobabpin::resources {

/// A store key's value, or its deletion when Value is empty.
struct ResourceChange {
  std::string Key;
  std::uint64_t Revision = 0;
  std::optional<std::string> Value;
};

/// A resource with the store revision that wrote it.
struct ResourceRecord {
  ResourceId Id;
  std::uint64_t Revision = 0;
  Spec ResourceSpec;
};

/// Where a customer's database has several admissions, or a class several
/// allowances, the first by name counts; validateChange refuses to add them.
class ResourceCatalog {
public:
  using SpecMap = std::map<ResourceId, ResourceRecord>;

  /// Takes one change; false when the key already has this or a higher
  /// revision. A value that cannot be read is a failure and leaves the
  /// previous spec in force.
  base::Result<bool> apply(const ResourceChange &change);

  /// Names of the groups of a customer's database, ascending; the same order on
  /// every node. Empty for an unknown database.
  const std::vector<base::GroupName> &
  groupsOf(const std::string &customer, const std::string &database) const;
  /// Null when no such group is declared. Valid until the next apply().
  const DatabaseGroup *findGroup(const base::GroupName &name) const;
  /// All group names, ascending.
  std::vector<base::GroupName> groupNames() const;
  /// The group that the server belongs to; empty when there is none.
  std::optional<base::GroupName> groupOfServer(const base::ServerId &id) const;

  /// Null when nothing is admitted. Valid until the next apply().
  const SessionAdmission *admissionOf(const std::string &customer,
                                      const std::string &database) const;
  /// Null when the class is not admitted. Valid until the next apply().
  const AdmittedClass *admittedClass(const std::string &customer,
                                     const std::string &database,
                                     const std::string &name) const;
  /// Empty when reads of the class have no stated allowance.
  std::optional<std::chrono::milliseconds>
  allowance(const std::string &customer, const std::string &database,
            const std::string &requestClass) const;

  /// Planned stops in name order.
  std::vector<std::pair<std::string, PlannedStop>> plannedStops() const;
  /// The stop with the earliest deadline for the target; empty when none.
  std::optional<PlannedStop> findStop(StopTarget kind,
                                      const std::string &target) const;

  const SpecMap &records() const { return Records; }
  const ResourceRecord *find(const ResourceId &id) const;
  /// Revision of the resource or of its deletion; 0 when never seen.
  std::uint64_t revisionOf(const ResourceId &id) const;
  /// Of any change seen, deletions included.
  std::uint64_t highestRevision() const { return Highest; }

private:
  using DatabaseKey = std::pair<std::string, std::string>;
  using ClassKey = std::tuple<std::string, std::string, std::string>;

  void addToIndexes(const ResourceRecord &record);
  void removeFromIndexes(const ResourceRecord &record);

  SpecMap Records;
  /// Revisions of all keys, including deleted ones.
  std::map<ResourceId, std::uint64_t> Revisions;
  std::uint64_t Highest = 0;
  std::map<DatabaseKey, std::vector<base::GroupName>> Groups;
  std::map<base::ServerId, std::vector<base::GroupName>> ServerGroups;
  std::map<DatabaseKey, std::vector<std::string>> Admissions;
  std::map<ClassKey, std::vector<std::string>> Allowances;
};

} // namespace baobabpin::resources
