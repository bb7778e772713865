#include "baobabpin/owner/GroupRunner.h"

#include "baobabpin/replication/Confirmation.h"
#include "baobabpin/replication/Freshness.h"

#include <utility>

namespace baobabpin::owner {

using base::ErrorType;
using replication::Qualification;
using upstream::Answer;
using upstream::CallOutcome;
using namespace std::chrono_literals;

namespace {

/// A slightly late replica usually catches up within one replication lag.
constexpr auto CatchUpWait = 20ms;
/// A status round takes one round trip between zones.
constexpr auto RoundWait = 5ms;

} // namespace

replication::ReadRequirement
GroupRunner::requirementOf(const PendingPtr &pending) const {
  const auto &request = pending->Request;
  replication::ReadRequirement wanted;
  if (request.min_position().index() > 0)
    wanted.Session = base::LogPosition{request.min_position().term(),
                                       request.min_position().index()};
  if (request.max_age_ms() >= 0)
    wanted.MaxAge = std::chrono::milliseconds(request.max_age_ms());
  return wanted;
}

bool GroupRunner::sendToReplica(const PendingPtr &pending,
                                bool slightlyBehind) {
  auto now = Loop.now();
  auto wanted = requirementOf(pending);
  auto primary = replication::currentPrimary(State);
  auto accepted =
      slightlyBehind ? Qualification::SlightlyBehind : Qualification::Qualifies;
  std::vector<base::ServerId> servers;
  std::vector<base::LogPosition> guards;
  std::vector<routing::ReplicaLoad> loads;
  bool busy = false;
  for (const auto &[id, link] : Links) {
    if ((primary && primary->Primary == id) || Stopped.contains(id))
      continue;
    auto fit = replication::qualifyForRead(State, id, wanted, now);
    if (fit.Result != accepted)
      continue;
    if (!link->hasFreeSlot()) {
      busy = true;
      continue;
    }
    servers.push_back(id);
    guards.push_back(fit.MinPosition);
    loads.push_back(
        {link->pending(), replication::slowStartWeight(State, id, now)});
  }
  if (!servers.empty()) {
    std::size_t n = Settings.Choose(loads, Rng);
    sendRead(pending, servers[n], guards[n],
             slightlyBehind ? CatchUpWait : base::Duration::zero());
    return true;
  }
  if (!busy)
    return false;
  // Half of the time limit is left for the primary.
  if (now - pending->ArrivedAt > (pending->Deadline - pending->ArrivedAt) / 2)
    return false;
  SlotWaiters.push_back(pending);
  return true;
}

bool GroupRunner::hasReplicaSlot() const {
  auto now = Loop.now();
  auto primary = replication::currentPrimary(State);
  bool anyReachable = false;
  for (const auto &[id, link] : Links) {
    if ((primary && primary->Primary == id) || Stopped.contains(id))
      continue;
    if (!replication::isReachable(State, *replication::findServer(State, id),
                                  now))
      continue;
    if (link->hasFreeSlot())
      return true;
    anyReachable = true;
  }
  // Without replicas reads are dispatched all the same, to the primary.
  return !anyReachable;
}

void GroupRunner::dispatchSlotWaiters() {
  auto waiters = std::exchange(SlotWaiters, {});
  for (const auto &it : waiters) {
    if (hasReplicaSlot())
      dispatchRead(it);
    else
      SlotWaiters.push_back(it);
  }
}

void GroupRunner::dispatchRead(const PendingPtr &pending) {
  if (sendToReplica(pending, false) || sendToReplica(pending, true))
    return;
  auto wanted = requirementOf(pending);
  if (wanted.Session && replication::isPositionLost(State, *wanted.Session)) {
    refuse(pending, ErrorType::PositionLost,
           "the session's position is in no surviving history");
    return;
  }
  if (!pending->RoundTried) {
    pending->RoundTried = true;
    perform(replication::requestStatusRound(State, Loop.now()));
    park(pending, RoundWait);
    return;
  }
  pending->NeedsPrimary = true;
  enqueuePending(pending);
  PumpAgain = true;
}

void GroupRunner::sendRead(const PendingPtr &pending,
                           const base::ServerId &server,
                           base::LogPosition guard, base::Duration wait) {
  upstream::ExecuteRequest request;
  request.Statement = pending->Request.statement();
  request.MinPosition = guard;
  request.Wait = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
  ++Sent;
  Links.at(server)->call(
      request, pending->Deadline - Loop.now(),
      [this, pending, server](Answer answer, base::TimePoint sentAt) {
        --Sent;
        onReadAnswer(pending, server, std::move(answer), sentAt);
        pump();
      });
}

void GroupRunner::onReadAnswer(const PendingPtr &pending,
                               const base::ServerId &server, Answer answer,
                               base::TimePoint sentAt) {
  auto now = Loop.now();
  switch (answer.Outcome) {
  case CallOutcome::Ok:
    perform(replication::onStatementAnswer(
        State, {server, 0, answer.Position, true}, sentAt, now, Rng));
    pending->AnsweredBy = server;
    pending->AnswerTerm = 0;
    if (!replication::isWithinMaxAge(State, requirementOf(pending),
                                     answer.Position, now)) {
      // The answer took so long that its proof expired.
      dispatchRead(pending);
      return;
    }
    pending->Answer = std::move(answer);
    this->answer(pending);
    return;
  case CallOutcome::Failed:
    // A replica may reject what the primary would accept.
    pending->NeedsPrimary = true;
    enqueuePending(pending);
    return;
  case CallOutcome::Refused:
    if (answer.Error == ErrorType::BadRequest) {
      refuse(pending, answer.Error, answer.Detail);
      return;
    }
    if (answer.Error == ErrorType::TooManyConnections) {
      park(pending, CatchUpWait);
      return;
    }
    perform(
        replication::onStatementRefused(State, server, answer.Term, now, Rng));
    pending->NeedsPrimary = true;
    enqueuePending(pending);
    return;
  case CallOutcome::NotSent:
  case CallOutcome::Lost:
    reportNoAnswer(server, replication::RequestKind::Statement, answer);
    pending->MaybeRan =
        pending->MaybeRan || answer.Outcome == CallOutcome::Lost;
    if (admission::tryRetry(Budget))
      park(pending, 0ms);
    else
      refuse(pending, ErrorType::ConnectionLost, "the replica did not answer");
    return;
  }
}

} // namespace baobabpin::owner
