/// Which node owns a database group: rendezvous hashing over the members, zone
/// by zone. Nodes with the same view choose the same owner without messages.
///
/// \code
///   auto order = ownerOrder("lending-ledger-0", zones, members);
///   // order[0] is the owner, order[1] takes over when it fails.
/// \endcode
#pragma once

#include "baobabpin/base/Identifiers.h"

#include <vector>

namespace baobabpin::routing {

struct OwnerCandidate {
  base::NodeId Node;
  base::AvailabilityZone Zone;
  /// Hash input; stays the same when a host restarts its process, so that a
  /// restart does not move groups to third nodes.
  std::string Host;
  /// False when the node cannot reach the group's primary.
  bool Fit = true;
};

/// The first \p limit candidates in order of preference: fit ones in the home
/// zone (the first of \p zones), then in the other zones of the group's
/// servers, then anywhere, then the unfit ones in the same order.
std::vector<base::NodeId>
ownerOrder(const base::GroupName &group,
           const std::vector<base::AvailabilityZone> &zones,
           const std::vector<OwnerCandidate> &candidates,
           std::size_t limit = 8);

} // namespace baobabpin::routing
