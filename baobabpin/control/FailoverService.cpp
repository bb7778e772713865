#include "baobabpin/control/FailoverService.h"

#include "baobabpin/control/GroupChanges.h"
#include "baobabpin/control/RecordKeys.h"
#include "baobabpin/control/internal/Failover.h"

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
/// missing record or verifies one.
constexpr milliseconds RecordCreationDelay{1500};
constexpr milliseconds EvidenceTimeout{150};
/// After a failover that could only promote the old primary again, the next one
/// is considered only after this time.
constexpr milliseconds KeptPrimaryDelay{1000};
/// Decisions that follow each other within this time are announced together.
constexpr milliseconds IntentCollectionTime{5};

} // namespace

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
  Holders = std::make_unique<HolderKeeper>(*Cluster, Access, Log);
  Leadership = std::make_unique<LeadershipCheck>(*Cluster, Access, Log);
  Leadership->OnDeposed = [this](const auto &group) { announce(group); };
  Promotions =
      std::make_unique<PromotionCalls>(kernel.loop(), PromotionsEndpoint, Log);
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

bool FailoverService::mayPromoteLate(const base::GroupName &group) {
  return Promotions->mayTakeEffect(group);
}

void FailoverService::check(const base::GroupName &group) {
  Checks[group].SuspectedByPeer = true;
}

void FailoverService::tick() {
  Promotions->tick();
  const auto *config = Cluster->configuration();
  if (!config)
    return;
  for (const auto &[group, it] : config->Groups)
    checkGroup(group);
  if (!DuePolls.empty())
    pollPeers();
  Holders->tick();
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
    bool kept = failover->second->Target == failover->second->Record.Primary;
    // No other server could lead.
    if (done && kept)
      state.NextPoll = now + KeptPrimaryDelay;
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
  bool takingOver =
      record.FailoverInProgress &&
      kernel::onTimeSilence(Kernel->loop().lateness(), state.RecordSeen, now) >
          cluster::FailoverStallTimeout;
  if (!Cluster->isMonitoring())
    return;
  bool suspect = false;
  if (startupDone && !record.FailoverInProgress) {
    auto own = Access.Observe(group);
    suspect = cluster::isSuspect(own);
    Leadership->update(group, own);
  }
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
  // One of several may have missed a promotion whose record was lost, and so
  // may the only one if the store was restored. Such a record says less than
  // any lost one and is to be verified.
  bool isFirst = primaries.size() == 1 && Cluster->view().Era == 0;
  std::uint64_t epoch = isFirst ? 1 : 0;
  WritePending = true;
  cluster::GroupRecord record{.Epoch = epoch,
                              .Primary = primaries.front(),
                              .PrimaryStartedMs = runOf(primaries.front())};
  Cluster->change({{groupKey(group), cluster::encodeRecord(record), 0, false}},
                  [this](const store::StoreReply &) { WritePending = false; });
}

void FailoverService::requestVerification(const base::GroupName &group) {
  bool isTurn =
      Cluster->isFirstMonitor() ||
      base::BootClock::now() - Checks[group].RecordSeen > RecordCreationDelay;
  if (!Cluster->isStoreReachable() || !isTurn || WritePending ||
      Verifier->isBusy())
    return;
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
    evidence.Peers.push_back({node, reply.CanCoordinate,
                              it->second.FailoverInProgress,
                              it->second.PrimaryReplyAge, it->second.Unsure});
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
  evidence.SelfCanCoordinate = Cluster->canCoordinate();
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
      .add("unsure", evidence.Own.Unsure ? "yes" : "no")
      .add("peers_unsure",
           static_cast<std::int64_t>(std::ranges::count_if(
               evidence.Peers, [](const auto &it) { return it.Unsure; })))
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
  // The groups are announced again while they need a failover.
  if (WritePending || !Cluster->mayHoldDuty())
    return;
  const auto &duty = Cluster->view().Duty;
  cluster::DutyRecord newDuty{
      Cluster->self().Node,
      cluster::nextToken(duty.Value.Token, Cluster->view().Era)};
  GroupChanges changes{
      {{dutyKey(), cluster::encodeRecord(newDuty), duty.Revision, false}}, {}};
  for (const auto &[group, revision] : due) {
    auto it = Cluster->view().Groups.find(group);
    if (it == Cluster->view().Groups.end() || it->second.Revision != revision ||
        Failovers.contains(group) || isFull(changes))
      continue;
    cluster::GroupRecord record = it->second.Value;
    Checks[group].InterruptedFailover = record.FailoverInProgress;
    record.Epoch =
        std::max(record.Epoch, cluster::firstNumberOf(Cluster->view().Era));
    record.FailoverInProgress = true;
    record.Coordinator = cluster::formatIdentity(Cluster->self());
    record.Token = newDuty.Token;
    addGroup(changes, group, record, revision);
  }
  if (changes.Names.empty())
    return;
  WritePending = true;
  Cluster->change(changes.Keys,
                  [this, names = changes.Names,
                   token = newDuty.Token](const store::StoreReply &reply) {
                    WritePending = false;
                    Log.line("move_intent")
                        .add("groups", names)
                        .add("token", static_cast<std::int64_t>(token))
                        .add("result", store::storeStatusName(reply.Status));
                  });
}

} // namespace baobabpin::control
