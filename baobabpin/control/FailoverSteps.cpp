#include "baobabpin/control/FailoverService.h"

#include "baobabpin/control/RecordKeys.h"
#include "baobabpin/control/internal/Failover.h"
#include "platform/Wire.h"

#include <algorithm>
#include <utility>

namespace baobabpin::control {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds RevokeTimeout{500};
constexpr milliseconds RevokeRetry{100};
constexpr milliseconds StepRetry{50};
constexpr milliseconds PromotionPollPeriod{30};
/// If the promoted server does not lead within this time, the coordinator
/// chooses again. A promotion by the platform takes a few hundred milliseconds.
constexpr milliseconds LeadershipTimeout{2500};
/// The time for which a failover waits for the chosen replica to receive the
/// whole log of the old primary, when the end of that log is known.
constexpr milliseconds CatchUpLimit{400};
/// A server is promoted only if it serves for this long from the choice on.
/// That covers the promotion and the start of the failover that replaces it.
constexpr milliseconds MinServingTime{2000};
/// The time between two log lines about a failover that waits for servers.
constexpr milliseconds WaitLogPeriod{1000};
/// A promotion takes effect within this time after the platform accepted it.
constexpr milliseconds PromotionSettleTime{1000};
/// The time for which a verification waits for all servers to agree which one
/// leads. After it, a failover settles that.
constexpr milliseconds VerificationLimit{600};

} // namespace

bool FailoverService::isCurrent(const FailoverPtr &failover) const {
  auto it = Cluster->view().Groups.find(failover->Group);
  return it != Cluster->view().Groups.end() &&
         Cluster->view().Era == failover->Era &&
         it->second.Value == failover->Record;
}

void FailoverService::scheduleStep(
    const FailoverPtr &failover, milliseconds delay,
    void (FailoverService::*step)(const FailoverPtr &)) {
  failover->Next = Kernel->loop().runAfter(
      delay, [this, weak = std::weak_ptr<Failover>(failover), step] {
        FailoverPtr it = weak.lock();
        if (it && isCurrent(it))
          (this->*step)(it);
      });
}

void FailoverService::logStage(const FailoverPtr &failover,
                               std::string_view stage) {
  Log.line("move")
      .add("group", failover->Group)
      .add("stage", stage)
      .add("from", failover->Primary)
      .add("to", failover->Target)
      .add("token", static_cast<std::int64_t>(failover->Record.Token))
      .add("planned", failover->PrimaryWasReachable ? "yes" : "no")
      .add("unacknowledged",
           static_cast<std::int64_t>(failover->Unacknowledged.size()))
      .add("lease_ms", failover->Lease)
      .add("quorum", static_cast<std::int64_t>(failover->Quorum))
      .add("elapsed_ms", base::BootClock::now() - failover->StartedAt);
}

void FailoverService::startFailover(const base::GroupName &group) {
  auto failover = std::make_shared<Failover>();
  failover->Group = group;
  failover->Record = Cluster->view().Groups.at(group).Value;
  failover->Era = Cluster->view().Era;
  failover->Primary = failover->Record.Primary;
  failover->PrimaryStartedMs = failover->Record.PrimaryStartedMs;
  failover->Continued = Checks[group].InterruptedFailover;
  failover->StartedAt = base::BootClock::now();
  failover->PrimaryWasReachable = !Access.Observe(group).Unreachable;
  Failovers[group] = failover;
  Cluster->revoke(group, failover->Record.Epoch);
  const std::string &self = Cluster->self().Node;
  failover->Unacknowledged.insert(self);
  Cluster->Hooks.DrainPrimary(group,
                              [weak = std::weak_ptr<Failover>(failover), self] {
                                if (FailoverPtr it = weak.lock())
                                  it->Unacknowledged.erase(self);
                              });
  for (const auto &peer : Cluster->revocationPeers()) {
    failover->Unacknowledged.insert(peer.Name);
    revokePeer(failover, peer);
  }
  failover->Registered = failover->Unacknowledged.size();
  failover->Verifying =
      cluster::isBeingVerified(failover->Record, failover->Era);
  // The records of the nodes may be older than the leases that they hold.
  failover->Lease = failover->Verifying || Cluster->mayHaveFormerNodes()
                        ? cluster::PrimaryLease
                        : cluster::longestLease(Cluster->view());
  auto wallTime = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  failover->Quorum = cluster::revocationQuorum(
      failover->Registered,
      cluster::countRecentlyAdded(Cluster->view(), wallTime));
  logStage(failover, "started");
  scheduleStep(failover, milliseconds(1), &FailoverService::waitForRevocation);
}

