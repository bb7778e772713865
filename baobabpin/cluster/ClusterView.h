/// The shared records of the cluster as one node knows them (the view), and the
/// rule for the use of a primary.
///
/// A node may use the primary of a group only while its view was confirmed
/// within its lease (NodeRecord::Lease). The store confirms a view. While the
/// store is unreachable, confirmQuorum() nodes that know of nothing newer
/// confirm it.
///
/// The node that runs a failover, its coordinator, first writes an intent:
/// GroupRecord::FailoverInProgress. It then asks every registered node to
/// acknowledge that it has stopped using the old primary. The failover
/// continues in one of three cases:
///
///   - All registered nodes have acknowledged.
///   - The longest lease of any node has passed since revocationQuorum() nodes
///     acknowledged. Any later quorum that could confirm an older view would
///     include one of them.
///   - OfflineLimit and that lease have passed, so that no view without the
///     intent can be in use any more.
///
/// Hence no node uses the old primary when the new one begins to commit, no
/// matter whether the node is reachable, suspended or partitioned.
///
/// The store may be restored from an older copy (base/StorePosition.h). Views
/// are ordered by era first. What a node knows of the lost records is kept as a
/// hint, and conditional changes use the revisions of the new era. Epochs and
/// fencing tokens begin at firstNumberOf(era), so that they never repeat those
/// of lost records.
///
/// A record of an earlier era may be an older one than the last, so its primary
/// may have been replaced. It is used again only after a coordinator has
/// verified it (isVerified()) in one of two ways:
///
///   - Of the nodes that were registered before the restore, confirmQuorum()
///     know of no later record and of no failover. One of them would have
///     acknowledged it.
///   - The coordinator has made all nodes stop using the primary, as for a
///     failover, and all servers of the group agree which one leads.
#pragma once

#include "baobabpin/base/StorePosition.h"
#include "baobabpin/cluster/Types.h"
#include "baobabpin/store/StoreClient.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace baobabpin::cluster {

/// The longest time for which a confirmed view allows a node to use primaries.
/// A failover takes longer by the lease when a node is lost together with the
/// primary. In a large fleet a confirmation passes through several nodes, and
/// must be renewed several times within the lease.
inline constexpr std::chrono::milliseconds PrimaryLease{1800};
/// The lease in a small fleet, where all nodes get their confirmations from the
/// reader of the store. It ends before reads of bounded staleness are refused.
inline constexpr std::chrono::milliseconds SmallFleetLease{1200};
/// The time after the last confirmation by the store, received directly or
/// through peers, for which a quorum of nodes may still confirm a node's view.
/// It is longer than most outages of the store. A failover in which too few
/// nodes acknowledge takes longer by this time.
inline constexpr std::chrono::milliseconds OfflineLimit{8000};
/// The coordinator of a failover adds this to PrimaryLease, for the granularity
/// of timers.
inline constexpr std::chrono::milliseconds LeaseMargin{100};

/// The largest difference between the wall clocks of two hosts, including steps
/// of a clock.
inline constexpr std::chrono::milliseconds WallClockTolerance{3000};

/// Keys of the nodes' shared records, below the key prefix of the nodes.
inline constexpr const char *GroupKeyPart = "group/";
inline constexpr const char *NodeKeyPart = "node/";
inline constexpr const char *DutyKeyPart = "duty";

/// The shared records as of one revision of the store.
struct ClusterView {
  /// The era of the store that this view reflects.
  std::uint64_t Era = 0;
  /// The store's revision that this view reflects. It is 0 when nothing is
  /// known.
  std::uint64_t Revision = 0;
  /// The time at which the requests were sent whose replies last confirmed the
  /// view.
  base::BootTime ConfirmedAt{};
  /// The same for the last confirmation by the store, received directly or
  /// through a peer.
  base::BootTime StoreConfirmedAt{};
  std::map<base::GroupName, Versioned<GroupRecord>> Groups;
  std::map<std::string, Versioned<NodeRecord>> Nodes;
  Versioned<DutyRecord> Duty;
};

/// Returns the position in the store's history that the view reflects.
base::StorePosition positionOf(const ClusterView &view);

/// The number of epochs and of fencing tokens of one era. No group has as many
/// failovers.
inline constexpr std::uint64_t NumbersPerEra = 1'000'000'000;

/// Returns a number that is greater than all epochs and fencing tokens of
/// earlier eras, and not greater than those of \p era.
constexpr std::uint64_t firstNumberOf(std::uint64_t era) {
  return era * NumbersPerEra;
}

/// Returns whether the record was written, or verified, since \p era began.
constexpr bool isVerified(const GroupRecord &record, std::uint64_t era) {
  return record.Epoch > firstNumberOf(era);
}

/// What a node knows of a group's latest record.
struct KnownRecord {
  std::uint64_t Epoch = 0;
  bool FailoverInProgress = false;
};

/// Returns whether \p record is the last one of the earlier era and its primary
/// may be used, according to the nodes that were registered before the store
/// was restored. \p others is what they know, without this node, and \p quorum
/// the confirmQuorum() of all nodes that may have been registered.
bool isLatestRecord(const GroupRecord &record,
                    const std::vector<KnownRecord> &others, std::size_t quorum);

