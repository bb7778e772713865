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

/// Delay before a statement is queued again, for example while the primary
/// changes.
constexpr auto RetryDelay = 10ms;
/// Delay before a statement is queued again when the server has reached its
/// connection limit.
constexpr auto ConnectionLimitRetryDelay = 50ms;
/// Shortest time between two rounds of status requests for proofs. It bounds
/// their rate while no majority answers.
constexpr auto ProofStatusRoundInterval = 1ms;

} // namespace

void GroupRunner::dispatchToPrimary(const PendingPtr &pending) {
  auto primary = replication::currentPrimary(State);
  const auto &request = pending->Request;
  upstream::ExecuteRequest call;
  call.Term = primary->Term;
  call.IsWrite = request.is_write();
  call.Statement = request.statement();
  call.Request = request.request_id();
  // The primary's log holds every acknowledged write, so it reaches the minimum
  // position unless the position is in a part of the log that a failover
  // replaced. The server checks for that case.
  if (request.min_position().index() > 0)
    call.MinPosition = {request.min_position().term(),
                        request.min_position().index()};
  ++StatementsInFlight;
  WriteStatementsInFlight += isWrite(*pending) ? 1 : 0;
  Links.at(primary->Primary)
      ->call(call, pending->Deadline - Loop.now(),
             [this, pending, server = primary->Primary,
              term = primary->Term](Answer answer, base::TimePoint sentAt) {
               --StatementsInFlight;
               WriteStatementsInFlight -= isWrite(*pending) ? 1 : 0;
               onPrimaryAnswer(pending, server, term, std::move(answer),
                               sentAt);
               reportWritesInFlight();
               dispatchQueued();
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
    delayRequest(pending, RetryDelay);
    return;
  case CallOutcome::Lost:
    reportNoAnswer(server, replication::RequestKind::Statement, answer);
    pending->MaybeRan = true;
    retryWithinBudget(pending, RetryDelay, ErrorType::ConnectionLost);
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
    delayRequest(pending, RetryDelay);
    return;
  case ErrorType::TooManyConnections:
    delayRequest(pending, ConnectionLimitRetryDelay);
    return;
  case ErrorType::NotCaughtUp:
    delayRequest(pending, RetryDelay);
    return;
  case ErrorType::PositionLost: {
    auto wanted = requirementOf(pending).Session;
    if (wanted && replication::isPositionLost(State, *wanted))
      refuse(pending, answer.Error,
             "a failover removed the session's position from the group's log");
    else
      delayRequest(pending, RetryDelay);
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

void GroupRunner::retryWithinBudget(const PendingPtr &pending,
                                    base::Duration delay, ErrorType error) {
  if (admission::tryRetry(Budget))
    delayRequest(pending, delay);
  else
    refuse(pending, error, "the primary did not answer");
}

void GroupRunner::awaitProof(const PendingPtr &pending) {
  auto wanted = requirementOf(pending);
  bool failed = pending->Answer->Outcome == CallOutcome::Failed;
  if (isWrite(*pending) && !failed)
    pending->Proof = ProofKind::Position;
  else if (failed || isStrictRead(*pending))
    pending->Proof = ProofKind::Term;
  else if (wanted.MaxAge)
    pending->Proof = ProofKind::Age;
  else
    pending->Proof = ProofKind::None;
  if (tryFinish(pending, Loop.now()))
    return;
  AwaitingProof.push_back(pending);
  if (pending->Proof == ProofKind::Position)
    perform(replication::awaitPosition(State, pending->Answer->Position,
                                       Loop.now()));
  else
    perform(replication::requestStatusRound(State, Loop.now()));
}

bool GroupRunner::tryFinish(const PendingPtr &pending, base::TimePoint now) {
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
    // The outcome is Failed, not NotRun: the commit may have run on a primary
    // that was fenced, whose log entry is then truncated. Either way it has no
    // effect in the group's final log.
    finish(pending, makeReply(Outcome::Failed, ErrorType::TransactionLost,
                              "the transaction was rolled back"));
    return true;
  }
  if (proven) {
    finishAnswered(pending);
    return true;
  }
  auto primary = replication::currentPrimary(State);
  bool superseded = primary && primary->Term > pending->AnswerTerm;
  bool lost = pending->Proof == ProofKind::Position
                  ? replication::isPositionLost(State, position)
                  : superseded;
  if (!lost)
    return false;
  // A new primary replaced the server that answered, so the answer may be wrong
  // by now. The request ID makes it safe to run the statement again.
  pending->Answer.reset();
  pending->MaybeRan = true;
  bool isCommit = pending->Request.operation() == proto::ForwardRequest::COMMIT;
  if (isCommit && !pending->Request.repeat())
    finishUnknown(pending, ErrorType::TransactionLost);
  else
    delayRequest(pending, RetryDelay);
  return true;
}

void GroupRunner::finishProvenRequests() {
  if (AwaitingProof.empty())
    return;
  auto now = Loop.now();
  // A reply's callback may submit a request that starts to wait as well, so the
  // loop works on a copy.
  auto waiting = std::exchange(AwaitingProof, {});
  std::erase_if(waiting,
                [&](const PendingPtr &it) { return tryFinish(it, now); });
  AwaitingProof.insert(AwaitingProof.begin(), waiting.begin(), waiting.end());
  // The proof of a term or an age needs answers to status requests that were
  // sent after the statement ran. A status request that was outstanding at that
  // time does not count, so another round may be needed.
  bool needsRound = std::any_of(
      AwaitingProof.begin(), AwaitingProof.end(), [](const PendingPtr &it) {
        return it->Proof == ProofKind::Term || it->Proof == ProofKind::Age;
      });
  if (needsRound && now - LastProofStatusRound >= ProofStatusRoundInterval) {
    LastProofStatusRound = now;
    perform(replication::requestStatusRound(State, now));
  }
  reportWritesInFlight();
}

void GroupRunner::reportWritesInFlight() {
  if (State.CurrentHandover.Stage == replication::HandoverStage::Idle)
    return;
  std::size_t n = WriteStatementsInFlight + Transactions.size();
  for (const auto &it : AwaitingProof)
    n += isWrite(*it) ? 1 : 0;
  perform(replication::onWritesInFlight(State, n, Loop.now(), Rng));
}

} // namespace baobabpin::owner
