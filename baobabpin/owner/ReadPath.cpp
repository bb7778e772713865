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

/// A replica that is slightly behind may wait this long for the position that
/// the read needs; it usually catches up within its replication lag. It is
/// also the delay before a read is retried when a replica has reached its
/// connection limit.
constexpr auto CatchUpWait = 20ms;
/// A read waits this long for new status reports. They take one round trip
/// between zones.
constexpr auto StatusRoundWait = 5ms;

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
  std::vector<base::LogPosition> minPositions;
  std::vector<routing::ReplicaLoad> loads;
  bool busy = false;
  for (const auto &[id, link] : Links) {
    if ((primary && primary->Primary == id) || PlannedStopServers.contains(id))
      continue;
    auto qualification = replication::qualifyForRead(State, id, wanted, now);
    if (qualification.Result != accepted)
      continue;
    if (!link->hasFreeSlot()) {
      busy = true;
      continue;
    }
    servers.push_back(id);
    minPositions.push_back(qualification.MinPosition);
    loads.push_back(
        {link->pending(), replication::slowStartWeight(State, id, now)});
  }
  if (!servers.empty()) {
    std::size_t n = Settings.Choose(loads, Rng);
    sendRead(pending, servers[n], minPositions[n],
             slightlyBehind ? CatchUpWait : base::Duration::zero());
    return true;
  }
  if (!busy)
    return false;
  // A read whose time limit is more than half used up is not queued for a
  // replica slot, so that the primary has time to answer it.
  if (now - pending->ArrivedAt > (pending->Deadline - pending->ArrivedAt) / 2)
    return false;
  SlotWaiters.push_back(pending);
  return true;
}

bool GroupRunner::canDispatchRead() const {
  auto now = Loop.now();
  auto primary = replication::currentPrimary(State);
  bool anyReachable = false;
  for (const auto &[id, link] : Links) {
    if ((primary && primary->Primary == id) || PlannedStopServers.contains(id))
      continue;
    if (!replication::isReachable(State, *replication::findServer(State, id),
                                  now))
      continue;
    if (link->hasFreeSlot())
      return true;
    anyReachable = true;
  }
  // Without a reachable replica, reads must not wait for a slot: dispatchRead()
  // sends them to the primary.
  return !anyReachable;
}

void GroupRunner::dispatchSlotWaiters() {
  auto waiters = std::exchange(SlotWaiters, {});
  for (const auto &it : waiters) {
    if (canDispatchRead())
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
           "a failover removed the session's position from the group's log");
    return;
  }
  if (!pending->StatusRoundTried) {
    pending->StatusRoundTried = true;
    perform(replication::requestStatusRound(State, Loop.now()));
    delayRequest(pending, StatusRoundWait);
    return;
  }
  pending->ReplicasRuledOut = true;
  enqueuePending(pending);
  DispatchAgain = true;
}

void GroupRunner::sendRead(const PendingPtr &pending,
                           const base::ServerId &server,
                           base::LogPosition minPosition, base::Duration wait) {
  upstream::ExecuteRequest request;
  request.Statement = pending->Request.statement();
  request.MinPosition = minPosition;
  request.Wait = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
  ++StatementsInFlight;
  Links.at(server)->call(
      request, pending->Deadline - Loop.now(),
      [this, pending, server](Answer answer, base::TimePoint sentAt) {
        --StatementsInFlight;
        onReadAnswer(pending, server, std::move(answer), sentAt);
        dispatchQueued();
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
      // The answer took so long that its data is too old by now.
      dispatchRead(pending);
      return;
    }
    pending->Answer = std::move(answer);
    this->finishAnswered(pending);
    return;
  case CallOutcome::Failed:
    // A replica may reject a statement that the primary accepts.
    pending->ReplicasRuledOut = true;
    enqueuePending(pending);
    return;
  case CallOutcome::Refused:
    if (answer.Error == ErrorType::BadRequest) {
      refuse(pending, answer.Error, answer.Detail);
      return;
    }
    if (answer.Error == ErrorType::TooManyConnections) {
      delayRequest(pending, CatchUpWait);
      return;
    }
    perform(
        replication::onStatementRefused(State, server, answer.Term, now, Rng));
    pending->ReplicasRuledOut = true;
    enqueuePending(pending);
    return;
  case CallOutcome::NotSent:
  case CallOutcome::Lost:
    reportNoAnswer(server, replication::RequestKind::Statement, answer);
    pending->MaybeRan =
        pending->MaybeRan || answer.Outcome == CallOutcome::Lost;
    if (admission::tryRetry(Budget))
      delayRequest(pending, 0ms);
    else
      refuse(pending, ErrorType::ConnectionLost, "the replica did not answer");
    return;
  }
}

} // namespace baobabpin::owner
