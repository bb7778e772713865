/// Keeps a usable primary in every group: creates the records of new groups,
/// and replaces a primary that has failed or is leaving.
///
/// The group's record in the store drives a failover, so that it continues
/// correctly after a lost reply, a restart, or a takeover by another
/// coordinator. The steps are: write the intent, wait until no node uses the
/// old primary, make the old primary step down, choose a replica, promote it,
/// wait until it leads, and write the new record.
///
/// With SyncReplicas, a group's record also names the servers that may hold
/// acknowledged commits (HolderKeeper.h).
///
/// After the store was restored from an older copy, the primary of each group
/// is verified (cluster/ClusterView.h, RecordVerifier.h). If the nodes do not
/// remember enough, the steps of a failover are taken, except that no server
/// steps down or is promoted if the servers agree which one leads.
#pragma once

#include "baobabpin/cluster/MoveDecision.h"
#include "baobabpin/control/ClusterService.h"
#include "baobabpin/control/HolderKeeper.h"
#include "baobabpin/control/LeadershipCheck.h"
#include "baobabpin/control/PromotionCalls.h"
#include "baobabpin/control/RecordVerifier.h"
#include "baobabpin/control/ServerAccess.h"
#include "baobabpin/kernel/Kernel.h"
#include "baobabpin/kernel/LineLog.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace baobabpin::control {

class FailoverService : public kernel::Service {
public:
  FailoverService(http::Endpoint promotions, ServerAccess access,
                  kernel::LineLog &log);
  ~FailoverService() override;

  std::string_view name() const override { return "failover"; }
  base::Result<void> start(kernel::Kernel &kernel) override;
  void stop() override;

  /// Returns whether this node is running a failover of the group.
  bool isFailingOver(const base::GroupName &group) const;
  /// Returns whether a promotion that this node has requested for the group, as
  /// a coordinator that another one has replaced, may still take effect. A call
  /// that has not been written is withdrawn.
  bool mayPromoteLate(const base::GroupName &group);
  /// Checks the group's primary at the next tick, because a peer suspects it.
  void check(const base::GroupName &group);

private:
  /// A failover that this node coordinates.
  struct Failover;
  struct EvidenceRound;
  using FailoverPtr = std::shared_ptr<Failover>;
  /// The state of the checks of one group.
  struct GroupCheckState {
    base::BootTime NextPoll{};
    /// A peer suspects the primary.
    bool SuspectedByPeer = false;
    /// Replies of the peers are outstanding.
    bool Polling = false;
    /// When the current revision of the record was first seen.
    base::BootTime RecordSeen{};
    base::StorePosition RecordPosition;
    /// Another coordinator had begun a failover when this node last announced
    /// one.
    bool InterruptedFailover = false;
  };

