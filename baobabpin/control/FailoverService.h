/// Sees to it that every group has a primary: creates the records of new
/// groups, moves groups whose primary is gone or leaving, and retires nodes
/// that cannot be reached.
///
/// A move is driven by its record in the store, so that a lost reply, a restart
/// or a takeover continues where the record says:
///   intent written -> all nodes stopped -> old primary stepped down -> replica
///   chosen -> promoted -> leads -> record written.
#pragma once

#include "baobabpin/cluster/MoveDecision.h"
#include "baobabpin/control/ClusterService.h"
#include "baobabpin/kernel/Kernel.h"
#include "baobabpin/kernel/LineLog.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace baobabpin::control {

/// Access to the servers, by the service that holds their connections.
struct ServerAccess {
  std::function<cluster::PrimaryObservation(const base::GroupName &)> Observe;
  /// Runs one statement of the proxy's own. Nothing: no reply in time.
  std::function<void(const base::ServerId &, const std::string &line,
                     std::chrono::milliseconds timeout,
                     std::function<void(std::optional<sql::Reply>)>)>
      Query;
};

class FailoverService : public kernel::Service {
public:
  FailoverService(http::Endpoint promotions, ServerAccess access,
                  kernel::LineLog &log);
  ~FailoverService() override;

  std::string_view name() const override { return "failover"; }
  base::Result<void> start(kernel::Kernel &kernel) override;
  void stop() override;

  bool isFailingOver(const base::GroupName &group) const;
  /// Checks the group's primary at the next tick.
  void check(const base::GroupName &group);

private:
  struct Move;
  using MovePtr = std::shared_ptr<Move>;
  struct GroupWatch {
    base::BootTime NextPoll{};
    /// A peer suspects the primary.
    bool Asked = false;
    bool Polling = false;
    /// When the present record was first seen.
    base::BootTime RecordSeen{};
    std::uint64_t RecordRevision = 0;
  };

  void tick();
  void checkGroup(const base::GroupName &group);
  void createRecord(const base::GroupName &group);
  void pollPeers(const base::GroupName &group, bool takeOver);
  void onEvidence(const base::GroupName &group,
                  const cluster::MoveQuestion &question);
  void writeIntent(const base::GroupName &group);
  void startMove(const base::GroupName &group);
  bool isCurrent(const MovePtr &move) const;
  /// Runs \p step on the next occasion if the move still is current.
  void later(const MovePtr &move, std::chrono::milliseconds delay,
             void (FailoverService::*step)(const MovePtr &));
  void revokePeer(const MovePtr &move, const PeerNode &peer);
  void waitForRevocation(const MovePtr &move);
  /// Whether no node that did not answer can use the old primary any more.
  bool hasLeaseEnded(const MovePtr &move) const;
  void stepDown(const MovePtr &move);
  void queryCandidates(const MovePtr &move);
  void choose(const MovePtr &move);
  void promote(const MovePtr &move);
  void awaitLead(const MovePtr &move);
  void finish(const MovePtr &move);
  void logMove(const MovePtr &move, std::string_view stage);

  ServerAccess Access;
  kernel::LineLog &Log;
  http::Endpoint PromotionsEndpoint;
  std::unique_ptr<platform::Promotions> Promotions;
  kernel::Kernel *Kernel = nullptr;
  ClusterService *Cluster = nullptr;
  std::map<base::GroupName, GroupWatch> Watches;
  /// Groups without a record, since when.
  std::map<base::GroupName, base::BootTime> Missing;
  std::map<base::GroupName, MovePtr> Moves;
  bool Writing = false;
  base::BootTime StartedAt{};
  kernel::Timer Ticker;
};

} // namespace baobabpin::control
