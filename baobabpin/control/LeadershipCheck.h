/// Notices a primary that runs but does not lead any more.
///
/// A promotion call that the network or the platform holds up may take effect
/// after another server was promoted and recorded. The recorded primary then
/// becomes a replica; it replies, so that no node takes it for dead, and
/// refuses every write.
///
/// There is doubt if the primary registers as a replica or has refused a write.
/// Both may be out of date, so the server itself is then asked for its status,
/// at most once in CheckPeriod, and only its answer counts.
///
/// \code
///   LeadershipCheck check(cluster, access, log);
///   check.OnDeposed = [this](const auto &group) { announce(group); };
///   check.update("ledger-1"); // Periodically, while its record is settled.
/// \endcode
#pragma once

#include "baobabpin/control/ClusterService.h"
#include "baobabpin/control/ServerAccess.h"
#include "baobabpin/kernel/LineLog.h"

#include <functional>
#include <map>
#include <memory>

namespace baobabpin::control {

class LeadershipCheck {
public:
  LeadershipCheck(ClusterService &cluster, const ServerAccess &access,
                  kernel::LineLog &log)
      : Cluster(cluster), Access(access), Log(log) {}

  /// Called when the recorded primary has answered that it is a replica.
  std::function<void(const base::GroupName &)> OnDeposed;

  /// Checks the group's primary if there is doubt and it is this node's turn.
  /// The group must have a record, and no failover in progress. \p own is what
  /// this node has observed of the primary.
  void update(const base::GroupName &group,
              const cluster::PrimaryObservation &own);

private:
  struct State {
    base::BootTime DoubtSince{};
    base::BootTime NextCheck{};
    /// The outstanding query; its callback holds a weak reference.
    std::shared_ptr<const std::uint64_t> AskedAtRevision;
  };

  /// Whether anything says that the recorded primary does not lead.
  bool isInDoubt(const base::GroupName &group,
                 const cluster::PrimaryObservation &own) const;
  void ask(const base::GroupName &group);

  ClusterService &Cluster;
  const ServerAccess &Access;
  kernel::LineLog &Log;
  std::map<base::GroupName, State> States;
};

} // namespace baobabpin::control
