#include "baobabpin/control/FailoverService.h"

#include "baobabpin/control/RecordKeys.h"
#include "platform/Wire.h"

#include <algorithm>
#include <utility>

namespace baobabpin::control {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds TickPeriod{50};
constexpr milliseconds PollPeriod{200};
/// A node that has just started does not suspect a primary, because it has no
/// connections yet.
constexpr milliseconds StartupGracePeriod{3000};
/// A node that is not the first monitor waits this long before it creates a
/// missing record.
constexpr milliseconds RecordCreationDelay{1500};
constexpr milliseconds EvidenceTimeout{150};
/// Decisions that follow each other within this time are announced together.
constexpr milliseconds IntentCollectionTime{5};
constexpr milliseconds RevokeTimeout{500};
constexpr milliseconds RevokeRetry{100};
constexpr milliseconds StatusTimeout{250};
constexpr milliseconds StepRetry{50};
constexpr milliseconds PromotionPollPeriod{30};
/// If the promoted server does not lead within this time, the coordinator
/// chooses again. A promotion by the platform takes a few hundred milliseconds.
constexpr milliseconds LeadershipTimeout{2500};
/// The time for which a failover waits for the chosen replica to receive the
/// whole log of the old primary, when the end of that log is known.
constexpr milliseconds CatchUpLimit{400};
/// A promotion takes effect within this time after the platform accepted it.
constexpr milliseconds PromotionSettleTime{1000};
/// The time for which a verification waits for all servers to agree which one
/// leads. After it, a failover settles that.
constexpr milliseconds VerificationLimit{600};
/// The fencing token is used only if the view was confirmed within this node's
/// lease less this margin, which covers the promotion call. A coordinator that
/// takes over waits for this node's acknowledgement or for its lease before it
/// promotes a server.
constexpr milliseconds TokenMargin{500};

/// Returns the reported status, or nothing when the report is missing or
/// incomplete.
std::optional<sql::ServerStatus> statusOf(const std::optional<sql::Reply> &it) {
  if (!it || !it->succeeded() || it->Rows.empty())
    return std::nullopt;
  return platform::parseStatusRow(it->Rows.front());
}

} // namespace

struct FailoverService::Failover {
  base::GroupName Group;
  cluster::GroupRecord Record;
  /// The era of the store in which the failover was announced.
  std::uint64_t Era = 0;
  /// The primary is only verified, and replaced if its servers do not agree.
  bool Verifying = false;
  /// The old primary was reachable at the start.
  bool PrimaryWasReachable = false;
  base::BootTime StartedAt{};
  /// The number of nodes that were registered at the start, this one included.
  std::size_t Registered = 0;
  /// The nodes that may still use the old primary.
  std::set<std::string> Unacknowledged;
  /// The longest lease that a node may hold.
  milliseconds Lease = cluster::PrimaryLease;
  /// The number of acknowledgements after which Lease limits the wait.
  std::size_t Quorum = 0;
  /// When the number of acknowledgements reached Quorum.
  std::optional<base::BootTime> QuorumAt;
  /// The status of the old primary after it stepped down. Empty when it did not
  /// confirm that.
  std::optional<sql::ServerStatus> OldStatus;
  base::BootTime ChoosingSince{};
  std::vector<cluster::Candidate> Candidates;
  std::size_t QueriesSent = 0;
  std::size_t QueriesOutstanding = 0;
  base::ServerId Target;
  /// The end of Target's log before its promotion.
  base::LogPosition StartPosition;
  /// The term in which Target leads.
  base::TermNumber NewTerm = 0;
  /// Servers whose promotion the platform has refused. The next choice leaves
  /// them out, except for the old primary, which stays a candidate.
  std::set<base::ServerId> RefusedTargets;
  base::BootTime PromotedAt{};
  kernel::Timer Next;
};

/// One round of calls to the monitors about several groups.
struct FailoverService::EvidenceRound {
  std::map<base::GroupName, cluster::FailoverEvidence> Groups;
  std::size_t Outstanding = 0;
};

