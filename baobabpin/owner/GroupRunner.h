/// Runs the requests of one database group on its owner: queue, choice of the
/// server, acknowledgement and transactions, with the decisions of the
/// replication, routing and admission packages.
///
/// \code
///   GroupRunner runner(kernel, settings, spec);
///   runner.submit(request, reply);
///   runner.tick(now); // every 10 ms
/// \endcode
#pragma once

#include "baobabpin/admission/RequestQueue.h"
#include "baobabpin/admission/RetryBudget.h"
#include "baobabpin/kernel/Kernel.h"
#include "baobabpin/owner/PendingRequest.h"
#include "baobabpin/owner/ServerLink.h"
#include "baobabpin/replication/Freshness.h"
#include "baobabpin/replication/Group.h"
#include "baobabpin/resources/Kinds.h"
#include "baobabpin/routing/ReplicaChooser.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace baobabpin::owner {

struct GroupSettings {
  base::GroupName Group;
  base::NodeId Self;
  /// IP number that connections to upstream servers come from.
  std::string LocalAddress;
  /// Comparison policy: all reads on the primary, promotion after a fixed
  /// silence.
  bool Baseline = false;
  routing::ReplicaChooser Choose = routing::chooseLeastPending;
  std::uint64_t RandomSeed = 0;
  /// Publishes that this node should not own the group for a while.
  std::function<void(base::Duration)> DeclareUnfit;
  /// A requested handover was made.
  std::function<void()> HandoverDone;
};

/// Counters of one group for the metrics endpoint.
struct GroupMetrics {
  prometheus::Counter *ReplicaReads = nullptr;
  prometheus::Counter *PrimaryReads = nullptr;
  prometheus::Counter *Writes = nullptr;
  prometheus::Counter *Promotions = nullptr;
  prometheus::Counter *Refused = nullptr;
  prometheus::Counter *Unknown = nullptr;
  prometheus::Gauge *Queued = nullptr;
};

class GroupRunner {
public:
  GroupRunner(kernel::Kernel &kernel, GroupSettings settings,
              const resources::DatabaseGroup &spec);
  /// Ends what is not finished as refused or unknown.
  ~GroupRunner();
  GroupRunner(const GroupRunner &) = delete;
  GroupRunner &operator=(const GroupRunner &) = delete;

  void submit(const proto::ForwardRequest &request, ReplyCallback reply);
  void tick(base::TimePoint now);

  /// Only the active owner promotes.
  void setActive(bool active) { State.Active = active; }
  /// Every member is unfit and this node is the first of them.
  void setLastResort(bool lastResort) { State.LastResort = lastResort; }
  /// Servers that get no new work because an operator stops them. A primary
  /// among them is handed over.
  void setStoppedServers(std::set<base::ServerId> servers);
  /// Hands the primary over to a replica, once.
  void startHandover();

  /// Gives up the requests that were not sent to a server yet, for a runner
  /// with the group's new declaration. What was sent is finished here.
  std::vector<PendingPtr> retire();

  bool hasTransaction(const std::string &id) const {
    return Transactions.contains(id);
  }
  /// Requests without an answer yet, and open transactions.
  std::size_t inFlight() const;
  /// When the last statement arrived.
  base::TimePoint lastWork() const { return LastWork; }
  const resources::DatabaseGroup &spec() const { return Spec; }
  /// Primary, term and servers as JSON, for operators.
  std::string describe() const;

private:
  struct Transaction {
    std::string Id;
    base::ServerId Server;
    ServerLink::Slot *Slot = nullptr;
    std::string ServerTransaction;
    base::TermNumber Term = 0;
    base::TimePoint StartedAt;
    base::TimePoint LastUsed;
    bool Busy = false;
  };

  // GroupRunner.cpp: admission and the end of requests.
  void enqueuePending(const PendingPtr &pending);
  void pump();
  void dispatch(const PendingPtr &pending);
  /// Requests that wait here for a server.
  std::size_t queuedCount() const {
    return Queued.size() + Parked.size() + SlotWaiters.size();
  }
  void park(const PendingPtr &pending, base::Duration delay);
  void unpark(base::TimePoint now);
  void expire(base::TimePoint now);
  void finish(const PendingPtr &pending, proto::ForwardReply reply);
  void refuse(const PendingPtr &pending, base::ErrorType error,
              const std::string &detail);
  void finishUnknown(const PendingPtr &pending, base::ErrorType error);
  void answer(const PendingPtr &pending);