void FailoverService::revokePeer(const FailoverPtr &failover,
                                 const PeerNode &peer) {
  std::string body = encode(RevokeRequest{
      failover->Group, failover->Record.Epoch, failover->Era,
      cluster::encodeGroupChange(Cluster->view(), failover->Group)});
  Cluster->caller().call(peer.Endpoint, RevokePath, body, RevokeTimeout,
                         [this, weak = std::weak_ptr<Failover>(failover),
                          peer](const std::optional<std::string> &reply) {
                           FailoverPtr it = weak.lock();
                           if (!it)
                             return;
                           if (reply) {
                             it->Unacknowledged.erase(peer.Name);
                             return;
                           }
                           Kernel->loop().postAfter(
                               RevokeRetry, [this, weak, peer] {
                                 FailoverPtr again = weak.lock();
                                 if (again && isCurrent(again) &&
                                     again->Unacknowledged.contains(peer.Name))
                                   revokePeer(again, peer);
                               });
                         });
}

bool FailoverService::hasLeaseEnded(const FailoverPtr &failover) const {
  auto lease = failover->Lease + cluster::LeaseMargin;
  auto now = base::BootClock::now();
  std::size_t acknowledged =
      failover->Registered - failover->Unacknowledged.size();
  if (!failover->QuorumAt && acknowledged >= failover->Quorum)
    failover->QuorumAt = now;
  if (failover->QuorumAt && now - *failover->QuorumAt > lease)
    return true;
  return now - failover->StartedAt > cluster::OfflineLimit + lease;
}

void FailoverService::waitForRevocation(const FailoverPtr &failover) {
  // A node without a registration no longer uses the primary. It has removed
  // the registration itself, or another node did so after its view could no
  // longer be confirmed.
  std::set<std::string> registered{Cluster->self().Node};
  for (const auto &it : Cluster->revocationPeers())
    registered.insert(it.Name);
  std::erase_if(failover->Unacknowledged, [&](const std::string &it) {
    return !registered.contains(it);
  });
  if (!failover->Unacknowledged.empty() && !hasLeaseEnded(failover)) {
    scheduleStep(failover, milliseconds(5),
                 &FailoverService::waitForRevocation);
    return;
  }
  logStage(failover, "stopped");
  failover->ChoosingSince = base::BootClock::now();
  if (failover->Verifying)
    verifyLeader(failover);
  else
    stepDown(failover);
}

base::BootTime FailoverService::settledAt(const FailoverPtr &failover) const {
  if (!Cluster->knewEarlierEra())
    return StartedAt + PromotionSettleTime;
  return failover->ChoosingSince +
         (failover->Continued ? PromotionSettleTime : milliseconds(0));
}

void FailoverService::verifyLeader(const FailoverPtr &failover) {
  if (base::BootClock::now() < settledAt(failover)) {
    scheduleStep(failover, StepRetry, &FailoverService::verifyLeader);
    return;
  }
  failover->Candidates.clear();
  failover->QueriesOutstanding = 0;
  std::vector<base::ServerId> ids;
  for (const auto &[id, server] : Cluster->servers()) {
    if (server.Group == failover->Group)
      ids.push_back(id);
  }
  queryStatus(failover, ids, &FailoverService::recordLeader);
}