FailoverService::FailoverService(http::Endpoint promotions, ServerAccess access,
                                 kernel::LineLog &log)
    : Access(std::move(access)), Log(log),
      PromotionsEndpoint(std::move(promotions)) {}

FailoverService::~FailoverService() = default;

base::Result<void> FailoverService::start(kernel::Kernel &kernel) {
  Kernel = &kernel;
  Cluster = &kernel.find<ClusterService>("cluster");
  StartedAt = base::BootClock::now();
  Verifier = std::make_unique<RecordVerifier>(kernel.loop(), *Cluster, Log);
  Verifier->OnDoubt = [this](const auto &group) { announce(group); };
  Promotions =
      std::make_unique<platform::Promotions>(kernel.loop(), PromotionsEndpoint);
  Ticker = kernel.loop().runEvery(TickPeriod, [this] { tick(); });
  return {};
}

void FailoverService::stop() {
  Ticker.cancel();
  Failovers.clear();
}

bool FailoverService::isFailingOver(const base::GroupName &group) const {
  return Failovers.contains(group);
}

void FailoverService::check(const base::GroupName &group) {
  Checks[group].SuspectedByPeer = true;
}

void FailoverService::tick() {
  const auto *config = Cluster->configuration();
  if (!config)
    return;
  for (const auto &[group, it] : config->Groups)
    checkGroup(group);
  if (!DuePolls.empty())
    pollPeers();
}

void FailoverService::checkGroup(const base::GroupName &group) {
  auto now = base::BootClock::now();
  const auto &groups = Cluster->view().Groups;
  auto it = groups.find(group);
  GroupCheckState &state = Checks[group];
  if (it == groups.end()) {
    // All nodes see a new group at the same time. The first monitor creates its
    // record, and the others only if it does not.
    auto [missingSince, first] = MissingSince.emplace(group, now);
    if (Cluster->isStoreReachable() &&
        (Cluster->isFirstMonitor() ||
         now - missingSince->second > RecordCreationDelay))
      createRecord(group);
    return;
  }
  MissingSince.erase(group);
  base::StorePosition position{Cluster->view().Era, it->second.Revision};
  if (state.RecordPosition != position) {
    state.RecordPosition = position;
    state.RecordSeen = now;
  }
  const cluster::GroupRecord &record = it->second.Value;
  if (auto failover = Failovers.find(group); failover != Failovers.end()) {
    if (isCurrent(failover->second))
      return;
    bool done = !record.FailoverInProgress;
    Failovers.erase(failover);
    if (done)
      Cluster->pushGroup(group);
  }
  if (!cluster::isVerified(record, position.Era) &&
      !cluster::isBeingVerified(record, position.Era)) {
    requestVerification(group);
    return;
  }
  if (record.FailoverInProgress &&
      record.Coordinator == cluster::formatIdentity(Cluster->self())) {
    startFailover(group);
    return;
  }
  bool startupDone = now - StartedAt > StartupGracePeriod;
  bool takingOver = record.FailoverInProgress &&
                    now - state.RecordSeen > cluster::FailoverStallTimeout;
  bool suspect = startupDone && !record.FailoverInProgress &&
                 cluster::isSuspect(Access.Observe(group));
  if (!Cluster->isMonitoring())
    return;
  bool due = takingOver || suspect ||
             (state.SuspectedByPeer && !record.FailoverInProgress);
  if (!due || state.Polling || now < state.NextPoll)
    return;
  state.SuspectedByPeer = false;
  state.NextPoll = now + PollPeriod;
  DuePolls[group] = takingOver;
}

