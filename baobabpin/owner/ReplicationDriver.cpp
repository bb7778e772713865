#include "baobabpin/owner/GroupRunner.h"

#include "baobabpin/replication/Confirmation.h"
#include "baobabpin/replication/Handover.h"

#include <utility>

namespace baobabpin::owner {

using replication::NoAnswerKind;
using replication::RequestKind;
using upstream::Answer;
using upstream::CallOutcome;
using namespace std::chrono_literals;

namespace {

/// A call that an unreachable server has not answered for this long is aborted,
/// and its request is retried.
constexpr auto UnansweredCallLimit = 300ms;
/// Delay before a failed handover is tried again.
constexpr auto HandoverRetryDelay = 1s;
constexpr auto FollowTimeout = 300ms;

replication::ServerReport toReport(const base::ServerId &server,
                                   const Answer &answer) {
  replication::ServerReport report;
  report.Server = server;
  report.Role = answer.IsPrimary ? replication::ServerRole::Primary
                                 : replication::ServerRole::Replica;
  report.Term = answer.Term;
  report.PromisedTerm = answer.PromisedTerm;
  report.PromisedBy = answer.PromisedBy;
  report.Position = answer.Position;
  report.TermStarts = answer.TermStarts;
  report.Primary = answer.Primary;
  if (answer.PrimaryContact)
    report.PrimaryContact = *answer.PrimaryContact;
  report.Leaving = answer.Leaving;
  return report;
}

NoAnswerKind toNoAnswer(const Answer &answer) {
  if (answer.Outcome == CallOutcome::NotSent)
    return NoAnswerKind::Refused;
  return answer.TimedOut ? NoAnswerKind::TimedOut : NoAnswerKind::Broken;
}

bool hasAnswer(const Answer &answer) {
  return answer.Outcome == CallOutcome::Ok ||
         answer.Outcome == CallOutcome::Refused;
}

} // namespace

void GroupRunner::perform(const replication::Actions &actions) {
  for (const auto &action : actions)
    std::visit([this](const auto &it) { performOne(it); }, action);
}

void GroupRunner::reportNoAnswer(const base::ServerId &server, RequestKind kind,
                                 const Answer &answer) {
  perform(replication::onNoAnswer(State, server, kind, toNoAnswer(answer),
                                  Loop.now(), Rng));
}

void GroupRunner::performOne(const replication::SendStatus &action) {
  upstream::StatusRequest request;
  request.WaitTerm = action.WaitPosition.Term;
  request.WaitIndex = action.WaitPosition.Index;
  request.Wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(action.Wait);
  // onReport() recognizes the answer to the outstanding status request by the
  // send time that the group state recorded. With any other time the request
  // would stay outstanding.
  const auto *server = replication::findServer(State, action.Server);
  base::TimePoint sentAt = server->StatusSentAt.value_or(Loop.now());
  Links.at(action.Server)
      ->status(request, action.Timeout,
               [this, server = action.Server, sentAt](const Answer &answer,
                                                      base::TimePoint) {
                 if (answer.Outcome == CallOutcome::Ok)
                   perform(replication::onReport(State,
                                                 toReport(server, answer),
                                                 sentAt, Loop.now(), Rng));
                 else
                   reportNoAnswer(server, RequestKind::Status, answer);
                 finishProvenRequests();
                 dispatchQueued();
               });
}

void GroupRunner::performOne(const replication::SendPrepare &action) {
  Links.at(action.Server)
      ->control(upstream::PrepareRequest{action.Term, action.Candidate},
                action.Timeout,
                [this, action](const Answer &answer, base::TimePoint sentAt) {
                  if (!hasAnswer(answer)) {
                    reportNoAnswer(action.Server, RequestKind::Prepare, answer);
                    return;
                  }
                  replication::PrepareAnswer it;
                  it.Server = action.Server;
                  it.Term = action.Term;
                  it.Granted = answer.Granted;
                  it.PromisedTerm = answer.PromisedTerm;
                  it.PromisedBy = answer.PromisedBy;
                  it.Position = answer.Position;
                  it.TermStarts = answer.TermStarts;
                  perform(replication::onPrepareAnswer(State, it, sentAt,
                                                       Loop.now(), Rng));
                });
}

void GroupRunner::performOne(const replication::SendPromote &action) {
  Links.at(action.Server)
      ->control(upstream::PromoteRequest{action.Term, action.Candidate},
                action.Timeout,
                [this, action](const Answer &answer, base::TimePoint sentAt) {
                  if (!hasAnswer(answer)) {
                    reportNoAnswer(action.Server, RequestKind::Promote, answer);
                    return;
                  }
                  replication::PromoteAnswer it{action.Server, action.Term,
                                                answer.Outcome ==
                                                    CallOutcome::Ok};
                  perform(replication::onPromoteAnswer(State, it, sentAt,
                                                       Loop.now(), Rng));
                  finishProvenRequests();
                  dispatchQueued();
                });
}

void GroupRunner::performOne(const replication::SendFollow &action) {
  std::string address;
  for (const auto &it : Spec.Servers) {
    if (it.Id == action.Primary)
      address = it.Address;
  }
  Links.at(action.Server)
      ->control(upstream::FollowRequest{action.Term, action.Primary, address},
                FollowTimeout,
                [this, action](const Answer &answer, base::TimePoint) {
                  if (!hasAnswer(answer))
                    reportNoAnswer(action.Server, RequestKind::Follow, answer);
                });
}

void GroupRunner::performOne(const replication::DeclareUnfit &action) {
  record(
      "owner_unfit",
      {{"reason", std::string(replication::unfitReasonName(action.Reason))}});
  Settings.DeclareUnfit(action.Until - Loop.now());
}

void GroupRunner::performOne(const replication::PromotionStarted &action) {
  record("promotion_started",
         {{"term", std::to_string(action.Term)},
          {"reason",
           std::string(replication::promotionReasonName(action.Reason))}});
}

void GroupRunner::performOne(const replication::PromotionFinished &action) {
  Counters.Promotions->Increment();
  record("promotion_finished",
         {{"term", std::to_string(action.Term)}, {"primary", action.Primary}});
}

void GroupRunner::performOne(const replication::PromotionFailed &action) {
  record("promotion_failed",
         {{"term", std::to_string(action.Term)},
          {"reason",
           std::string(replication::promotionFailureName(action.Failure))}});
}

void GroupRunner::performOne(const replication::PrimaryChanged &action) {
  record("primary_changed",
         {{"term", std::to_string(action.Term)}, {"primary", action.Primary}});
  base::ServerId former = std::exchange(LastPrimary, action.Primary);
  if (former.empty() || former == action.Primary)
    return;
  // The former primary refuses the statements that it still holds, or its
  // answers are superseded. Aborting its calls lets them be retried on the new
  // primary at once. This is posted to the loop because the present function
  // may run within the callback of one of those calls.
  Loop.post([this, lifetime = std::weak_ptr<bool>(LifetimeToken), former] {
    if (lifetime.expired())
      return;
    Links.at(former)->abortCalls(Loop.now());
    dispatchQueued();
  });
}

void GroupRunner::performOne(const replication::PrimarySuspected &action) {
  auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(action.Silence);
  record("primary_suspected", {{"primary", action.Primary},
                               {"silence_ms", std::to_string(ms.count())}});
}

void GroupRunner::performOne(const replication::OwnPauseDetected &action) {
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(action.Gap);
  record("own_pause_detected", {{"gap_ms", std::to_string(ms.count())}});
}

void GroupRunner::performOne(const replication::HandoverFinished &action) {
  static constexpr const char *Names[] = {"done", "not_caught_up", "failed"};
  record("handover_finished",
         {{"result", Names[static_cast<int>(action.Result)]}});
  bool done = action.Result == replication::HandoverResult::Done;
  if (done && std::exchange(HandoverRequested, false))
    Settings.HandoverDone();
}

void GroupRunner::abortUnansweredCalls(base::TimePoint now) {
  for (auto &[id, link] : Links) {
    const auto *server = replication::findServer(State, id);
    if (!replication::isReachable(State, *server, now))
      link->abortCalls(now - UnansweredCallLimit);
  }
}

void GroupRunner::handOverPrimaryIfRequested(base::TimePoint now) {
  auto primary = replication::currentPrimary(State);
  bool wanted = HandoverRequested ||
                (primary && PlannedStopServers.contains(primary->Primary));
  if (!wanted || now - LastHandoverAttempt < HandoverRetryDelay)
    return;
  LastHandoverAttempt = now;
  auto actions = replication::startHandover(State, now);
  if (State.CurrentHandover.Stage != replication::HandoverStage::Idle &&
      primary)
    record("handover_started", {{"primary", primary->Primary}});
  perform(actions);
  reportWritesInFlight();
}

void GroupRunner::record(const std::string &event, kernel::EventFields fields) {
  fields.insert(fields.begin(), {"group", Settings.Group});
  Kernel.log().record(event, std::move(fields));
}

} // namespace baobabpin::owner
