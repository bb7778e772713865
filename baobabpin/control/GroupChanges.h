/// The records of several groups that one change of the store writes.
///
/// \code
///   GroupChanges changes;
///   addGroup(changes, "ledger-1", record, revision);
///   cluster.change(changes.Keys, callback);
/// \endcode
#pragma once

#include "baobabpin/cluster/Types.h"
#include "platform/StoreCalls.h"

#include <cstdint>
#include <string>
#include <vector>

namespace baobabpin::control {

struct GroupChanges {
  std::vector<platform::KeyChange> Keys;
  /// The names of the groups, separated by commas, for the log.
  std::string Names;
};

/// Whether the store accepts no further key in the same change.
bool isFull(const GroupChanges &changes);

/// Adds \p record, which replaces the one of \p revision.
void addGroup(GroupChanges &changes, const base::GroupName &group,
              const cluster::GroupRecord &record, std::uint64_t revision);

} // namespace baobabpin::control
