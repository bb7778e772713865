/// Tracks which servers may hold the only copies of acknowledged commits.
///
/// With SyncReplicas, an acknowledged commit is on the primary and on that many
/// replicas, but nobody says on which. A failover therefore has to know each
/// replica that there was, also those that were lost before its coordinator
/// started. Their list, the holders, is a part of the group's record in the
/// store (GroupRecord::Holders). A run of a server is added when it registers.
/// It is removed when it has ended and its commits are known to be elsewhere:
///
///   - another server has taken over its address and its log, or
///   - hasEnded() is true of it, and SyncReplicas other replicas have received
///     the whole log that the primary had after that.
///
/// A run whose registration has gone may go on receiving commits, so it stays
/// in the list as long as it replies at its address.
///
/// Without the list, any number of replicas may be missing. The list is first
/// written when SyncReplicas replicas have received the primary's whole log.
///
/// \code
///   auto holders = addPresentRuns(*record.Holders, servers, group);
///   if (!lostRuns(holders, servers, group).empty())
///     checkReplicas(); // Writes presentRuns() when enough have caught up.
/// \endcode
#pragma once

#include "baobabpin/base/BootClock.h"
#include "baobabpin/cluster/Types.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace baobabpin::cluster {

/// All known servers by ID, those of other groups included.
using ServerMap = std::map<base::ServerId, ServerRegistration>;

/// Returns the runs of the group's servers, sorted by ID.
std::vector<ServerRun> presentRuns(const ServerMap &servers,
                                   const base::GroupName &group);

/// Returns \p holders with the group's present runs, and without those that
/// have passed their log on to a present server.
std::vector<ServerRun> addPresentRuns(std::vector<ServerRun> holders,
                                      const ServerMap &servers,
                                      const base::GroupName &group);

/// Returns the runs in \p holders that are not present and have not passed
/// their log on to a present server.
std::vector<ServerRun> lostRuns(const std::vector<ServerRun> &holders,
                                const ServerMap &servers,
                                const base::GroupName &group);

/// Returns the runs that may hold acknowledged commits and are neither the
/// primary of \p record nor among the servers that were \p heard, by ID.
std::vector<ServerRun> unheardRuns(const GroupRecord &record,
                                   const ServerMap &servers,
                                   const base::GroupName &group,
                                   const std::set<base::ServerId> &heard);

/// What a node has learned from the address of a run without a registration.
struct RunEvidence {
  /// The number of times in a row that the address refused connections or
  /// belonged to another server.
  int Absences = 0;
  /// Since when there was no sign of the run.
  std::optional<base::BootTime> NoSignSince;
};

/// What one attempt to reach the run has shown.
enum class RunSign { Alive, Absent, None };

/// A refused connection may also be due to a reset on the way, so that one does
/// not count.
inline constexpr int AbsencesNeeded = 2;
/// A run that gives no sign for this long is taken for ended, although it may
/// be cut off from this node. A server that the store and the nodes do not
/// reach is assumed not to receive commits either; without this limit, a host
/// without power would stop its group for good when the primary fails as well.
inline constexpr std::chrono::milliseconds NoSignLimit{10000};

/// Adds the result of an attempt that ended at \p now.
void noteSign(RunEvidence &evidence, RunSign sign, base::BootTime now);
/// Returns whether the run has ended.
bool hasEnded(const RunEvidence &evidence, base::BootTime now);

/// Adds the holders that \p other names to those of \p record, a record of the
/// same epoch. A list that is known replaces an unknown one. Returns whether
/// \p record has changed.
bool mergeHolders(GroupRecord &record, const GroupRecord &other);

} // namespace baobabpin::cluster