void FailoverService::createRecord(const base::GroupName &group) {
  if (WritePending)
    return;
  std::vector<base::ServerId> primaries;
  for (const auto &[id, server] : Cluster->servers()) {
    if (server.Group == group && !server.Draining &&
        server.Role == sql::ServerRole::Primary)
      primaries.push_back(id);
  }
  if (primaries.empty())
    return;
  // One of several may have missed a promotion whose record was lost, so the
  // record is created as one that is to be verified.
  auto epoch = cluster::firstNumberOf(Cluster->view().Era);
  if (primaries.size() == 1)
    ++epoch;
  WritePending = true;
  cluster::GroupRecord record{.Epoch = epoch, .Primary = primaries.front()};
  Cluster->change({{groupKey(group), cluster::encodeRecord(record), 0, false}},
                  [this](const store::StoreReply &) { WritePending = false; });
}

void FailoverService::requestVerification(const base::GroupName &group) {
  const auto &record = Cluster->view().Groups.at(group).Value;
  GroupCheckState &state = Checks[group];
  bool isTurn = Cluster->isFirstMonitor() ||
                base::BootClock::now() - state.RecordSeen > RecordCreationDelay;
  if (!Cluster->isStoreReachable() || !isTurn || WritePending ||
      Verifier->isBusy())
    return;
  state.InterruptedFailover = record.FailoverInProgress;
  if (Cluster->knewEarlierEra())
    Verifier->add(group);
  else
    announce(group);
}

void FailoverService::announce(const base::GroupName &group) {
  if (DueIntents.empty())
    Kernel->loop().postAfter(IntentCollectionTime, [this] { writeIntents(); });
  DueIntents[group] = Cluster->view().Groups.at(group).Revision;
}

void FailoverService::pollPeers() {
  auto round = std::make_shared<EvidenceRound>();
  auto peers = Cluster->monitors();
  round->Outstanding = peers.size();
  EvidenceRequest request;
  for (const auto &[group, takingOver] : std::exchange(DuePolls, {})) {
    round->Groups[group] = {.Self = Cluster->self().Node,
                            .PeersAsked = peers.size(),
                            .RecordRevision =
                                Cluster->view().Groups.at(group).Revision,
                            .TakingOver = takingOver};
    request.Suspected[group] =
        takingOver || cluster::isSuspect(Access.Observe(group));
    Checks[group].Polling = true;
  }
  if (peers.empty()) {
    endRound(*round);
    return;
  }
  std::string body = encode(request);
  for (const auto &peer : peers) {
    auto onReply = [this, round,
                    node = peer.Name](const std::optional<std::string> &text) {
      if (auto reply = text ? decodeEvidenceReply(*text) : std::nullopt)
        addEvidence(*round, node, *reply);
      if (--round->Outstanding == 0)
        endRound(*round);
    };
    Cluster->caller().call(peer.Endpoint, EvidencePath, body, EvidenceTimeout,
                           onReply);
  }
}

void FailoverService::addEvidence(EvidenceRound &round, const std::string &node,
                                  const EvidenceReply &reply) {
  for (auto &[group, evidence] : round.Groups) {
    auto it = reply.Groups.find(group);
    if (it == reply.Groups.end())
      continue;
    evidence.Peers.push_back({node, reply.StoreReachable,
                              it->second.FailoverInProgress,
                              it->second.PrimaryReplyAge});
  }
}

void FailoverService::endRound(const EvidenceRound &round) {
  for (const auto &[group, evidence] : round.Groups)
    onEvidence(group, evidence);
}