void FailoverService::recordLeader(const FailoverPtr &failover) {
  const cluster::GroupRecord &record = failover->Record;
  auto leader = cluster::findLeader(failover->Candidates, failover->QueriesSent,
                                    record.Term);
  if (!leader) {
    bool expired = base::BootClock::now() >
                   std::max(settledAt(failover), failover->ChoosingSince) +
                       VerificationLimit;
    if (!expired) {
      scheduleStep(failover, StepRetry, &FailoverService::verifyLeader);
      return;
    }
    logStage(failover, "leader_uncertain");
    stepDown(failover);
    return;
  }
  failover->Target = leader->Server;
  failover->NewTerm = leader->Status.Term;
  // If the log has entries of another term, it is not known where it ended when
  // that term began. With a position of zero, no server with entries of earlier
  // terms only may lead.
  failover->StartPosition =
      cluster::startOfTerm(leader->Status).value_or(base::LogPosition{});
  logStage(failover, "verified");
  writeResult(failover);
}

void FailoverService::stepDown(const FailoverPtr &failover) {
  failover->ChoosingSince = base::BootClock::now();
  if (hasRestarted(*failover)) {
    failover->OldStatus.reset();
    queryCandidates(failover);
    return;
  }
  std::weak_ptr<Failover> weak = failover;
  auto onStatus = [this, weak](const std::optional<sql::Reply> &reply) {
    FailoverPtr it = weak.lock();
    if (!it || !isCurrent(it))
      return;
    auto status = statusOf(reply);
    if (!status || status->Role != sql::ServerRole::Primary) {
      it->OldStatus = status;
      queryCandidates(it);
      return;
    }
    // A coordinator that has been replaced may have kept this primary.
    if (!mayUseToken(it)) {
      scheduleStep(it, StepRetry, &FailoverService::stepDown);
      return;
    }
    Access.Query(
        it->Primary, platform::formatStepDown(status->Term + 1), StatusTimeout,
        [this, weak](const std::optional<sql::Reply> &stepped) {
          FailoverPtr current = weak.lock();
          if (!current || !isCurrent(current))
            return;
          if (auto it = statusOf(stepped))
            current->OldStatus = it;
          logStage(current, current->OldStatus ? "stepped_down"
                                               : "step_down_unconfirmed");
          queryCandidates(current);
        });
  };
  Access.Query(failover->Primary, platform::formatStatusQuery(), StatusTimeout,
               onStatus);
}

std::int64_t FailoverService::runOf(const base::ServerId &id) const {
  auto it = Cluster->servers().find(id);
  return it == Cluster->servers().end() ? 0 : it->second.StartedMs;
}

bool FailoverService::hasRestarted(const Failover &failover) const {
  return !cluster::maybeSameRun(runOf(failover.Primary),
                                failover.PrimaryStartedMs);
}

cluster::Candidate
FailoverService::candidate(const Failover &failover, const base::ServerId &id,
                           const sql::ServerStatus &status) const {
  cluster::Candidate it;
  it.Server = id;
  if (auto attempts = failover.Attempts.find(id);
      attempts != failover.Attempts.end())
    it.PromotionsWithoutEffect = attempts->second;
  it.Status = status;
  it.Leaving = Cluster->leavingSince(id).has_value();
  it.EndsSoon = !Cluster->mayServe(id, MinServingTime);
  return it;
}

void FailoverService::queryCandidates(const FailoverPtr &failover) {
  failover->Candidates.clear();
  failover->QueriesOutstanding = 0;
  bool restarted = hasRestarted(*failover);
  std::vector<base::ServerId> ids;
  for (const auto &[id, server] : Cluster->servers()) {
    if (server.Group == failover->Group &&
        (restarted || id != failover->Primary) &&
        !failover->RefusedTargets.contains(id))
      ids.push_back(id);
  }
  if (failover->OldStatus && !restarted) {
    auto it = candidate(*failover, failover->Primary, *failover->OldStatus);
    it.IsCurrentPrimary = true;
    failover->Candidates.push_back(it);
  }
  contactMissingHolders(failover);
  queryStatus(failover, ids, &FailoverService::choose);
}

