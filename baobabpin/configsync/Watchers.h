/// Which nodes watch the store, and which nodes have confirmed a revision.
///
/// \code
///   if (isWatcher(watchersOf(zone, records), self)) watch.start();
/// \endcode
#pragma once

#include "baobabpin/membership/MemberList.h"
#include "baobabpin/proto/peer.pb.h"
#include "baobabpin/store/StoreClient.h"

#include <map>
#include <vector>

namespace baobabpin::configsync {

/// Watchers in each zone; the second one covers for the first.
inline constexpr std::size_t WatchersPerZone = 2;

using MemberRecords = std::vector<const membership::MemberRecord *>;

/// The alive nodes of \p zone that watch the store, rank 0 first, by rendezvous
/// hashing: a change of one member moves the role of few nodes.
std::vector<base::NodeId> watchersOf(const base::AvailabilityZone &zone,
                                     const MemberRecords &records);

/// Revisions that nodes reported to this watcher.
using AppliedRevisions = std::map<base::NodeId, std::uint64_t>;

/// What is known of each node of \p zone: confirmed, or else why not.
proto::InForceReply confirmationsOf(const base::AvailabilityZone &zone,
                                    const MemberRecords &records,
                                    const AppliedRevisions &applied,
                                    std::uint64_t revision);

/// The same for a zone whose watchers gave no answer, from what gossip tells.
proto::InForceReply cutOffConfirmations(const base::AvailabilityZone &zone,
                                        const MemberRecords &records,
                                        std::uint64_t revision);

/// Adds the members of \p zone that \p reply, from a watcher of that zone, does
/// not name: a watcher that has just started does not know them yet.
void addMissingMembers(proto::InForceReply &reply,
                       const base::AvailabilityZone &zone,
                       const MemberRecords &records, std::uint64_t revision);

/// Adds the live hosts in the platform's list of which no member is known. Each
/// is named in place of its node.
void addUnknownHosts(proto::InForceReply &reply,
                     const std::vector<store::HostEntry> &hosts,
                     const MemberRecords &records);

} // namespace baobabpin::configsync
