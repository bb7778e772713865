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
/// A node that has just started has no connections of its own yet.
constexpr milliseconds SettlingTime{3000};
/// A node that is not the store reader creates a missing record after this.
constexpr milliseconds CreateAfter{1500};
constexpr milliseconds EvidenceTimeout{150};
constexpr milliseconds RevokeTimeout{500};
constexpr milliseconds RevokeRetry{100};
constexpr milliseconds StatusTimeout{250};
constexpr milliseconds StepRetry{50};
constexpr milliseconds LeadPoll{30};
/// The platform's promotion takes some hundred milliseconds.
constexpr milliseconds LeadLimit{2500};
/// How long a planned move waits for the new primary to receive everything.
constexpr milliseconds CatchUpLimit{400};
/// A token may be used only while the store has confirmed it this recently;
/// a takeover waits longer than this.
constexpr milliseconds TokenFreshness =
    cluster::PrimaryLease - milliseconds(500);

/// What a server reported; empty without a whole report.
std::optional<sql::ServerStatus> statusOf(const std::optional<sql::Reply> &it) {
  if (!it || !it->succeeded() || it->Rows.empty())
    return std::nullopt;
  return platform::parseStatusRow(it->Rows.front());
}

} // namespace

struct FailoverService::Move {
  base::GroupName Group;
  cluster::GroupRecord Record;
  bool Planned = false;
  base::BootTime StartedAt{};
  /// Nodes that were registered at the start, this one included.
  std::size_t Registered = 0;
  std::set<std::string> Unacknowledged;
  std::size_t Quorum = 0;
  /// When enough nodes had acknowledged the intent.
  std::optional<base::BootTime> QuorumAt;
  /// Set when the old primary confirmed that it stepped down.
  std::optional<sql::ServerStatus> OldStatus;
  base::BootTime ChoosingSince{};
  std::vector<cluster::Candidate> Candidates;
  std::size_t QueriesOutstanding = 0;
  base::ServerId Target;
  /// The end of Target's log before its promotion.
  base::LogPosition Base;
  /// The term that Target leads.
  base::TermNumber NewTerm = 0;
  std::set<base::ServerId> Refused;
  base::BootTime PromotedAt{};
  kernel::Timer Next;
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
  Promotions =
      std::make_unique<platform::Promotions>(kernel.loop(), PromotionsEndpoint);
  Ticker = kernel.loop().runEvery(TickPeriod, [this] { tick(); });
  return {};
}

void FailoverService::stop() {
  Ticker.cancel();
  Moves.clear();
}

bool FailoverService::isFailingOver(const base::GroupName &group) const {
  return Moves.contains(group);
}

void FailoverService::check(const base::GroupName &group) {
  Watches[group].Asked = true;
}

void FailoverService::tick() {
  const auto *config = Cluster->configuration();
  if (!config)
    return;
  for (const auto &[group, it] : config->Groups)
    checkGroup(group);
}

void FailoverService::checkGroup(const base::GroupName &group) {
  auto now = base::BootClock::now();
  const auto &groups = Cluster->view().Groups;
  auto it = groups.find(group);
  GroupWatch &watch = Watches[group];
  if (it == groups.end()) {
    // All nodes see a new group at the same time; one creates its record, the
    // others only if that one does not.
    auto [missing, first] = Missing.emplace(group, now);
    if (Cluster->isStoreReachable() &&
        (Cluster->isStoreReader() || now - missing->second > CreateAfter))
      createRecord(group);
    return;
  }
  Missing.erase(group);
  if (watch.RecordRevision != it->second.Revision) {
    watch.RecordRevision = it->second.Revision;
    watch.RecordSeen = now;
  }
  const cluster::GroupRecord &record = it->second.Value;
  if (auto move = Moves.find(group); move != Moves.end()) {
    if (isCurrent(move->second))
      return;
    bool done = !record.FailoverInProgress;
    Moves.erase(move);
    if (done)
      Cluster->pushGroup(group);
  }
  if (record.FailoverInProgress &&
      record.Mover == cluster::formatIdentity(Cluster->self())) {
    startMove(group);
    return;
  }
  bool settled = now - StartedAt > SettlingTime;
  bool takeOver =
      record.FailoverInProgress && now - watch.RecordSeen > cluster::StuckAfter;
  bool suspect = settled && !record.FailoverInProgress &&
                 cluster::isSuspect(Access.Observe(group));
  if (!Cluster->isMonitoring())
    return;
  bool due = takeOver || suspect || (watch.Asked && !record.FailoverInProgress);
  if (!due || watch.Polling || now < watch.NextPoll)
    return;
  watch.Asked = false;
  watch.NextPoll = now + PollPeriod;
  pollPeers(group, takeOver);
}

