/// Runs the requests of one database group on the node that owns the group.
/// GroupRunner queues requests, chooses a server for each, holds answers back
/// until they may be returned, and runs transactions. It applies the rules of
/// the admission, replication and routing packages.
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
  /// Local IP address of the connections to upstream servers.
  std::string LocalAddress;
  /// Selects a simple policy that serves as a baseline for comparisons: all
  /// reads run on the primary, and a replica is promoted when the primary has
  /// not answered for a fixed time.
  bool Baseline = false;
  routing::ReplicaChooser Choose = routing::chooseLeastPending;
  std::uint64_t RandomSeed = 0;
  /// Publishes that this node is unfit to own the group for the given period.
  std::function<void(base::Duration)> DeclareUnfit;
  /// Called when a handover that startHandover() requested has succeeded.
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
  /// Ends the requests that are queued, delayed or awaiting a proof as refused
  /// or unknown. Requests that were sent and not answered get no reply.
  ~GroupRunner();
  GroupRunner(const GroupRunner &) = delete;
  GroupRunner &operator=(const GroupRunner &) = delete;

  void submit(const proto::ForwardRequest &request, ReplyCallback reply);
  void tick(base::TimePoint now);

  /// Only an active owner promotes a server.
  void setActive(bool active) { State.Active = active; }
  /// Tells that every member is unfit to own the group and that this node is
  /// the first of them in the order of preference.
  void setLastResort(bool lastResort) { State.LastResort = lastResort; }
  /// Sets the servers for which an operator has declared a planned stop. They
  /// get no new reads, and a primary among them is handed over to a replica.
  void setPlannedStopServers(std::set<base::ServerId> servers);
  /// Requests a handover: a replica becomes the primary. A failed handover is
  /// tried again until one succeeds.
  void startHandover();

  /// Makes this runner inactive because the group's declaration changed, and
  /// returns the requests that can't have run yet, for the runner with the new
  /// declaration. This runner finishes all other requests itself.
  std::vector<PendingPtr> retire();

  bool hasTransaction(const std::string &id) const {
    return Transactions.contains(id);
  }
  /// Counts the unanswered requests and the open transactions.
  std::size_t inFlight() const;
  /// When the last request arrived.
  base::TimePoint lastRequestAt() const { return LastRequestAt; }
  const resources::DatabaseGroup &spec() const { return Spec; }
  /// Returns the primary, the term and the servers as JSON, for operators.
  std::string describe() const;

