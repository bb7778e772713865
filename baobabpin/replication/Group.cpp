#include "baobabpin/replication/Group.h"

#include "baobabpin/replication/Confirmation.h"
#include "baobabpin/replication/Freshness.h"
#include "baobabpin/replication/Handover.h"
#include "baobabpin/replication/Promotion.h"

#include <algorithm>

namespace baobabpin::replication {
namespace {

/// Restarts the measurement of all silences when this process was paused: the
/// servers' answers may have arrived during the pause and not been read yet.
void detectOwnPause(GroupState &state, base::TimePoint now, Actions &out) {
  auto last = state.LastInputAt.value_or(now);
  state.LastInputAt = std::max(last, now);
  if (now - last <= state.Config.Times.PauseGap)
    return;
  state.SuspicionStart = now;
  state.NoPrimarySince.reset();
  state.NoMajoritySince.reset();
  state.StallSince.reset();
  for (auto &it : state.Servers)
    it.StrandedSince.reset();
  out.emplace_back(OwnPauseDetected{now - last});
}

void recordTerm(GroupState &state, base::TermNumber term) {
  state.HighestTerm = std::max(state.HighestTerm, term);
}

void recordAnswer(GroupState &state, ServerState &server,
                  base::TimePoint sentAt, base::TimePoint now) {
  const auto &times = state.Config.Times;
  bool absent = server.ConsecutiveRefusals >= times.RefusalsToSuspect ||
                internal::silenceOf(state, server, now) >= times.AbsentAfter;
  if (absent)
    server.ReturnedAt = now;
  server.AnsweredAt = now;
  server.AnsweredSentAt =
      std::max(server.AnsweredSentAt.value_or(sentAt), sentAt);
  server.ConsecutiveRefusals = 0;
  server.UnansweredSince.reset();
  // A status request that is still outstanding counts as unanswered from now
  // on.
  if (server.StatusSentAt && *server.StatusSentAt != sentAt)
    server.UnansweredSince = now;
}

/// Stores a report unless a newer one is known. Reports may arrive out of order
/// because they come over several connections. A server's promised term never
/// decreases, and neither does its log position within one term.
void mergeReport(ServerState &server, ServerReport report,
                 base::TimePoint sentAt) {
  if (!server.Report || report.PromisedTerm > server.Report->PromisedTerm) {
    server.Report = std::move(report);
    server.ReportSentAt = sentAt;
    server.PromiseSentAt = sentAt;
    return;
  }
  if (report.PromisedTerm < server.Report->PromisedTerm ||
      sentAt < server.ReportSentAt)
    return;
  const auto &old = *server.Report;
  bool isShorter =
      old.Position.Term == old.PromisedTerm && report.Position < old.Position;
  if (isShorter) {
    report.Position = old.Position;
    report.TermStarts = old.TermStarts;
  }
  server.Report = std::move(report);
  server.ReportSentAt = sentAt;
  server.PromiseSentAt = std::max(server.PromiseSentAt, sentAt);
}

/// Returns the position that the replicas are asked to reach.
base::LogPosition wantedPosition(const GroupState &state) {
  if (state.CurrentHandover.Stage != HandoverStage::CatchingUp)
    return state.AwaitedPosition;
  const auto *from = findServer(state, state.CurrentHandover.From);
  if (!from->Report)
    return state.AwaitedPosition;
  return std::max(state.AwaitedPosition, from->Report->Position);
}

void sendStatus(GroupState &state, ServerState &server, base::TimePoint now,
                Actions &out) {
  const auto &times = state.Config.Times;
  auto primary = currentPrimary(state);
  bool isPrimary = primary && primary->Primary == server.Config.Id;
  SendStatus request{.Server = server.Config.Id};
  auto wanted = wantedPosition(state);
  if (wanted.Index > 0 && !isPrimary) {
    request.WaitPosition = wanted;
    request.Wait = times.StatusWait;
  }
  request.Timeout = request.Wait + times.StatusTimeout;
  server.StatusSentAt = now;
  server.StatusDeadline = now + request.Timeout;
  server.LastStatusRequestAt = now;
  if (!server.UnansweredSince)
    server.UnansweredSince = now;
  out.emplace_back(std::move(request));
}

/// Whether the next status request must not wait for the status interval: the
/// server has answered the last request but not yet reported the awaited
/// position.
bool lacksAwaitedPosition(const GroupState &state, const ServerState &server) {
  if (!server.Report || server.UnansweredSince)
    return false;
  const auto &handover = state.CurrentHandover;
  bool drained = handover.Stage == HandoverStage::CatchingUp;
  if (drained && server.Config.Id == handover.From)
    return server.ReportSentAt < handover.DrainedAt;
  return server.Report->Position < wantedPosition(state);
}

/// Whether the state of \p server requires frequent status requests to the
/// group. A replica that has not answered for a long time does not.
bool needsFrequentStatus(const GroupState &state, const ServerState &server,
                         base::TimePoint now) {
  if (!server.UnansweredSince)
    return server.StrandedSince.has_value();
  auto primary = currentPrimary(state);
  bool isPrimary = primary && primary->Primary == server.Config.Id;
  return isPrimary || internal::silenceOf(state, server, now) <
                          state.Config.Times.AbsentAfter;
}

base::Duration statusInterval(const GroupState &state, base::TimePoint now) {
  const auto &times = state.Config.Times;
  bool busy =
      state.LastRequestAt && now - *state.LastRequestAt <= times.BusyFor;
  bool unstable = state.CurrentPromotion.Stage != PromotionStage::Idle ||
                  state.CurrentHandover.Stage != HandoverStage::Idle ||
                  state.StallSince || !currentPrimary(state);
  if (busy || unstable)
    return times.BusyStatusInterval;
  for (const auto &it : state.Servers) {
    if (needsFrequentStatus(state, it, now))
      return times.BusyStatusInterval;
  }
  return times.IdleStatusInterval;
}

void sendDueStatusRequests(GroupState &state, base::TimePoint now,
                           Actions &out) {
  auto interval = statusInterval(state, now);
  for (auto &it : state.Servers) {
    if (it.StatusSentAt && now >= it.StatusDeadline)
      it.StatusSentAt.reset();
    if (it.StatusSentAt)
      continue;
    bool due =
        !it.LastStatusRequestAt || now - *it.LastStatusRequestAt >= interval;
    if (due || lacksAwaitedPosition(state, it))
      sendStatus(state, it, now, out);
  }
}

/// Tells servers that do not follow the primary to do so. Only an active owner
/// sends these requests, because two owners with different views would
/// contradict each other.
void sendFollows(GroupState &state, base::TimePoint now, Actions &out) {
  auto primary = currentPrimary(state);
  if (!primary || !state.Active)
    return;
  for (auto &it : state.Servers) {
    if (it.Config.Id == primary->Primary || !isReachable(state, it, now))
      continue;
    const auto &report = *it.Report;
    bool follows =
        report.Term == primary->Term && report.Primary == primary->Primary;
    bool tooSoon = it.FollowSentAt &&
                   now - *it.FollowSentAt < state.Config.Times.FollowInterval;
    if (follows || tooSoon || report.PromisedTerm > primary->Term)
      continue;
    it.FollowSentAt = now;
    out.emplace_back(SendFollow{it.Config.Id, primary->Term, primary->Primary});
  }
}

void reportPrimaryChange(GroupState &state, Actions &out) {
  auto primary = currentPrimary(state);
  if (!primary || primary->Term <= state.ReportedTerm)
    return;
  state.ReportedTerm = primary->Term;
  out.emplace_back(PrimaryChanged{primary->Term, primary->Primary});
}

/// Runs every step that an input may make possible.
void advance(GroupState &state, base::TimePoint now, Random &rng,
             Actions &out) {
  internal::extendProofs(state);
  reportPrimaryChange(state, out);
  internal::advancePromotion(state, now, rng, out);
  internal::advanceHandover(state, now, out);
  internal::detectFailure(state, now, out);
  if (state.AwaitedPosition.Index > 0 &&
      isConfirmed(state, state.AwaitedPosition))
    state.AwaitedPosition = {};
  sendFollows(state, now, out);
  sendDueStatusRequests(state, now, out);
}

/// Returns the server's last report, updated by the answer to a prepare
/// request. A server that promised a higher term follows no primary until the
/// primary of that term contacts it.
ServerReport reportOfPromise(const ServerState &server,
                             const PrepareAnswer &answer) {
  ServerReport report = server.Report.value_or(ServerReport{});
  report.Server = answer.Server;
  if (answer.PromisedTerm > report.PromisedTerm) {
    report.Role = ServerRole::Replica;
    report.Primary.clear();
    report.PrimaryContact.reset();
  }
  report.PromisedTerm = answer.PromisedTerm;
  report.PromisedBy = answer.PromisedBy;
  report.Position = answer.Position;
  report.TermStarts = answer.TermStarts;
  return report;
}

void finishPromotion(GroupState &state, Actions &out) {
  auto &promotion = state.CurrentPromotion;
  promotion.Stage = PromotionStage::Idle;
  out.emplace_back(PromotionFinished{promotion.Term, promotion.Chosen});
}

/// Records that the server is now the primary of \p term. Its next status
/// report tells its position.
void recordPromoted(ServerState &server, base::TermNumber term) {
  if (!server.Report || server.Report->PromisedTerm != term)
    return;
  server.Report->Role = ServerRole::Primary;
  server.Report->Term = term;
  server.Report->Primary = server.Config.Id;
}

} // namespace

Actions onTick(GroupState &state, base::TimePoint now, Random &rng) {
  Actions out;
  detectOwnPause(state, now, out);
  advance(state, now, rng, out);
  return out;
}

Actions onReport(GroupState &state, const ServerReport &report,
                 base::TimePoint sentAt, base::TimePoint receivedAt,
                 Random &rng) {
  Actions out;
  detectOwnPause(state, receivedAt, out);
  auto *server = findServer(state, report.Server);
  if (!server)
    return out;
  recordTerm(state, std::max(report.Term, report.PromisedTerm));
  recordAnswer(state, *server, sentAt, receivedAt);
  if (server->StatusSentAt == sentAt)
    server->StatusSentAt.reset();
  mergeReport(*server, report, sentAt);
  bool isPrimary = report.Role == ServerRole::Primary &&
                   report.Term == report.PromisedTerm &&
                   report.Position.Term == report.Term;
  if (isPrimary)
    internal::recordSample(state, report.Position, sentAt);
  advance(state, receivedAt, rng, out);
  return out;
}

Actions onStatementAnswer(GroupState &state, const StatementReport &report,
                          base::TimePoint sentAt, base::TimePoint receivedAt,
                          Random &rng) {
  Actions out;
  detectOwnPause(state, receivedAt, out);
  auto *server = findServer(state, report.Server);
  if (!server)
    return out;
  recordTerm(state, std::max(report.AcceptedTerm, report.Position.Term));
  recordAnswer(state, *server, sentAt, receivedAt);
  if (server->Report) {
    auto &known = *server->Report;
    if (report.AcceptedTerm > 0 && report.AcceptedTerm == known.PromisedTerm)
      server->PromiseSentAt = std::max(server->PromiseSentAt, sentAt);
    // Within the server's current term its log only grows.
    if (report.Position.Term == known.Position.Term &&
        known.Position.Term == known.PromisedTerm)
      known.Position = std::max(known.Position, report.Position);
  }
  // Only the primary of a term accepts a statement that carries this term.
  if (report.IsLogEnd && report.AcceptedTerm > 0 &&
      report.Position.Term == report.AcceptedTerm)
    internal::recordSample(state, report.Position, sentAt);
  advance(state, receivedAt, rng, out);
  return out;
}

Actions onStatementRefused(GroupState &state, const base::ServerId &server,
                           base::TermNumber serverTerm, base::TimePoint now,
                           Random &rng) {
  Actions out;
  detectOwnPause(state, now, out);
  recordTerm(state, serverTerm);
  auto *known = findServer(state, server);
  if (known && !known->StatusSentAt)
    sendStatus(state, *known, now, out);
  advance(state, now, rng, out);
  return out;
}

Actions onPrepareAnswer(GroupState &state, const PrepareAnswer &answer,
                        base::TimePoint sentAt, base::TimePoint receivedAt,
                        Random &rng) {
  Actions out;
  detectOwnPause(state, receivedAt, out);
  auto *server = findServer(state, answer.Server);
  if (!server)
    return out;
  recordTerm(state, answer.PromisedTerm);
  recordAnswer(state, *server, sentAt, receivedAt);
  mergeReport(*server, reportOfPromise(*server, answer), sentAt);
  auto &promotion = state.CurrentPromotion;
  if (promotion.Stage == PromotionStage::Preparing &&
      promotion.Term == answer.Term) {
    if (answer.Granted)
      promotion.Grants[answer.Server] = answer.Position;
    else
      internal::failPromotion(state, PromotionFailure::LostRace, receivedAt,
                              rng, out);
  }
  advance(state, receivedAt, rng, out);
  return out;
}

Actions onPromoteAnswer(GroupState &state, const PromoteAnswer &answer,
                        base::TimePoint sentAt, base::TimePoint receivedAt,
                        Random &rng) {
  Actions out;
  detectOwnPause(state, receivedAt, out);
  auto *server = findServer(state, answer.Server);
  if (!server)
    return out;
  recordAnswer(state, *server, sentAt, receivedAt);
  if (answer.Accepted)
    recordPromoted(*server, answer.Term);
  auto &promotion = state.CurrentPromotion;
  bool current = promotion.Stage == PromotionStage::Promoting &&
                 promotion.Term == answer.Term;
  if (current && answer.Accepted)
    finishPromotion(state, out);
  else if (current)
    internal::failPromotion(state, PromotionFailure::Refused, receivedAt, rng,
                            out);
  advance(state, receivedAt, rng, out);
  return out;
}

Actions onNoAnswer(GroupState &state, const base::ServerId &server,
                   RequestKind request, NoAnswerKind kind, base::TimePoint now,
                   Random &rng) {
  Actions out;
  detectOwnPause(state, now, out);
  auto *known = findServer(state, server);
  if (!known)
    return out;
  if (kind == NoAnswerKind::Refused)
    ++known->ConsecutiveRefusals;
  if (!known->UnansweredSince)
    known->UnansweredSince = now;
  if (request == RequestKind::Status)
    known->StatusSentAt.reset();
  auto &promotion = state.CurrentPromotion;
  if (request == RequestKind::Prepare)
    promotion.UnansweredPrepares.insert(server);
  bool promoteLost = request == RequestKind::Promote &&
                     promotion.Stage == PromotionStage::Promoting &&
                     promotion.Chosen == server;
  if (promoteLost)
    internal::failPromotion(state, PromotionFailure::NoPromoteAnswer, now, rng,
                            out);
  advance(state, now, rng, out);
  return out;
}

void noteRequest(GroupState &state, base::TimePoint now) {
  state.LastRequestAt = now;
}

Actions awaitPosition(GroupState &state, base::LogPosition position,
                      base::TimePoint now) {
  Actions out;
  state.AwaitedPosition = std::max(state.AwaitedPosition, position);
  for (auto &it : state.Servers) {
    if (!it.StatusSentAt && lacksAwaitedPosition(state, it))
      sendStatus(state, it, now, out);
  }
  return out;
}

Actions requestStatusRound(GroupState &state, base::TimePoint now) {
  Actions out;
  for (auto &it : state.Servers) {
    if (!it.StatusSentAt)
      sendStatus(state, it, now, out);
  }
  return out;
}

} // namespace baobabpin::replication