void FailoverService::contactMissingHolders(const FailoverPtr &failover) {
  if (!failover->Record.Holders)
    return;
  auto missing = cluster::lostRuns(*failover->Record.Holders,
                                   Cluster->servers(), failover->Group);
  for (const auto &run : missing) {
    if (run.Id == failover->Primary || Cluster->servers().contains(run.Id))
      continue;
    ++failover->QueriesOutstanding;
    Access.Contact(failover->Group, run, StatusTimeout,
                   [this, weak = std::weak_ptr<Failover>(failover),
                    id = run.Id](const pooling::RunContact &contact) {
                     FailoverPtr it = weak.lock();
                     if (!it || !isCurrent(it))
                       return;
                     if (contact.Status) {
                       auto server = candidate(*it, id, *contact.Status);
                       server.Unregistered = true;
                       it->Candidates.push_back(server);
                     }
                     if (--it->QueriesOutstanding == 0)
                       choose(it);
                   });
  }
}

void FailoverService::queryStatus(
    const FailoverPtr &failover, const std::vector<base::ServerId> &ids,
    void (FailoverService::*next)(const FailoverPtr &)) {
  failover->QueriesSent = ids.size();
  failover->QueriesOutstanding += ids.size();
  if (failover->QueriesOutstanding == 0) {
    (this->*next)(failover);
    return;
  }
  for (const auto &id : ids) {
    Access.Query(id, platform::formatStatusQuery(), StatusTimeout,
                 [this, weak = std::weak_ptr<Failover>(failover), id,
                  next](const std::optional<sql::Reply> &reply) {
                   FailoverPtr it = weak.lock();
                   if (!it || !isCurrent(it))
                     return;
                   auto status = statusOf(reply);
                   if (status)
                     it->Candidates.push_back(candidate(*it, id, *status));
                   if (--it->QueriesOutstanding == 0)
                     (this->*next)(it);
                 });
  }
}

std::vector<cluster::ServerRun>
FailoverService::unheardRuns(const FailoverPtr &failover) const {
  std::set<base::ServerId> heard;
  base::LogPosition furthest;
  for (const auto &it : failover->Candidates) {
    heard.insert(it.Server);
    if (!it.Unregistered)
      furthest = std::max(furthest, it.Status.Received);
  }
  auto runs = cluster::unheardRuns(failover->Record, Cluster->servers(),
                                   failover->Group, heard);
  // A primary that has restarted with its log is not a replica either.
  std::erase_if(runs, [&](const cluster::ServerRun &it) {
    return it.Id == failover->Primary &&
           cluster::maybeSameRun(it.StartedMs, failover->PrimaryStartedMs);
  });
  // A server without a registration may have started again without its log. It
  // has caught up since if it has as much as the others.
  std::erase_if(runs, [&](const cluster::ServerRun &run) {
    return std::ranges::any_of(failover->Candidates, [&](const auto &it) {
      return it.Unregistered && it.Server == run.Id &&
             it.Status.Received >= furthest;
    });
  });
  return runs;
}

cluster::PromotionContext
FailoverService::promotionContext(const FailoverPtr &failover) const {
  cluster::PromotionContext context{.RecordTerm = failover->Record.Term,
                                    .Terms =
                                        cluster::knownTerms(failover->Record)};
  const auto *config = Cluster->configuration();
  if (config && config->Groups.contains(failover->Group))
    context.SyncReplicas = config->Groups.at(failover->Group).SyncReplicas;
  context.UnheardReplicas = unheardRuns(failover).size();
  // Any number of replicas may have been lost.
  if (!failover->Record.Holders)
    context.UnheardReplicas +=
        static_cast<std::size_t>(std::max(0, context.SyncReplicas));
  return context;
}