  void tick();
  void checkGroup(const base::GroupName &group);
  void createRecord(const base::GroupName &group);
  /// Verifies the group's primary unless another node should do so.
  void requestVerification(const base::GroupName &group);
  /// Asks the monitors about the primaries of all groups in DuePolls.
  void pollPeers();
  /// Adds the reply of \p node to the evidence about each group.
  static void addEvidence(EvidenceRound &round, const std::string &node,
                          const EvidenceReply &reply);
  void endRound(const EvidenceRound &round);
  /// Decides on a failover after all peers have replied or timed out.
  void onEvidence(const base::GroupName &group,
                  const cluster::FailoverEvidence &evidence);
  /// Announces a failover of the group with the next writeIntents().
  void announce(const base::GroupName &group);
  /// Announces the failovers of all groups in DueIntents, with this node as
  /// their coordinator, in one change of the store. The primaries of a zone
  /// fail together, and one change for each would delay the last of them.
  void writeIntents();
  void startFailover(const base::GroupName &group);
  /// Returns whether the group's record is still the one that the failover
  /// started with.
  bool isCurrent(const FailoverPtr &failover) const;
  /// Runs \p step after \p delay unless the record has changed by then.
  void scheduleStep(const FailoverPtr &failover,
                    std::chrono::milliseconds delay,
                    void (FailoverService::*step)(const FailoverPtr &));
  void revokePeer(const FailoverPtr &failover, const PeerNode &peer);
  void waitForRevocation(const FailoverPtr &failover);
  /// Returns whether the nodes that have not acknowledged can no longer use the
  /// old primary.
  bool hasLeaseEnded(const FailoverPtr &failover) const;
  void stepDown(const FailoverPtr &failover);
  /// Returns when the servers may be asked who leads. Until then, a promotion
  /// that was requested before the store was restored may still take effect.
  base::BootTime settledAt(const FailoverPtr &failover) const;
  void verifyLeader(const FailoverPtr &failover);
  void recordLeader(const FailoverPtr &failover);
  /// Asks the servers \p ids for their status, adds the replies to the
  /// candidates, and then runs \p next.
  void queryStatus(const FailoverPtr &failover,
                   const std::vector<base::ServerId> &ids,
                   void (FailoverService::*next)(const FailoverPtr &));
  void queryCandidates(const FailoverPtr &failover);
  /// Asks the holders of commits that have no registration for their status.
  void contactMissingHolders(const FailoverPtr &failover);
  /// Returns when the present run of the server began, or 0 if it is unknown.
  std::int64_t runOf(const base::ServerId &id) const;
  /// Returns whether the primary has started again under its ID, so that its
  /// present run does not have the commits of the one that led.
  bool hasRestarted(const Failover &failover) const;
  /// Returns the server as a candidate other than the current primary.
  cluster::Candidate candidate(const Failover &failover,
                               const base::ServerId &id,
                               const sql::ServerStatus &status) const;
  /// Returns the runs of servers that may hold acknowledged commits and whose
  /// status is not known.
  std::vector<cluster::ServerRun>
  unheardRuns(const FailoverPtr &failover) const;
  /// Returns what the choice of the new primary depends on, beside the
  /// candidates.
  cluster::PromotionContext promotionContext(const FailoverPtr &failover) const;
  void choose(const FailoverPtr &failover);
  /// Continues with \p server, as which the primary has restarted. If nothing
  /// speaks against it, it keeps leading in its term, so that none of its
  /// commits is lost; otherwise it is replaced.
  void onRestartedPrimary(const FailoverPtr &failover,
                          const cluster::Candidate &server);
  /// Asks the servers again, because none may be promoted yet.
  void waitForCandidate(const FailoverPtr &failover,
                        const cluster::PromotionContext &context);
  void promote(const FailoverPtr &failover);
  /// Returns whether this node may use the failover's fencing token: it knows
  /// of no later record or era, and no other node can have replaced the token
  /// without waiting for this one.
  bool mayUseToken(const FailoverPtr &failover) const;
  void waitForPromotion(const FailoverPtr &failover);
  /// Chooses again, because the server with \p status does not lead although
  /// the platform has accepted its promotion.
  void onPromotionWithoutEffect(const FailoverPtr &failover,
                                const std::optional<sql::ServerStatus> &status);
  void writeResult(const FailoverPtr &failover);
  void logStage(const FailoverPtr &failover, std::string_view stage);

  ServerAccess Access;
  kernel::LineLog &Log;
  http::Endpoint PromotionsEndpoint;
  std::unique_ptr<PromotionCalls> Promotions;
  std::unique_ptr<RecordVerifier> Verifier;
  std::unique_ptr<HolderKeeper> Holders;
  std::unique_ptr<LeadershipCheck> Leadership;
  kernel::Kernel *Kernel = nullptr;
  ClusterService *Cluster = nullptr;
  std::map<base::GroupName, GroupCheckState> Checks;
  /// When a group without a record was first seen.
  std::map<base::GroupName, base::BootTime> MissingSince;
  std::map<base::GroupName, FailoverPtr> Failovers;
  /// The groups to ask the peers about in this tick, and whether this node
  /// would take over a failover of theirs.
  std::map<base::GroupName, bool> DuePolls;
  /// The groups whose failover this node will announce, and the revision of
  /// their records when that was decided.
  std::map<base::GroupName, std::uint64_t> DueIntents;
  /// The outcome of a change of a record is not known yet.
  bool WritePending = false;
  base::BootTime StartedAt{};
  kernel::Timer Ticker;
};

} // namespace baobabpin::control