void FailoverService::createRecord(const base::GroupName &group) {
  if (Writing)
    return;
  for (const auto &[id, server] : Cluster->servers()) {
    if (server.Group != group || server.Draining ||
        server.Role != sql::ServerRole::Primary)
      continue;
    Writing = true;
    cluster::GroupRecord record{.Epoch = 1, .Primary = id};
    Cluster->change(
        {{groupKey(group), cluster::encodeRecord(record), 0, false}},
        [this](const store::StoreReply &) { Writing = false; });
    return;
  }
}

void FailoverService::pollPeers(const base::GroupName &group, bool takeOver) {
  auto question = std::make_shared<cluster::MoveQuestion>();
  question->Self = Cluster->self().Node;
  question->TakeOver = takeOver;
  question->RecordRevision = Cluster->view().Groups.at(group).Revision;
  auto peers = Cluster->watchers();
  question->PeersAsked = peers.size();
  auto outstanding = std::make_shared<std::size_t>(peers.size());
  EvidenceRequest request{group, takeOver ||
                                     cluster::isSuspect(Access.Observe(group))};
  Watches[group].Polling = true;
  if (peers.empty()) {
    onEvidence(group, *question);
    return;
  }
  for (const auto &peer : peers) {
    auto onReply = [this, group, question, outstanding,
                    node = peer.Name](const std::optional<std::string> &body) {
      auto reply = body ? decodeEvidenceReply(*body) : std::nullopt;
      if (reply)
        question->Peers.push_back({node, reply->StoreReachable,
                                   reply->FailoverInProgress,
                                   reply->PrimaryReplyAge});
      if (--*outstanding == 0)
        onEvidence(group, *question);
    };
    Cluster->caller().call(peer.Endpoint, EvidencePath, encode(request),
                           EvidenceTimeout, onReply);
  }
}

void FailoverService::onEvidence(const base::GroupName &group,
                                 const cluster::MoveQuestion &asked) {
  Watches[group].Polling = false;
  // What peers said of an earlier primary says nothing about the present one.
  auto record = Cluster->view().Groups.find(group);
  if (record == Cluster->view().Groups.end() ||
      record->second.Revision != asked.RecordRevision)
    return;
  cluster::MoveQuestion question = asked;
  question.Own = Access.Observe(group);
  question.SelfStoreReachable = Cluster->isStoreReachable();
  question.DutyHolder = Cluster->view().Duty.Value.Holder;
  cluster::MoveVerdict verdict = cluster::decideMove(question);
  std::size_t vouching =
      std::ranges::count_if(question.Peers, [](const auto &it) {
        return it.PrimaryReplyAge && *it.PrimaryReplyAge < cluster::VouchWithin;
      });
  Log.line("primary_checked")
      .add("group", group)
      .add("verdict", cluster::moveVerdictName(verdict))
      .add("leaving", question.Own.Leaving ? "yes" : "no")
      .add("heard_age_ms",
           question.Own.PrimaryReplyAge.value_or(std::chrono::seconds(-1)))
      .add("unreachable", question.Own.Unreachable ? "yes" : "no")
      .add("peers_replied", static_cast<std::int64_t>(question.Peers.size()))
      .add("peers_vouching", static_cast<std::int64_t>(vouching))
      .add("duty_holder", question.DutyHolder)
      .add("take_over", question.TakeOver ? "yes" : "no");
  if (verdict == cluster::MoveVerdict::MoveNow)
    writeIntent(group);
}