void FailoverService::waitForCandidate(
    const FailoverPtr &failover, const cluster::PromotionContext &context) {
  auto now = base::BootClock::now();
  if (now - failover->WaitLoggedAt > WaitLogPeriod) {
    failover->WaitLoggedAt = now;
    std::string unheard;
    for (const auto &it : unheardRuns(failover))
      unheard += (unheard.empty() ? "" : ",") + it.Id;
    Log.line("move_waits")
        .add("group", failover->Group)
        .add("candidates",
             static_cast<std::int64_t>(failover->Candidates.size()))
        .add("unheard_replicas",
             static_cast<std::int64_t>(context.UnheardReplicas))
        .add("unheard", unheard.empty() ? "none" : unheard)
        .add("holders", failover->Record.Holders ? "known" : "unknown")
        .add("sync_replicas", context.SyncReplicas)
        .add("elapsed_ms", now - failover->StartedAt);
  }
  scheduleStep(failover, StepRetry, &FailoverService::stepDown);
}

void FailoverService::choose(const FailoverPtr &failover) {
  failover->RefusedTargets.clear();
  auto context = promotionContext(failover);
  if (auto restarted =
          cluster::findRestartedPrimary(failover->Candidates, context)) {
    onRestartedPrimary(failover, *restarted);
    return;
  }
  auto best = cluster::choosePrimary(failover->Candidates, context);
  if (!best) {
    waitForCandidate(failover, context);
    return;
  }
  bool behind = failover->OldStatus && !best->IsCurrentPrimary &&
                best->Status.Role == sql::ServerRole::Replica &&
                best->Status.Received < failover->OldStatus->Received;
  // A replica that is not allowed to lead now may receive what it lacks.
  bool noReplicaYet = best->IsCurrentPrimary && context.SyncReplicas > 0 &&
                      failover->Candidates.size() > 1;
  if ((behind || noReplicaYet) &&
      base::BootClock::now() - failover->ChoosingSince < CatchUpLimit) {
    scheduleStep(failover, milliseconds(15), &FailoverService::queryCandidates);
    return;
  }
  failover->Target = best->Server;
  failover->StartPosition = best->Status.Received;
  Log.line("move_candidate")
      .add("group", failover->Group)
      .add("server", best->Server)
      .add("received", platform::formatLogPosition(best->Status.Received))
      .add("candidates", static_cast<std::int64_t>(failover->Candidates.size()))
      .add("old_received",
           failover->OldStatus
               ? platform::formatLogPosition(failover->OldStatus->Received)
               : "unknown");
  promote(failover);
}

void FailoverService::onRestartedPrimary(const FailoverPtr &failover,
                                         const cluster::Candidate &server) {
  failover->Primary = server.Server;
  failover->PrimaryStartedMs = runOf(server.Server);
  // A status of the primary under its earlier ID says nothing about this run.
  failover->OldStatus.reset();
  logStage(failover, "primary_restarted");
  // No other server can have been promoted, or be about to lead.
  bool isCertain = !failover->Continued && !failover->Verifying &&
                   failover->Attempts.empty();
  if (!isCertain || server.Leaving) {
    stepDown(failover);
    return;
  }
  failover->Target = server.Server;
  failover->NewTerm = server.Status.Term;
  writeResult(failover);
}

bool FailoverService::mayUseToken(const FailoverPtr &failover) const {
  return isCurrent(failover) && !Cluster->isViewOfEarlierEra() &&
         Cluster->viewAge() <= Cluster->lease() - TokenMargin;
}

