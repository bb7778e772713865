/// The cluster's shared records as one node knows them, and the rule for using
/// a primary.
///
/// A node may use a group's primary while its view is at most PrimaryLease old.
/// A view is confirmed by the store, or, while the store is away, by
/// confirmQuorum() nodes that know of nothing newer.
///
/// A node that moves a group first writes the intent (GroupRecord::Moving). It
/// goes on when every registered node has acknowledged the intent, or
/// PrimaryLease after moveQuorum() nodes have: any later quorum that confirms
/// an older view would include one of them. With fewer acknowledgements it
/// waits until no view can be confirmed without the store any more. So no node
/// uses the old primary when the new one begins to commit, whether it is
/// reachable, suspended or cut off.
#pragma once

#include "baobabpin/cluster/Types.h"
#include "baobabpin/store/StoreClient.h"

#include <map>
#include <optional>
#include <string>

namespace baobabpin::cluster {

/// How long a view entitles its holder to use primaries. A node that is lost
/// together with a primary delays the move by as much, and reads of bounded
/// staleness should outlast the move; peers renew the view several times within
/// it, also while the store is away.
inline constexpr std::chrono::milliseconds PrimaryLease{1800};
/// How long after its last contact with the store, by itself or through peers,
/// a node's view may still be confirmed by a quorum. Longer than most outages
/// of the store; a move with too few nodes in touch is delayed by as much.
inline constexpr std::chrono::milliseconds OfflineLimit{8000};
/// Added by the mover to PrimaryLease for the granularity of timers.
inline constexpr std::chrono::milliseconds LeaseMargin{100};

/// How far the times of day of two hosts may differ, steps included.
inline constexpr std::chrono::milliseconds WallClockTolerance{3000};

/// Keys below the prefix that the nodes own.
inline constexpr const char *GroupKeyPart = "group/";
inline constexpr const char *NodeKeyPart = "node/";
inline constexpr const char *DutyKeyPart = "duty";

struct ClusterView {
  /// The store's revision that this view reflects; 0: nothing is known.
  std::uint64_t Revision = 0;
  /// The view was confirmed in reply to requests sent at this time.
  base::BootTime ValidatedAt{};
  /// The last confirmation that came from the store, directly or relayed.
  base::BootTime StoreSeenAt{};
  std::map<base::GroupName, Versioned<GroupRecord>> Groups;
  std::map<std::string, Versioned<NodeRecord>> Nodes;
  Versioned<DutyRecord> Duty;
};

/// Nodes, this one included, that can confirm a view without the store, of
/// \p registered ones.
std::size_t confirmQuorum(std::size_t registered);
/// Acknowledgements, the mover's own included, after which PrimaryLease bounds
/// the use of the old primary. \p recent of the registered nodes may be unknown
/// to a quorum that confirms an older view.
std::size_t moveQuorum(std::size_t registered, std::size_t recent);
/// Nodes that registered for the first time so recently that a confirming node
/// may not know them. \p wallTime is the time of day.
std::size_t countRecent(const ClusterView &view,
                        std::chrono::milliseconds wallTime);

std::string encodeRecord(const GroupRecord &it);
std::string encodeRecord(const NodeRecord &it);
std::string encodeRecord(const DutyRecord &it);

/// Adds one change; \p prefix is the nodes' own key prefix. An entry that
/// cannot be decoded is ignored and reported as false.
bool applyEntry(ClusterView &view, const std::string &prefix,
                const store::StoreEntry &entry);

/// Identifies the records of a view, whatever its revision and age.
std::uint64_t digestOf(const ClusterView &view);

/// The whole view as JSON, for a peer that cannot reach the store.
std::string encodeView(const ClusterView &view);
/// Revision 0 when \p text is no view. ValidatedAt is left unset.
ClusterView decodeView(const std::string &text);

/// Adopts \p other if it is not older, and the later of both validation times.
/// Records of groups and of the duty that \p view holds in a newer revision
/// stay (see applyGroupChange). Returns whether the contents may have changed.
bool mergeView(ClusterView &view, ClusterView other);

/// The records of one group and of the duty as JSON: what a mover tells all
/// nodes, in a few hundred bytes whatever the size of the fleet.
std::string encodeGroupChange(const ClusterView &view,
                              const base::GroupName &group);
/// Adopts the records that are newer than the view's own. The view's revision
/// stays, because of other records nothing newer is known. Returns whether
/// something changed; a text that cannot be read changes nothing.
bool applyGroupChange(ClusterView &view, const std::string &text);

/// Who asks to use a primary.
struct NodeIdentity {
  std::string Node;
  std::uint64_t Incarnation = 0;
};

/// "node/incarnation".
std::string formatIdentity(const NodeIdentity &it);

/// Why a primary cannot be used at present.
enum class PrimaryUse {
  Allowed,
  UnknownGroup,       ///< The group has no record yet.
  FailoverInProgress, ///< Another primary is being installed.
  LeaseExpired,       ///< The view is too old.
  Unregistered, ///< This node is not registered, so movers would not wait.
};

std::string_view primaryUseName(PrimaryUse use);

/// \p revokedEpoch: the highest epoch that this node has promised to stop
/// using; 0 for none.
PrimaryUse checkPrimaryUse(const ClusterView &view, const NodeIdentity &self,
                           const base::GroupName &group,
                           std::uint64_t revokedEpoch, base::BootTime now);

} // namespace baobabpin::cluster