void FailoverService::writeIntent(const base::GroupName &group) {
  auto it = Cluster->view().Groups.find(group);
  if (it == Cluster->view().Groups.end() || Moves.contains(group) || Writing)
    return;
  const auto &duty = Cluster->view().Duty;
  cluster::DutyRecord newDuty{Cluster->self().Node, duty.Value.Token + 1};
  cluster::GroupRecord record = it->second.Value;
  record.FailoverInProgress = true;
  record.Mover = cluster::formatIdentity(Cluster->self());
  record.Token = newDuty.Token;
  Writing = true;
  Cluster->change(
      {{dutyKey(), cluster::encodeRecord(newDuty), duty.Revision, false},
       {groupKey(group), cluster::encodeRecord(record), it->second.Revision,
        false}},
      [this, group, token = newDuty.Token](const store::StoreReply &reply) {
        Writing = false;
        Log.line("move_intent")
            .add("group", group)
            .add("token", static_cast<std::int64_t>(token))
            .add("result", store::storeStatusName(reply.Status));
      });
}

bool FailoverService::isCurrent(const MovePtr &move) const {
  auto it = Cluster->view().Groups.find(move->Group);
  return it != Cluster->view().Groups.end() && it->second.Value == move->Record;
}

void FailoverService::later(const MovePtr &move, milliseconds delay,
                            void (FailoverService::*step)(const MovePtr &)) {
  move->Next = Kernel->loop().runAfter(
      delay, [this, weak = std::weak_ptr<Move>(move), step] {
        MovePtr it = weak.lock();
        if (it && isCurrent(it))
          (this->*step)(it);
      });
}

void FailoverService::logMove(const MovePtr &move, std::string_view stage) {
  Log.line("move")
      .add("group", move->Group)
      .add("stage", stage)
      .add("from", move->Record.Primary)
      .add("to", move->Target)
      .add("token", static_cast<std::int64_t>(move->Record.Token))
      .add("planned", move->Planned ? "yes" : "no")
      .add("unacknowledged",
           static_cast<std::int64_t>(move->Unacknowledged.size()))
      .add("quorum", static_cast<std::int64_t>(move->Quorum))
      .add("elapsed_ms", base::BootClock::now() - move->StartedAt);
}

void FailoverService::startMove(const base::GroupName &group) {
  auto move = std::make_shared<Move>();
  move->Group = group;
  move->Record = Cluster->view().Groups.at(group).Value;
  move->StartedAt = base::BootClock::now();
  move->Planned = !Access.Observe(group).Unreachable;
  Moves[group] = move;
  Cluster->revoke(group, move->Record.Epoch);
  const std::string &self = Cluster->self().Node;
  move->Unacknowledged.insert(self);
  Cluster->Hooks.DrainPrimary(group, [weak = std::weak_ptr<Move>(move), self] {
    if (MovePtr it = weak.lock())
      it->Unacknowledged.erase(self);
  });
  for (const auto &peer : Cluster->peers()) {
    move->Unacknowledged.insert(peer.Name);
    revokePeer(move, peer);
  }
  move->Registered = move->Unacknowledged.size();
  auto wallTime = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  move->Quorum = cluster::moveQuorum(
      move->Registered, cluster::countRecent(Cluster->view(), wallTime));
  logMove(move, "started");
  later(move, milliseconds(1), &FailoverService::waitForRevocation);
}

