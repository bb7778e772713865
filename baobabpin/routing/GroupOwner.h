/// Chooses the node that owns a database group by rendezvous hashing over the
/// members, zone by zone. Nodes with the same view of the members choose the
/// same owner without exchanging messages.
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

/// A member that may own groups.
struct OwnerCandidate {
  base::NodeId Node;
  base::AvailabilityZone Zone;
  /// Input of the hash. It stays the same when the host restarts its process,
  /// so that a restart does not move its groups to other hosts or theirs to it.
  std::string Host;
  /// Groups that the node has declared itself unfit to own, because it can't
  /// reach their primary or a majority of their servers.
  std::set<base::GroupName> UnfitGroups;
  /// Hash of Host; set by addCandidate().
  std::uint64_t HostHash = 0;
};

/// The members by zone, so that the search for a group's owner need not rank
/// the members of further zones once its limit is reached. The map is rebuilt
/// at each change of the members.
using OwnerCandidates =
    std::map<base::AvailabilityZone, std::vector<OwnerCandidate>>;

/// Adds \p candidate to its zone and sets its HostHash.
void addCandidate(OwnerCandidates &candidates, OwnerCandidate candidate);

struct OwnerOrder {
  /// The nodes in order of preference; the first one is the owner.
  std::vector<base::NodeId> Nodes;
  /// Whether every member has declared itself unfit for the group.
  bool AllUnfit = false;
};

/// Returns the first \p limit candidates in order of preference. Fit nodes come
/// first: those in the home zone (the first of \p zones), then those in the
/// other zones of the group's servers, then all others. Unfit nodes follow in
/// the same order of zones.
OwnerOrder ownerOrder(const base::GroupName &group,
                      const std::vector<base::AvailabilityZone> &zones,
                      const OwnerCandidates &candidates, std::size_t limit = 8);

} // namespace baobabpin::routing
