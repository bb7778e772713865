#include "baobabpin/replication/Group.h"

#include "baobabpin/replication/Confirmation.h"
#include "baobabpin/replication/Freshness.h"
#include "baobabpin/replication/Handover.h"
#include "baobabpin/replication/Promotion.h"

#include <algorithm>

namespace baobabpin::replication {
namespace {

/// Forgets suspicions when this process did not run for a while: the answers
/// may wait unread.
void observeTime(GroupState &state, base::TimePoint now, Actions &out) {
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

void noteTerm(GroupState &state, base::TermNumber term) {
  state.HighestTerm = std::max(state.HighestTerm, term);
}

void noteAnswer(GroupState &state, ServerKnowledge &server,
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
  // What is still outstanding counts as unanswered from now on.
  if (server.StatusSentAt && *server.StatusSentAt != sentAt)
    server.UnansweredSince = now;
}

/// Takes a report unless a newer one is known. Reports may arrive out of order
/// over several connections; promises only grow, and the log of a term does.
void mergeReport(ServerKnowledge &server, ServerReport report,
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
  bool shrinks =
      old.Position.Term == old.PromisedTerm && report.Position < old.Position;
  if (shrinks) {
    report.Position = old.Position;
    report.TermStarts = old.TermStarts;
  }
  server.Report = std::move(report);
  server.ReportSentAt = sentAt;
  server.PromiseSentAt = std::max(server.PromiseSentAt, sentAt);
}

base::LogPosition wantedPosition(const GroupState &state) {
  if (state.Handing.Stage != HandoverStage::CatchingUp)
    return state.Awaited;
  const auto *from = findServer(state, state.Handing.From);
  if (!from->Report)
    return state.Awaited;
  return std::max(state.Awaited, from->Report->Position);
}

void sendStatus(GroupState &state, ServerKnowledge &server, base::TimePoint now,
                Actions &out) {
  const auto &times = state.Config.Times;
  auto primary = currentPrimary(state);
  bool leads = primary && primary->Primary == server.Config.Id;
  SendStatus request{.Server = server.Config.Id};
  auto wanted = wantedPosition(state);
  if (wanted.Index > 0 && !leads) {
    request.WaitPosition = wanted;
    request.Wait = times.StatusWait;
  }
  request.Timeout = request.Wait + times.StatusTimeout;
  server.StatusSentAt = now;
  server.StatusDeadline = now + request.Timeout;
  server.LastAttemptAt = now;
  if (!server.UnansweredSince)
    server.UnansweredSince = now;
  out.emplace_back(std::move(request));
}

/// Whether the last request was answered and the server still has to show that
/// it holds the awaited position.
bool isAwaited(const GroupState &state, const ServerKnowledge &server) {
  if (!server.Report || server.UnansweredSince)
    return false;
  const auto &handing = state.Handing;
  bool drained = handing.Stage == HandoverStage::CatchingUp;
  if (drained && server.Config.Id == handing.From)
    return server.ReportSentAt < handing.DrainedAt;
  return server.Report->Position < wantedPosition(state);
}

/// Whether the silence of \p server calls for frequent requests to the group. A
/// replica that has been gone for long does not.
bool isDisturbing(const GroupState &state, const ServerKnowledge &server,
                  base::TimePoint now) {
  if (!server.UnansweredSince)
    return server.StrandedSince.has_value();
  auto primary = currentPrimary(state);
  bool leads = primary && primary->Primary == server.Config.Id;
  return leads || internal::silenceOf(state, server, now) <
                      state.Config.Times.AbsentAfter;
}

base::Duration heartbeatOf(const GroupState &state, base::TimePoint now) {
  const auto &times = state.Config.Times;
  bool busy = state.LastWorkAt && now - *state.LastWorkAt <= times.BusyFor;
  bool disturbed = state.Promoting.Stage != PromotionStage::Idle ||
                   state.Handing.Stage != HandoverStage::Idle ||
                   state.StallSince || !currentPrimary(state);
  if (busy || disturbed)
    return times.BusyHeartbeat;
  for (const auto &it : state.Servers) {
    if (isDisturbing(state, it, now))
      return times.BusyHeartbeat;
  }
  return times.IdleHeartbeat;
}

void sendHeartbeats(GroupState &state, base::TimePoint now, Actions &out) {
  auto interval = heartbeatOf(state, now);
  for (auto &it : state.Servers) {
    if (it.StatusSentAt && now >= it.StatusDeadline)
      it.StatusSentAt.reset();
    if (it.StatusSentAt)
      continue;
    bool due = !it.LastAttemptAt || now - *it.LastAttemptAt >= interval;
    if (due || isAwaited(state, it))
      sendStatus(state, it, now, out);
  }
}

/// Tells servers that do not follow the primary to do so. Only the active owner
/// does; two owners with different views would contradict each other.
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

void announcePrimary(GroupState &state, Actions &out) {
  auto primary = currentPrimary(state);
  if (!primary || primary->Term <= state.AnnouncedTerm)
    return;
  state.AnnouncedTerm = primary->Term;
  out.emplace_back(PrimaryChanged{primary->Term, primary->Primary});
}

/// Everything that may follow from an input.
void advance(GroupState &state, base::TimePoint now, Random &rng,
             Actions &out) {
  internal::extendProofs(state);
  announcePrimary(state, out);
  internal::advancePromotion(state, now, rng, out);
  internal::advanceHandover(state, now, out);
  internal::detectFailure(state, now, out);
  if (state.Awaited.Index > 0 && isConfirmed(state, state.Awaited))
    state.Awaited = {};
  sendFollows(state, now, out);
  sendHeartbeats(state, now, out);
}

/// The knowledge that a promise adds: the server follows nobody until it hears
/// from the new primary.
ServerReport reportOfPromise(const ServerKnowledge &server,
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
  auto &run = state.Promoting;
  run.Stage = PromotionStage::Idle;
  out.emplace_back(PromotionFinished{run.Term, run.Chosen});
}

/// The server leads \p term now; its next status tells its position.
void notePromoted(ServerKnowledge &server, base::TermNumber term) {
  if (!server.Report || server.Report->PromisedTerm != term)
    return;
  server.Report->Role = ServerRole::Primary;
  server.Report->Term = term;
  server.Report->Primary = server.Config.Id;
}

} // namespace

Actions onTick(GroupState &state, base::TimePoint now, Random &rng) {
  Actions out;
  observeTime(state, now, out);
  advance(state, now, rng, out);
  return out;
}

Actions onReport(GroupState &state, const ServerReport &report,
                 base::TimePoint sentAt, base::TimePoint receivedAt,
                 Random &rng) {
  Actions out;
  observeTime(state, receivedAt, out);
  auto *server = findServer(state, report.Server);
  if (!server)
    return out;
  noteTerm(state, std::max(report.Term, report.PromisedTerm));
  noteAnswer(state, *server, sentAt, receivedAt);
  if (server->StatusSentAt == sentAt)
    server->StatusSentAt.reset();
  mergeReport(*server, report, sentAt);
  bool leads = report.Role == ServerRole::Primary &&
               report.Term == report.PromisedTerm &&
               report.Position.Term == report.Term;
  if (leads)
    internal::recordSample(state, report.Position, sentAt);
  advance(state, receivedAt, rng, out);
  return out;
}

Actions onStatementAnswer(GroupState &state, const StatementReport &report,
                          base::TimePoint sentAt, base::TimePoint receivedAt,
                          Random &rng) {
  Actions out;
  observeTime(state, receivedAt, out);
  auto *server = findServer(state, report.Server);
  if (!server)
    return out;
  noteTerm(state, std::max(report.AcceptedTerm, report.Position.Term));
  noteAnswer(state, *server, sentAt, receivedAt);
  if (server->Report) {
    auto &known = *server->Report;
    if (report.AcceptedTerm > 0 && report.AcceptedTerm == known.PromisedTerm)
      server->PromiseSentAt = std::max(server->PromiseSentAt, sentAt);
    // The log of a server's own term only grows.
    if (report.Position.Term == known.Position.Term &&
        known.Position.Term == known.PromisedTerm)
      known.Position = std::max(known.Position, report.Position);
  }
  // Only the primary of a term accepts a request that carries it.
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
  observeTime(state, now, out);
  noteTerm(state, serverTerm);
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
  observeTime(state, receivedAt, out);
  auto *server = findServer(state, answer.Server);
  if (!server)
    return out;
  noteTerm(state, answer.PromisedTerm);
  noteAnswer(state, *server, sentAt, receivedAt);
  mergeReport(*server, reportOfPromise(*server, answer), sentAt);
  auto &run = state.Promoting;
  if (run.Stage == PromotionStage::Preparing && run.Term == answer.Term) {
    if (answer.Granted)
      run.Grants[answer.Server] = answer.Position;
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
  observeTime(state, receivedAt, out);
  auto *server = findServer(state, answer.Server);
  if (!server)
    return out;
  noteAnswer(state, *server, sentAt, receivedAt);
  if (answer.Accepted)
    notePromoted(*server, answer.Term);
  auto &run = state.Promoting;
  bool current =
      run.Stage == PromotionStage::Promoting && run.Term == answer.Term;
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
  observeTime(state, now, out);
  auto *known = findServer(state, server);
  if (!known)
    return out;
  if (kind == NoAnswerKind::Refused)
    ++known->ConsecutiveRefusals;
  if (!known->UnansweredSince)
    known->UnansweredSince = now;
  if (request == RequestKind::Status)
    known->StatusSentAt.reset();
  auto &run = state.Promoting;
  if (request == RequestKind::Prepare)
    run.Silent.insert(server);
  bool promoteLost = request == RequestKind::Promote &&
                     run.Stage == PromotionStage::Promoting &&
                     run.Chosen == server;
  if (promoteLost)
    internal::failPromotion(state, PromotionFailure::NoPromoteAnswer, now, rng,
                            out);
  advance(state, now, rng, out);
  return out;
}

void noteRequest(GroupState &state, base::TimePoint now) {
  state.LastWorkAt = now;
}

Actions awaitPosition(GroupState &state, base::LogPosition position,
                      base::TimePoint now) {
  Actions out;
  state.Awaited = std::max(state.Awaited, position);
  for (auto &it : state.Servers) {
    if (!it.StatusSentAt && isAwaited(state, it))
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