void FailoverService::onEvidence(const base::GroupName &group,
                                 const cluster::FailoverEvidence &collected) {
  Checks[group].Polling = false;
  // Replies about an earlier primary are not evidence about the current one.
  auto record = Cluster->view().Groups.find(group);
  if (record == Cluster->view().Groups.end() ||
      record->second.Revision != collected.RecordRevision)
    return;
  cluster::FailoverEvidence evidence = collected;
  evidence.Own = Access.Observe(group);
  evidence.SelfStoreReachable = Cluster->isStoreReachable();
  evidence.DutyHolder = Cluster->view().Duty.Value.Holder;
  cluster::FailoverVerdict verdict = cluster::decideFailover(evidence);
  std::size_t confirming =
      std::ranges::count_if(evidence.Peers, [](const auto &it) {
        return it.PrimaryReplyAge &&
               *it.PrimaryReplyAge < cluster::AliveReplyAge;
      });
  Log.line("primary_checked")
      .add("group", group)
      .add("verdict", cluster::failoverVerdictName(verdict))
      .add("leaving", evidence.Own.Leaving ? "yes" : "no")
      .add("heard_age_ms",
           evidence.Own.PrimaryReplyAge.value_or(std::chrono::seconds(-1)))
      .add("unreachable", evidence.Own.Unreachable ? "yes" : "no")
      .add("peers_replied", static_cast<std::int64_t>(evidence.Peers.size()))
      .add("peers_vouching", static_cast<std::int64_t>(confirming))
      .add("duty_holder", evidence.DutyHolder)
      .add("take_over", evidence.TakingOver ? "yes" : "no");
  if (verdict != cluster::FailoverVerdict::StartFailover)
    return;
  announce(group);
}

void FailoverService::writeIntents() {
  auto due = std::exchange(DueIntents, {});
  if (WritePending)
    return;
  const auto &duty = Cluster->view().Duty;
  cluster::DutyRecord newDuty{
      Cluster->self().Node,
      cluster::nextToken(duty.Value.Token, Cluster->view().Era)};
  std::vector<platform::KeyChange> changes{
      {dutyKey(), cluster::encodeRecord(newDuty), duty.Revision, false}};
  std::string names;
  for (const auto &[group, revision] : due) {
    auto it = Cluster->view().Groups.find(group);
    if (it == Cluster->view().Groups.end() || it->second.Revision != revision ||
        Failovers.contains(group) || changes.size() == platform::MaxKeyChanges)
      continue;
    cluster::GroupRecord record = it->second.Value;
    record.Epoch =
        std::max(record.Epoch, cluster::firstNumberOf(Cluster->view().Era));
    record.FailoverInProgress = true;
    record.Coordinator = cluster::formatIdentity(Cluster->self());
    record.Token = newDuty.Token;
    changes.push_back(
        {groupKey(group), cluster::encodeRecord(record), revision, false});
    names += (names.empty() ? "" : ",") + group;
  }
  if (names.empty())
    return;
  WritePending = true;
  Cluster->change(changes, [this, names, token = newDuty.Token](
                               const store::StoreReply &reply) {
    WritePending = false;
    Log.line("move_intent")
        .add("groups", names)
        .add("token", static_cast<std::int64_t>(token))
        .add("result", store::storeStatusName(reply.Status));
  });
}

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
      .add("from", failover->Record.Primary)
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
  auto state = Checks.find(failover->Group);
  bool interrupted = state != Checks.end() && state->second.InterruptedFailover;
  return failover->ChoosingSince +
         (interrupted ? PromotionSettleTime : milliseconds(0));
}

void FailoverService::verifyLeader(const FailoverPtr &failover) {
  if (base::BootClock::now() < settledAt(failover)) {
    scheduleStep(failover, StepRetry, &FailoverService::verifyLeader);
    return;
  }
  failover->Candidates.clear();
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
  // Where the log ended when another term began is not known. With a position
  // of zero, a server that is not in the new term counts as divergent.
  bool sameTerm =
      leader->Server == record.Primary && leader->Status.Term == record.Term;
  failover->StartPosition =
      sameTerm ? record.StartPosition : base::LogPosition{};
  logStage(failover, "verified");
  writeResult(failover);
}

