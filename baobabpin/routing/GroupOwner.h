/// Which node owns a database group: rendezvous hashing over the members, zone
/// by zone. Nodes with the same view choose the same owner without messages.
///
/// \code
///   OwnerCandidates candidates;
///   addCandidate(candidates, {node, zone, host});
///   auto order = ownerOrder("lending-ledger-0", zones, candidates);
///   // order.Nodes[0] is the owner, order.Nodes[1] takes over when it fails.
/// \endcode
#pragma once

#include "baobabpin/base/Identifiers.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace baobabpin::routing {

struct OwnerCandidate {
  base::NodeId Node;
  base::AvailabilityZone Zone;
  /// Hash input; stays the same when a host restarts its process, so that a
  /// restart does not move groups to third nodes.
  std::string Host;
  /// Groups whose primary the node cannot reach.
  std::set<base::GroupName> UnfitGroups;
  /// Set by addCandidate().
  std::uint64_t HostHash = 0;
};

/// The members by zone. Built once for each change of the members: a group's
/// owner is then found by looking at its home zone only.
using OwnerCandidates =
    std::map<base::AvailabilityZone, std::vector<OwnerCandidate>>;

void addCandidate(OwnerCandidates &candidates, OwnerCandidate candidate);

struct OwnerOrder {
  /// In order of preference; the first is the owner.
  std::vector<base::NodeId> Nodes;
  /// Every member has declared itself unfit for the group.
  bool AllUnfit = false;
};

/// The first \p limit candidates in order of preference: fit ones in the home
/// zone (the first of \p zones), then in the other zones of the group's
/// servers, then anywhere, then the unfit ones in the same order.
OwnerOrder ownerOrder(const base::GroupName &group,
                      const std::vector<base::AvailabilityZone> &zones,
                      const OwnerCandidates &candidates, std::size_t limit = 8);

} // namespace baobabpin::routing