  // ReadPath.cpp
  void dispatchRead(const PendingPtr &pending);
  void dispatchSlotWaiters();
  bool hasReplicaSlot() const;
  bool sendToReplica(const PendingPtr &pending, bool slightlyBehind);
  void sendRead(const PendingPtr &pending, const base::ServerId &server,
                base::LogPosition guard, base::Duration wait);
  void onReadAnswer(const PendingPtr &pending, const base::ServerId &server,
                    upstream::Answer answer, base::TimePoint sentAt);
  replication::ReadRequirement requirementOf(const PendingPtr &pending) const;

  // WritePath.cpp: everything that runs on the primary outside transactions.
  void dispatchToPrimary(const PendingPtr &pending);
  void onPrimaryAnswer(const PendingPtr &pending, const base::ServerId &server,
                       base::TermNumber term, upstream::Answer answer,
                       base::TimePoint sentAt);
  void onRefused(const PendingPtr &pending, const base::ServerId &server,
                 const upstream::Answer &answer);
  void retryLater(const PendingPtr &pending, base::Duration delay,
                  base::ErrorType error);
  void awaitProof(const PendingPtr &pending);
  bool settleOne(const PendingPtr &pending, base::TimePoint now);
  void settle();
  void reportWritesInFlight();

  // TransactionPath.cpp
  void submitInTransaction(const PendingPtr &pending);
  void beginTransaction(const PendingPtr &pending);
  void runInTransaction(const PendingPtr &pending, Transaction &transaction);
  void endTransaction(const PendingPtr &pending, Transaction &transaction);
  void closeTransaction(const std::string &id, bool discard);
  void repeatCommit(const PendingPtr &pending);
  void concludeLostCommit(const PendingPtr &pending,
                          const base::ServerId &server, base::TermNumber term,
                          upstream::Answer answer);
  void boundTransactions(base::TimePoint now);

  // ReplicationDriver.cpp
  void perform(const replication::Actions &actions);
  void performOne(const replication::SendStatus &action);
  void performOne(const replication::SendPrepare &action);
  void performOne(const replication::SendPromote &action);
  void performOne(const replication::SendFollow &action);
  void performOne(const replication::DeclareUnfit &action);
  void performOne(const replication::PromotionStarted &action);
  void performOne(const replication::PromotionFinished &action);
  void performOne(const replication::PromotionFailed &action);
  void performOne(const replication::PrimaryChanged &action);
  void performOne(const replication::PrimarySuspected &action);
  void performOne(const replication::OwnPauseDetected &action);
  void performOne(const replication::HandoverFinished &action);
  void reportNoAnswer(const base::ServerId &server,
                      replication::RequestKind kind,
                      const upstream::Answer &answer);
  void abortSilentCalls(base::TimePoint now);
  void handOverStoppedPrimary(base::TimePoint now);
  void record(const std::string &event, kernel::EventFields fields);

  kernel::Kernel &Kernel;
  kernel::EventLoop &Loop;
  GroupSettings Settings;
  resources::DatabaseGroup Spec;
  GroupMetrics Counters;
  replication::GroupState State;
  replication::Random Rng;
  std::map<base::ServerId, std::unique_ptr<ServerLink>> Links;
  std::set<base::ServerId> Stopped;
  /// The primary that statements were last sent to.
  base::ServerId LastPrimary;
  bool HandoverRequested = false;
  base::TimePoint LastHandoverAttempt;
  base::TimePoint LastWork;
  base::TimePoint LastProofRound;

  admission::RequestQueue Queue;
  admission::RetryBudget Budget;
  std::uint64_t NextId = 1;
  std::unordered_map<std::uint64_t, PendingPtr> Queued;
  /// Waiting for a moment or for an input before they are dispatched again.
  std::deque<PendingPtr> Parked;
  /// Reads whose qualified replicas have no free slot.
  std::deque<PendingPtr> SlotWaiters;
  /// Ran; waiting for the proof that allows the answer.
  std::vector<PendingPtr> Awaiting;
  std::map<std::string, Transaction> Transactions;
  /// Statements sent to servers and not answered yet.
  std::size_t Sent = 0;
  std::size_t WritesSent = 0;
  /// Expires with this object, for callbacks that are posted to the loop.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  bool Pumping = false;
  bool PumpAgain = false;
};

} // namespace baobabpin::owner