void FailoverService::revokePeer(const MovePtr &move, const PeerNode &peer) {
  std::string body = encode(
      RevokeRequest{move->Group, move->Record.Epoch,
                    cluster::encodeGroupChange(Cluster->view(), move->Group)});
  Cluster->caller().call(peer.Endpoint, RevokePath, body, RevokeTimeout,
                         [this, weak = std::weak_ptr<Move>(move),
                          peer](const std::optional<std::string> &reply) {
                           MovePtr it = weak.lock();
                           if (!it)
                             return;
                           if (reply) {
                             it->Unacknowledged.erase(peer.Name);
                             return;
                           }
                           auto retry = std::make_shared<kernel::Timer>();
                           *retry = Kernel->loop().runAfter(
                               RevokeRetry, [this, weak, peer, retry] {
                                 MovePtr again = weak.lock();
                                 if (again && isCurrent(again) &&
                                     again->Unacknowledged.contains(peer.Name))
                                   revokePeer(again, peer);
                               });
                         });
}

bool FailoverService::hasLeaseEnded(const MovePtr &move) const {
  constexpr auto Lease = cluster::PrimaryLease + cluster::LeaseMargin;
  auto now = base::BootClock::now();
  std::size_t acknowledged = move->Registered - move->Unacknowledged.size();
  if (!move->QuorumAt && acknowledged >= move->Quorum)
    move->QuorumAt = now;
  if (move->QuorumAt && now - *move->QuorumAt > Lease)
    return true;
  return now - move->StartedAt > cluster::OfflineLimit + Lease;
}

void FailoverService::waitForRevocation(const MovePtr &move) {
  // A node that deregistered has stopped using servers.
  std::set<std::string> registered{Cluster->self().Node};
  for (const auto &it : Cluster->peers())
    registered.insert(it.Name);
  std::erase_if(move->Unacknowledged, [&](const std::string &it) {
    return !registered.contains(it);
  });
  if (!move->Unacknowledged.empty() && !hasLeaseEnded(move)) {
    later(move, milliseconds(5), &FailoverService::waitForRevocation);
    return;
  }
  logMove(move, "stopped");
  stepDown(move);
}

void FailoverService::stepDown(const MovePtr &move) {
  move->ChoosingSince = base::BootClock::now();
  std::weak_ptr<Move> weak = move;
  auto onStatus = [this, weak](const std::optional<sql::Reply> &reply) {
    MovePtr it = weak.lock();
    if (!it || !isCurrent(it))
      return;
    auto status = statusOf(reply);
    if (!status || status->Role != sql::ServerRole::Primary) {
      it->OldStatus = status;
      queryCandidates(it);
      return;
    }
    Access.Query(it->Record.Primary, platform::formatStepDown(status->Term + 1),
                 StatusTimeout,
                 [this, weak](const std::optional<sql::Reply> &stepped) {
                   MovePtr moved = weak.lock();
                   if (!moved || !isCurrent(moved))
                     return;
                   if (auto it = statusOf(stepped))
                     moved->OldStatus = it;
                   logMove(moved, moved->OldStatus ? "stepped_down"
                                                   : "step_down_unconfirmed");
                   queryCandidates(moved);
                 });
  };
  Access.Query(move->Record.Primary, platform::formatStatusQuery(),
               StatusTimeout, onStatus);
}

void FailoverService::queryCandidates(const MovePtr &move) {
  move->Candidates.clear();
  std::vector<base::ServerId> ids;
  for (const auto &[id, server] : Cluster->servers()) {
    if (server.Group == move->Group && id != move->Record.Primary &&
        !move->Refused.contains(id))
      ids.push_back(id);
  }
  if (move->OldStatus)
    move->Candidates.push_back(
        {move->Record.Primary, *move->OldStatus, false, true});
  move->QueriesOutstanding = ids.size();
  if (ids.empty()) {
    choose(move);
    return;
  }
  for (const auto &id : ids) {
    Access.Query(
        id, platform::formatStatusQuery(), StatusTimeout,
        [this, weak = std::weak_ptr<Move>(move),
         id](const std::optional<sql::Reply> &reply) {
          MovePtr it = weak.lock();
          if (!it || !isCurrent(it))
            return;
          auto status = statusOf(reply);
          if (status)
            it->Candidates.push_back(
                {id, *status, Cluster->leavingSince(id).has_value(), false});
          if (--it->QueriesOutstanding == 0)
            choose(it);
        });
  }
}