/// Returns whether the record announces that the group's primary is being
/// verified, which runs like a failover.
constexpr bool isBeingVerified(const GroupRecord &record, std::uint64_t era) {
  return record.FailoverInProgress && record.Epoch == firstNumberOf(era);
}

/// Returns the fencing token that follows \p last in \p era.
std::uint64_t nextToken(std::uint64_t last, std::uint64_t era);

/// Returns the number of nodes, this one included, that can confirm a view
/// without the store when \p registered nodes are registered.
std::size_t confirmQuorum(std::size_t registered);
/// Returns the number of acknowledgements, the coordinator's own included,
/// after which no node uses the old primary for longer than its lease.
/// \p recent is the number of registered nodes that a quorum which confirms an
/// older view may not know.
std::size_t revocationQuorum(std::size_t registered, std::size_t recent);
/// Counts the nodes whose first registration is so recent that a node which
/// confirms a view may not know them. \p wallTime is the current Unix time.
std::size_t countRecentlyAdded(const ClusterView &view,
                               std::chrono::milliseconds wallTime);

/// Return the JSON text of a record in the store.
std::string encodeRecord(const GroupRecord &it);
std::string encodeRecord(const NodeRecord &it);
std::string encodeRecord(const DutyRecord &it);

/// Applies one entry of the store to \p view. \p prefix is the key prefix of
/// the nodes. Returns false for an entry that cannot be decoded, which is
/// ignored.
bool applyEntry(ClusterView &view, const std::string &prefix,
                const store::StoreEntry &entry);

/// Returns a hash of the records of \p view, without its revision and its age.
std::uint64_t digestOf(const ClusterView &view);

/// Encodes the whole view as JSON for a peer that cannot reach the store.
std::string encodeView(const ClusterView &view);
/// Decodes the text of encodeView(). The revision is 0 when \p text is
/// malformed. ConfirmedAt and StoreConfirmedAt are not set.
ClusterView decodeView(const std::string &text);

/// Adopts \p other unless it is older than \p view, and keeps the later of both
/// confirmation times. Records of groups and of the promotion duty that \p view
/// has in a newer revision are kept (see applyGroupChange). If \p other is of a
/// later era, its confirmation times replace those of \p view, and a record of
/// \p view with a higher epoch or token replaces the contents, but not the
/// revision, of the one in \p other. Returns whether the records may have
/// changed.
bool mergeView(ClusterView &view, ClusterView other);

/// Encodes the records of one group and of the promotion duty as JSON. The
/// coordinator of a failover sends it to all nodes; it takes a few hundred
/// bytes for any number of nodes.
std::string encodeGroupChange(const ClusterView &view,
                              const base::GroupName &group);
/// Adopts the records of \p text that are newer than those of \p view, if both
/// are of the same era. The revision of the view does not change, because the
/// text says nothing about the other records. Returns whether a record changed;
/// a malformed text changes nothing.
bool applyGroupChange(ClusterView &view, const std::string &text);

/// One run of a node.
struct NodeIdentity {
  std::string Node;
  std::uint64_t Incarnation = 0;
};

/// Returns "node/incarnation".
std::string formatIdentity(const NodeIdentity &it);

/// Whether a node may use a primary, and if not, why.
enum class PrimaryUse {
  Allowed,
  UnknownGroup,       ///< The group has no record yet.
  FailoverInProgress, ///< The primary is being replaced.
  Unverified,         ///< The store was restored, and nobody has verified since
                      ///< then that the primary still leads.
  LeaseExpired,       ///< The last confirmation of the view is too old.
  Unregistered,       ///< This run of the node has no valid registration, so a
                      ///< coordinator would not wait for it.
};

std::string_view primaryUseName(PrimaryUse use);

/// Returns the longest lease of the registered nodes, at least SmallFleetLease.
std::chrono::milliseconds longestLease(const ClusterView &view);

/// Returns whether most registered nodes have the lease of a small fleet.
bool usesSmallFleetLease(const ClusterView &view);

/// Returns the lease that the node \p self may use: \p wanted, but no more than
/// its record says, because a coordinator waits for the lease in the record. A
/// node whose last change may still take effect (\p uncertain) uses the
/// shortest lease, because its record may be about to say so.
std::chrono::milliseconds usableLease(const ClusterView &view,
                                      const std::string &self,
                                      std::chrono::milliseconds wanted,
                                      bool uncertain);

/// Checks whether the node \p self may use the primary of \p group. \p lease is
/// the result of usableLease().
/// \p revokedEpoch is the highest epoch whose primary the node has promised not
/// to use any more, or 0 if there is none.
PrimaryUse checkPrimaryUse(const ClusterView &view, const NodeIdentity &self,
                           const base::GroupName &group,
                           std::uint64_t revokedEpoch,
                           std::chrono::milliseconds lease, base::BootTime now);

} // namespace baobabpin::cluster
