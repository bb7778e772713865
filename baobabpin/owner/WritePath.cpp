#include "baobabpin/owner/GroupRunner.h"

#include "baobabpin/replication/Confirmation.h"
#include "baobabpin/replication/Freshness.h"
#include "baobabpin/replication/Handover.h"

#include <algorithm>

namespace baobabpin::owner {

using base::ErrorType;
using base::Outcome;
using upstream::Answer;
using upstream::CallOutcome;
using namespace std::chrono_literals;

namespace {

/// Pause before a statement is offered again, while the primary changes.
constexpr auto RetryPause = 10ms;
constexpr auto ConnectionPause = 50ms;
/// Bounds the status requests while no majority answers.
constexpr auto ProofRoundGap = 1ms;

} // namespace

void GroupRunner::dispatchToPrimary(const PendingPtr &pending) {
  auto primary = replication::currentPrimary(State);
  const auto &request = pending->Request;
  upstream::ExecuteRequest call;
  call.Term = primary->Term;
  call.IsWrite = request.is_write();
  call.Statement = request.statement();
  call.Request = request.request_id();
  // The primary holds every acknowledged write of its term's history; the
  // guard notices a position of a history that it does not continue.
  if (request.min_position().index() > 0)
    call.MinPosition = {request.min_position().term(),
                        request.min_position().index()};
  ++Sent;
  WritesSent += isWrite(*pending) ? 1 : 0;
  Links.at(primary->Primary)
      ->call(call, pending->Deadline - Loop.now(),
             [this, pending, server = primary->Primary,
              term = primary->Term](Answer answer, base::TimePoint sentAt) {
               --Sent;
               WritesSent -= isWrite(*pending) ? 1 : 0;
               onPrimaryAnswer(pending, server, term, std::move(answer),
                               sentAt);
               reportWritesInFlight();
               pump();
             });
}

void GroupRunner::onPrimaryAnswer(const PendingPtr &pending,
                                  const base::ServerId &server,
                                  base::TermNumber term, Answer answer,
                                  base::TimePoint sentAt) {
  auto now = Loop.now();
  switch (answer.Outcome) {
  case CallOutcome::Ok:
  case CallOutcome::Failed:
    if (answer.Outcome == CallOutcome::Ok)
      perform(replication::onStatementAnswer(
          State, {server, term, answer.Position, !answer.Replayed}, sentAt, now,
          Rng));
    pending->AnsweredBy = server;
    pending->AnswerTerm = term;
    pending->ProofSince = now;
    pending->Answer = std::move(answer);
    awaitProof(pending);
    return;
  case CallOutcome::Refused:
    onRefused(pending, server, answer);
    return;
  case CallOutcome::NotSent:
    reportNoAnswer(server, replication::RequestKind::Statement, answer);
    park(pending, RetryPause);
    return;
  case CallOutcome::Lost:
    reportNoAnswer(server, replication::RequestKind::Statement, answer);
    pending->MaybeRan = true;
    retryLater(pending, RetryPause, ErrorType::ConnectionLost);
    return;
  }
}

void GroupRunner::onRefused(const PendingPtr &pending,
                            const base::ServerId &server,
                            const Answer &answer) {
  switch (answer.Error) {
  case ErrorType::StaleTerm:
  case ErrorType::NotPrimary:
    perform(replication::onStatementRefused(State, server, answer.Term,
                                            Loop.now(), Rng));
    park(pending, RetryPause);
    return;
  case ErrorType::TooManyConnections:
    park(pending, ConnectionPause);
    return;
  case ErrorType::NotCaughtUp:
    park(pending, RetryPause);
    return;
  case ErrorType::PositionLost: {
    auto wanted = requirementOf(pending).Session;
    if (wanted && replication::isPositionLost(State, *wanted))
      refuse(pending, answer.Error,
             "the session's position is in no surviving history");
    else
      park(pending, RetryPause);
    return;
  }
  case ErrorType::RequestIdExpired:
    finishUnknown(pending, answer.Error);
    return;
  default:
    refuse(pending, answer.Error, answer.Detail);
    return;
  }
}

void GroupRunner::retryLater(const PendingPtr &pending, base::Duration delay,
                             ErrorType error) {
  if (admission::tryRetry(Budget))
    park(pending, delay);
  else
    refuse(pending, error, "the primary did not answer");
}

void GroupRunner::awaitProof(const PendingPtr &pending) {
  auto wanted = requirementOf(pending);
  bool failed = pending->Answer->Outcome == CallOutcome::Failed;
  if (isWrite(*pending) && !failed)
    pending->Proof = ProofKind::Position;
  else if (failed || isStrict(*pending))
    pending->Proof = ProofKind::Term;
  else if (wanted.MaxAge)
    pending->Proof = ProofKind::Age;
  else
    pending->Proof = ProofKind::None;
  if (settleOne(pending, Loop.now()))
    return;
  Awaiting.push_back(pending);
  if (pending->Proof == ProofKind::Position)
    perform(replication::awaitPosition(State, pending->Answer->Position,
                                       Loop.now()));
  else
    perform(replication::requestStatusRound(State, Loop.now()));
}

bool GroupRunner::settleOne(const PendingPtr &pending, base::TimePoint now) {
  const auto &position = pending->Answer->Position;
  bool proven = false;
  switch (pending->Proof) {
  case ProofKind::None:
    proven = true;
    break;
  case ProofKind::Position:
    proven = replication::isConfirmed(State, position);
    break;
  case ProofKind::Term:
    proven = replication::isTermConfirmedSince(State, pending->AnswerTerm,
                                               pending->ProofSince);
    break;
  case ProofKind::Age:
    proven = replication::isWithinMaxAge(State, requirementOf(pending),
                                         position, now);
    break;
  }
  if (proven && pending->Answer->Outcome == CallOutcome::Refused) {
    // Not "not run": the commit may have run on a primary that was fenced,
    // whose entry is truncated. It has no effect in the history that survives.
    finish(pending, makeReply(Outcome::Failed, ErrorType::TransactionLost,
                              "the transaction was rolled back"));
    return true;
  }
  if (proven) {
    answer(pending);
    return true;
  }
  auto primary = replication::currentPrimary(State);
  bool superseded = primary && primary->Term > pending->AnswerTerm;
  bool lost = pending->Proof == ProofKind::Position
                  ? replication::isPositionLost(State, position)
                  : superseded;
  if (!lost)
    return false;
  // The server that answered was replaced, and what it answered with it. The
  // request ID makes running the statement again safe.
  pending->Answer.reset();
  pending->MaybeRan = true;
  bool isCommit = pending->Request.operation() == proto::ForwardRequest::COMMIT;
  if (isCommit && !pending->Request.repeat())
    finishUnknown(pending, ErrorType::TransactionLost);
  else
    park(pending, RetryPause);
  return true;
}

void GroupRunner::settle() {
  if (Awaiting.empty())
    return;
  auto now = Loop.now();
  // Answers may submit requests that begin to wait themselves.
  auto waiting = std::exchange(Awaiting, {});
  std::erase_if(waiting,
                [&](const PendingPtr &it) { return settleOne(it, now); });
  Awaiting.insert(Awaiting.begin(), waiting.begin(), waiting.end());
  // Proofs of a term or an age need answers to requests sent after the
  // statement ran; the exchange that was outstanding then does not count.
  bool needsRound =
      std::any_of(Awaiting.begin(), Awaiting.end(), [](const PendingPtr &it) {
        return it->Proof == ProofKind::Term || it->Proof == ProofKind::Age;
      });
  if (needsRound && now - LastProofRound >= ProofRoundGap) {
    LastProofRound = now;
    perform(replication::requestStatusRound(State, now));
  }
  reportWritesInFlight();
}

void GroupRunner::reportWritesInFlight() {
  if (State.Handing.Stage == replication::HandoverStage::Idle)
    return;
  std::size_t n = WritesSent + Transactions.size();
  for (const auto &it : Awaiting)
    n += isWrite(*it) ? 1 : 0;
  perform(replication::onWritesInFlight(State, n, Loop.now(), Rng));
}

} // namespace baobabpin::owner