void FailoverService::choose(const MovePtr &move) {
  move->Refused.clear();
  auto best = cluster::choosePrimary(move->Candidates, move->Record.Term,
                                     move->Record.Base);
  if (!best) {
    later(move, StepRetry, &FailoverService::stepDown);
    return;
  }
  bool behind = move->OldStatus && !best->Present &&
                best->Status.Role == sql::ServerRole::Replica &&
                best->Status.Received < move->OldStatus->Received;
  if (behind && base::BootClock::now() - move->ChoosingSince < CatchUpLimit) {
    later(move, milliseconds(15), &FailoverService::queryCandidates);
    return;
  }
  move->Target = best->Server;
  move->Base = best->Status.Received;
  Log.line("move_candidate")
      .add("group", move->Group)
      .add("server", best->Server)
      .add("received", platform::formatLogPosition(best->Status.Received))
      .add("candidates", static_cast<std::int64_t>(move->Candidates.size()))
      .add("old_received", move->OldStatus ? platform::formatLogPosition(
                                                 move->OldStatus->Received)
                                           : "unknown");
  promote(move);
}

void FailoverService::promote(const MovePtr &move) {
  // A node that was suspended may hold a token that another one has replaced.
  if (Cluster->viewAge() > TokenFreshness) {
    later(move, StepRetry, &FailoverService::promote);
    return;
  }
  Promotions->promote(
      move->Group, move->Target, Cluster->self().Node, move->Record.Token,
      [this,
       weak = std::weak_ptr<Move>(move)](platform::PromotionResult result) {
        MovePtr it = weak.lock();
        if (!it || !isCurrent(it))
          return;
        switch (result) {
        case platform::PromotionResult::Accepted:
          logMove(it, "promoted");
          it->PromotedAt = base::BootClock::now();
          awaitLead(it);
          return;
        case platform::PromotionResult::Refused:
          logMove(it, "promotion_refused");
          it->Refused.insert(it->Target);
          later(it, StepRetry, &FailoverService::queryCandidates);
          return;
        case platform::PromotionResult::Unknown:
          logMove(it, "promotion_unanswered");
          later(it, StepRetry, &FailoverService::promote);
          return;
        }
      });
}

void FailoverService::awaitLead(const MovePtr &move) {
  if (base::BootClock::now() - move->PromotedAt > LeadLimit) {
    logMove(move, "not_leading");
    stepDown(move);
    return;
  }
  Access.Query(move->Target, platform::formatStatusQuery(), StatusTimeout,
               [this, weak = std::weak_ptr<Move>(move)](
                   const std::optional<sql::Reply> &reply) {
                 MovePtr it = weak.lock();
                 if (!it || !isCurrent(it))
                   return;
                 auto status = statusOf(reply);
                 bool present = it->Target == it->Record.Primary;
                 if (status &&
                     cluster::isLeading(*status, it->Record.Term, present)) {
                   logMove(it, "leads");
                   it->NewTerm = status->Term;
                   finish(it);
                   return;
                 }
                 later(it, LeadPoll, &FailoverService::awaitLead);
               });
}

void FailoverService::finish(const MovePtr &move) {
  cluster::GroupRecord record = move->Record;
  ++record.Epoch;
  record.Primary = move->Target;
  record.Term = move->NewTerm;
  record.Base = move->Base;
  record.FailoverInProgress = false;
  record.Mover.clear();
  auto revision = Cluster->view().Groups.at(move->Group).Revision;
  Cluster->change(
      {{groupKey(move->Group), cluster::encodeRecord(record), revision, false}},
      [this, weak = std::weak_ptr<Move>(move)](const store::StoreReply &reply) {
        MovePtr it = weak.lock();
        if (!it)
          return;
        logMove(it, std::string("recorded_") +
                        std::string(store::storeStatusName(reply.Status)));
        if (reply.Status != store::StoreStatus::Ok)
          later(it, milliseconds(200), &FailoverService::finish);
      });
}

} // namespace baobabpin::control
