/// Keeps the holders of acknowledged commits in the records of the groups with
/// SyncReplicas (cluster/CommitHolders.h).
///
/// One node does so, the first monitor; another one only if it does not. A
/// change of a group's servers costs one write to the store. Servers are asked
/// for their status only while the holders of their group are unknown, or one
/// of them has gone.
///
/// \code
///   HolderKeeper keeper(cluster, access, log);
///   keeper.tick(); // Periodically.
/// \endcode
#pragma once

#include "baobabpin/cluster/CommitHolders.h"
#include "baobabpin/control/ClusterService.h"
#include "baobabpin/control/ServerAccess.h"
#include "baobabpin/kernel/LineLog.h"

#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace baobabpin::control {

class HolderKeeper {
public:
  HolderKeeper(ClusterService &cluster, const ServerAccess &access,
               kernel::LineLog &log)
      : Cluster(cluster), Access(access), Log(log) {}

  /// Brings the records up to date, as far as that is this node's turn.
  void tick();

private:
  /// One check whether the commits of lost holders are elsewhere.
  struct Check;
  using CheckPtr = std::shared_ptr<Check>;
  /// What this node does about one group whose record is not up to date.
  struct GroupState {
    base::BootTime NeededSince{};
    base::BootTime NextCheck{};
    CheckPtr Running;
    /// What is known of the holders without a registration, by the ID and the
    /// start of the run.
    std::map<std::pair<base::ServerId, std::int64_t>, cluster::RunEvidence>
        Evidence;
  };

  void updateGroup(const cluster::GroupConfig &group, base::BootTime now);
  void startCheck(const cluster::GroupConfig &group,
                  const cluster::Versioned<cluster::GroupRecord> &record);
  /// Asks the holders without a registration whether they run.
  void askMissing(const CheckPtr &check);
  /// Notes in Check::Ended which holders have ended. Only what the primary's
  /// log has after that shows that their commits are elsewhere.
  void onMissingAsked(const CheckPtr &check);
  /// Asks the primary for the end of its log.
  void askPrimary(const CheckPtr &check);
  /// Asks the replicas for their status, after the primary's log is known to
  /// end at Check::End.
  void askReplicas(const CheckPtr &check);
  /// Gives a check up.
  void abandon(const CheckPtr &check);
  void endCheck(const CheckPtr &check);
  /// Notes the record that is to be written for the group.
  void setDue(const base::GroupName &group, cluster::GroupRecord record);
  void writeDue();

  ClusterService &Cluster;
  const ServerAccess &Access;
  kernel::LineLog &Log;
  std::map<base::GroupName, GroupState> States;
  /// The records to write next.
  std::map<base::GroupName, cluster::Versioned<cluster::GroupRecord>> Due;
  /// The outcome of a change of records is not known yet.
  bool Writing = false;
};

} // namespace baobabpin::control