private:
  struct Transaction {
    std::string Id;
    base::ServerId Server;
    ServerLink::Slot *Slot = nullptr;
    /// The server's ID of this transaction.
    std::string ServerTransaction;
    base::TermNumber Term = 0;
    base::TimePoint StartedAt;
    base::TimePoint LastUsed;
    /// A call of this transaction has no answer yet.
    bool Busy = false;
  };

  // GroupRunner.cpp: queues requests and ends them.
  void enqueuePending(const PendingPtr &pending);
  /// Dispatches queued requests for as long as a server can take them.
  void dispatchQueued();
  void dispatch(const PendingPtr &pending);
  /// Counts the requests that wait for a server or for their next attempt.
  std::size_t queuedCount() const {
    return Queued.size() + DelayedRequests.size() + SlotWaiters.size();
  }
  /// Puts a request back into the queue after \p delay.
  void delayRequest(const PendingPtr &pending, base::Duration delay);
  /// Queues the delayed requests whose delay has passed.
  void requeueDelayed(base::TimePoint now);
  /// Ends the requests whose deadline has passed.
  void expireRequests(base::TimePoint now);
  void finish(const PendingPtr &pending, proto::ForwardReply reply);
  /// Ends the request as not run, or as unknown when an earlier attempt may
  /// have run.
  void refuse(const PendingPtr &pending, base::ErrorType error,
              const std::string &detail);
  void finishUnknown(const PendingPtr &pending, base::ErrorType error);
  /// Replies with the server's answer.
  void finishAnswered(const PendingPtr &pending);

  // ReadPath.cpp
  void dispatchRead(const PendingPtr &pending);
  void dispatchSlotWaiters();
  /// Whether reads can be dispatched: a reachable replica has a free slot, or
  /// no replica is reachable and reads go to the primary.
  bool canDispatchRead() const;
  /// Sends the read to a replica that qualifies, or is slightly behind if
  /// \p slightlyBehind, or queues it in SlotWaiters when all of these are busy.
  /// Returns false when it did neither.
  bool sendToReplica(const PendingPtr &pending, bool slightlyBehind);
  void sendRead(const PendingPtr &pending, const base::ServerId &server,
                base::LogPosition minPosition, base::Duration wait);
  void onReadAnswer(const PendingPtr &pending, const base::ServerId &server,
                    upstream::Answer answer, base::TimePoint sentAt);
  replication::ReadRequirement requirementOf(const PendingPtr &pending) const;

  // WritePath.cpp: runs statements on the primary outside transactions and
  // holds answers back until they are proven.
  void dispatchToPrimary(const PendingPtr &pending);
  void onPrimaryAnswer(const PendingPtr &pending, const base::ServerId &server,
                       base::TermNumber term, upstream::Answer answer,
                       base::TimePoint sentAt);
  void onRefused(const PendingPtr &pending, const base::ServerId &server,
                 const upstream::Answer &answer);
  /// Retries after \p delay when the retry budget allows it, else refuses the
  /// request with \p error.
  void retryWithinBudget(const PendingPtr &pending, base::Duration delay,
                         base::ErrorType error);
  /// Replies when the answer is proven (see ProofKind), else lets it wait in
  /// AwaitingProof.
  void awaitProof(const PendingPtr &pending);
  /// Replies when the answer is proven, and retries or ends the request when
  /// it no longer can be. Returns false when the request has to wait longer.
  bool tryFinish(const PendingPtr &pending, base::TimePoint now);
  /// Calls tryFinish() for every waiting request and asks for further status
  /// reports when one of them needs those.
  void finishProvenRequests();
  /// Tells a running handover how many writes are unanswered or unproven and
  /// how many transactions are open.
  void reportWritesInFlight();

  // TransactionPath.cpp
  void submitInTransaction(const PendingPtr &pending);
  void beginTransaction(const PendingPtr &pending);
  void runInTransaction(const PendingPtr &pending, Transaction &transaction);
  void endTransaction(const PendingPtr &pending, Transaction &transaction);
  void closeTransaction(const std::string &id, bool discard);
  /// Sends a repeated commit, whose transaction this node does not hold, to the
  /// primary.
  void retryCommit(const PendingPtr &pending);
  /// Waits until a majority confirms the term of the primary that does not know
  /// the transaction; the commit is then reported as rolled back.
  void confirmRollback(const PendingPtr &pending, const base::ServerId &server,
                       base::TermNumber term, upstream::Answer answer);
  /// Closes the transactions that exceed a time limit.
  void expireTransactions(base::TimePoint now);

  // ReplicationDriver.cpp: performs what the replication package asks for.
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
  /// Ends old calls to servers that are not reachable, so that their requests
  /// can be retried.
  void abortUnansweredCalls(base::TimePoint now);
  /// Starts a handover when startHandover() requested one or a planned stop of
  /// the primary is declared.
  void handOverPrimaryIfRequested(base::TimePoint now);
  void record(const std::string &event, kernel::EventFields fields);

  kernel::Kernel &Kernel;
  kernel::EventLoop &Loop;
  GroupSettings Settings;
  resources::DatabaseGroup Spec;
  GroupMetrics Counters;
  replication::GroupState State;
  replication::Random Rng;
  std::map<base::ServerId, std::unique_ptr<ServerLink>> Links;
  std::set<base::ServerId> PlannedStopServers;
  /// The primary that statements were last sent to.
  base::ServerId LastPrimary;
  bool HandoverRequested = false;
  base::TimePoint LastHandoverAttempt;
  base::TimePoint LastRequestAt;
  base::TimePoint LastProofStatusRound;

  admission::RequestQueue Queue;
  admission::RetryBudget Budget;
  std::uint64_t NextId = 1;
  std::unordered_map<std::uint64_t, PendingPtr> Queued;
  /// Requests that wait until RetryAt before they are queued again.
  std::deque<PendingPtr> DelayedRequests;
  /// Reads for which every replica that qualifies has no free slot.
  std::deque<PendingPtr> SlotWaiters;
  /// Requests with an answer from a server that wait for the proof that allows
  /// the reply.
  std::vector<PendingPtr> AwaitingProof;
  std::map<std::string, Transaction> Transactions;
  /// Statements outside transactions that a server has not answered yet.
  std::size_t StatementsInFlight = 0;
  /// The writes among them.
  std::size_t WriteStatementsInFlight = 0;
  /// Posted callbacks hold a weak reference to it and do nothing when this
  /// object has been destroyed.
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>(true);
  /// True while dispatchQueued() runs.
  bool Dispatching = false;
  /// Makes a running dispatchQueued() start over, because the queue has
  /// changed.
  bool DispatchAgain = false;
};

} // namespace baobabpin::owner