void FailoverService::stepDown(const FailoverPtr &failover) {
  failover->ChoosingSince = base::BootClock::now();
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
    Access.Query(
        it->Record.Primary, platform::formatStepDown(status->Term + 1),
        StatusTimeout, [this, weak](const std::optional<sql::Reply> &stepped) {
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
  Access.Query(failover->Record.Primary, platform::formatStatusQuery(),
               StatusTimeout, onStatus);
}

void FailoverService::queryCandidates(const FailoverPtr &failover) {
  failover->Candidates.clear();
  std::vector<base::ServerId> ids;
  for (const auto &[id, server] : Cluster->servers()) {
    if (server.Group == failover->Group && id != failover->Record.Primary &&
        !failover->RefusedTargets.contains(id))
      ids.push_back(id);
  }
  if (failover->OldStatus)
    failover->Candidates.push_back(
        {failover->Record.Primary, *failover->OldStatus, false, true});
  queryStatus(failover, ids, &FailoverService::choose);
}

void FailoverService::queryStatus(
    const FailoverPtr &failover, const std::vector<base::ServerId> &ids,
    void (FailoverService::*next)(const FailoverPtr &)) {
  failover->QueriesSent = ids.size();
  failover->QueriesOutstanding = ids.size();
  if (ids.empty()) {
    (this->*next)(failover);
    return;
  }
  for (const auto &id : ids) {
    Access.Query(
        id, platform::formatStatusQuery(), StatusTimeout,
        [this, weak = std::weak_ptr<Failover>(failover), id,
         next](const std::optional<sql::Reply> &reply) {
          FailoverPtr it = weak.lock();
          if (!it || !isCurrent(it))
            return;
          auto status = statusOf(reply);
          if (status)
            it->Candidates.push_back(
                {id, *status, Cluster->leavingSince(id).has_value(), false});
          if (--it->QueriesOutstanding == 0)
            (this->*next)(it);
        });
  }
}

void FailoverService::choose(const FailoverPtr &failover) {
  failover->RefusedTargets.clear();
  auto best =
      cluster::choosePrimary(failover->Candidates, failover->Record.Term,
                             failover->Record.StartPosition);
  if (!best) {
    scheduleStep(failover, StepRetry, &FailoverService::stepDown);
    return;
  }
  bool behind = failover->OldStatus && !best->IsCurrentPrimary &&
                best->Status.Role == sql::ServerRole::Replica &&
                best->Status.Received < failover->OldStatus->Received;
  if (behind &&
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

void FailoverService::promote(const FailoverPtr &failover) {
  // A node that was suspended may hold a fencing token that another coordinator
  // has replaced.
  if (Cluster->viewAge() > Cluster->lease() - TokenMargin) {
    scheduleStep(failover, StepRetry, &FailoverService::promote);
    return;
  }
  Promotions->promote(
      failover->Group, failover->Target, Cluster->self().Node,
      failover->Record.Token,
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
        case platform::PromotionResult::Unknown:
          logStage(it, "promotion_unanswered");
          scheduleStep(it, StepRetry, &FailoverService::promote);
          return;
        }
      });
}

void FailoverService::waitForPromotion(const FailoverPtr &failover) {
  if (base::BootClock::now() - failover->PromotedAt > LeadershipTimeout) {
    logStage(failover, "not_leading");
    stepDown(failover);
    return;
  }
  Access.Query(failover->Target, platform::formatStatusQuery(), StatusTimeout,
               [this, weak = std::weak_ptr<Failover>(failover)](
                   const std::optional<sql::Reply> &reply) {
                 FailoverPtr it = weak.lock();
                 if (!it || !isCurrent(it))
                   return;
                 auto status = statusOf(reply);
                 bool present = it->Target == it->Record.Primary;
                 if (status &&
                     cluster::isLeading(*status, it->Record.Term, present)) {
                   logStage(it, "leads");
                   it->NewTerm = status->Term;
                   writeResult(it);
                   return;
                 }
                 scheduleStep(it, PromotionPollPeriod,
                              &FailoverService::waitForPromotion);
               });
}

void FailoverService::writeResult(const FailoverPtr &failover) {
  cluster::GroupRecord record = failover->Record;
  ++record.Epoch;
  record.Primary = failover->Target;
  record.Term = failover->NewTerm;
  record.StartPosition = failover->StartPosition;
  record.FailoverInProgress = false;
  record.Coordinator.clear();
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
