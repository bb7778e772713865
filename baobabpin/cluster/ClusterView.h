/// The cluster's shared records as one node knows them, and the rule for using
/// a primary.
///
/// A node may use a group's primary while its view is at most PrimaryLease old.
/// A node that moves a group first writes the intent (GroupRecord::Moving) and
/// then waits until every registered node has acknowledged it or PrimaryLease
/// has passed since the write. So no node uses the old primary when the new one
/// begins to commit, whether it is reachable, suspended or cut off.
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
/// Added by the mover to PrimaryLease for the granularity of timers.
inline constexpr std::chrono::milliseconds LeaseMargin{100};

/// Keys below the prefix that the nodes own.
inline constexpr const char *GroupKeyPart = "group/";
inline constexpr const char *NodeKeyPart = "node/";
inline constexpr const char *DutyKeyPart = "duty";

struct ClusterView {
  /// The store's revision that this view reflects; 0: nothing is known.
  std::uint64_t Revision = 0;
  /// The store confirmed the view in reply to a request sent at this time.
  base::BootTime ValidatedAt{};
  std::map<base::GroupName, Versioned<GroupRecord>> Groups;
  std::map<std::string, Versioned<NodeRecord>> Nodes;
  Versioned<DutyRecord> Duty;
};

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

/// Adopts \p other if it is newer, and the later of both validation times.
/// Returns whether the contents changed.
bool mergeView(ClusterView &view, ClusterView other);

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
  UnknownGroup, ///< The group has no record yet.
  Moving,       ///< Another primary is being installed.
  LeaseExpired, ///< The view is too old.
  Unregistered, ///< This node is not registered, so movers would not wait.
};

std::string_view primaryUseName(PrimaryUse use);

/// \p revokedEpoch: the highest epoch that this node has promised to stop
/// using; 0 for none.
PrimaryUse checkPrimaryUse(const ClusterView &view, const NodeIdentity &self,
                           const base::GroupName &group,
                           std::uint64_t revokedEpoch, base::BootTime now);

} // namespace baobabpin::cluster