void FailoverService::promote(const FailoverPtr &failover) {
  if (!mayUseToken(failover) || Promotions->isCalling(failover->Group)) {
    scheduleStep(failover, StepRetry, &FailoverService::promote);
    return;
  }
  failover->Attempts.try_emplace(failover->Target, 0);
  Promotions->promote(
      {failover->Group, failover->Target, Cluster->self().Node,
       failover->Record.Token},
      [this, weak = std::weak_ptr<Failover>(failover)] {
        FailoverPtr it = weak.lock();
        return it && mayUseToken(it);
      },
      [this, weak = std::weak_ptr<Failover>(failover)](
          platform::PromotionResult result) {
        FailoverPtr it = weak.lock();
        if (!it || !isCurrent(it))
          return;
        switch (result) {
        case platform::PromotionResult::Accepted:
          logStage(it, "promoted");
          it->PromotedAt = base::BootClock::now();
          waitForPromotion(it);
          return;
        case platform::PromotionResult::Refused:
          logStage(it, "promotion_refused");
          it->RefusedTargets.insert(it->Target);
          scheduleStep(it, StepRetry, &FailoverService::queryCandidates);
          return;
        case platform::PromotionResult::NotSent:
        case platform::PromotionResult::Unknown:
          logStage(it, "promotion_unanswered");
          scheduleStep(it, StepRetry, &FailoverService::promote);
          return;
        }
      });
}

void FailoverService::waitForPromotion(const FailoverPtr &failover) {
  Access.Query(
      failover->Target, platform::formatStatusQuery(), StatusTimeout,
      [this, weak = std::weak_ptr<Failover>(failover)](
          const std::optional<sql::Reply> &reply) {
        FailoverPtr it = weak.lock();
        if (!it || !isCurrent(it))
          return;
        auto status = statusOf(reply);
        bool present = it->Target == it->Primary && !hasRestarted(*it);
        if (status && cluster::isLeading(*status, it->Record.Term, present)) {
          logStage(it, "leads");
          it->NewTerm = status->Term;
          // It may have received more since it was chosen.
          it->StartPosition =
              cluster::startOfTerm(*status).value_or(it->StartPosition);
          writeResult(it);
          return;
        }
        if (base::BootClock::now() - it->PromotedAt > LeadershipTimeout)
          onPromotionWithoutEffect(it, status);
        else
          scheduleStep(it, PromotionPollPeriod,
                       &FailoverService::waitForPromotion);
      });
}

void FailoverService::onPromotionWithoutEffect(
    const FailoverPtr &failover,
    const std::optional<sql::ServerStatus> &status) {
  logStage(failover, "not_leading");
  auto line = Log.line("promotion_without_effect");
  line.add("group", failover->Group)
      .add("server", failover->Target)
      .add("attempts", ++failover->Attempts[failover->Target])
      .add("record_term", static_cast<std::int64_t>(failover->Record.Term));
  if (status)
    line.add("role",
             status->Role == sql::ServerRole::Primary ? "primary" : "replica")
        .add("term", static_cast<std::int64_t>(status->Term));
  else
    line.add("role", "unknown");
  stepDown(failover);
}

void FailoverService::writeResult(const FailoverPtr &failover) {
  cluster::GroupRecord record = failover->Record;
  cluster::recordPrimary(record, failover->Target, runOf(failover->Target),
                         failover->NewTerm, failover->StartPosition);
  auto revision = Cluster->view().Groups.at(failover->Group).Revision;
  Cluster->change(
      {{groupKey(failover->Group), cluster::encodeRecord(record), revision,
        false}},
      [this, weak = std::weak_ptr<Failover>(failover)](
          const store::StoreReply &reply) {
        FailoverPtr it = weak.lock();
        if (!it)
          return;
        logStage(it, std::string("recorded_") +
                         std::string(store::storeStatusName(reply.Status)));
        if (reply.Status != store::StoreStatus::Ok)
          scheduleStep(it, milliseconds(200), &FailoverService::writeResult);
      });
}

} // namespace baobabpin::control
