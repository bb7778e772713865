#include "baobabpin/soak/OwnerNode.h"

#include "baobabpin/replication/Confirmation.h"
#include "baobabpin/replication/Handover.h"

#include <algorithm>
#include <type_traits>

namespace baobabpin::soak {
namespace {

using replication::Action;
using replication::Actions;
using replication::RequestKind;

constexpr Duration TickInterval = ms(5);
constexpr Duration StatementTimeout = ms(300);
constexpr Duration ReadRetry = ms(10);

void perform(NodeContext &context, OwnerNode &node, const Actions &actions);
void advanceOperations(NodeContext &context, OwnerNode &node);

/// Performs what an input led to, then sees which operations can go on.
void react(NodeContext &context, OwnerNode &node, const Actions &actions) {
  perform(context, node, actions);
  advanceOperations(context, node);
}

replication::NoAnswerKind kindOf(CallFailure failure) {
  return failure == CallFailure::Refused ? replication::NoAnswerKind::Refused
                                         : replication::NoAnswerKind::TimedOut;
}

std::function<void(CallFailure)> failureHandler(NodeContext &context,
                                                OwnerNode &node,
                                                const base::ServerId &server,
                                                RequestKind kind) {
  return [&context, &node, server, kind](CallFailure failure) {
    react(context, node,
          replication::onNoAnswer(node.State, server, kind, kindOf(failure),
                                  nodeTime(*context.Sim, node),
                                  context.Sim->Rng));
  };
}

void sendStatus(NodeContext &context, OwnerNode &node,
                const replication::SendStatus &request) {
  auto *server = findServer(*context.Fleet, request.Server);
  auto sentAt = nodeTime(*context.Sim, node);
  auto serve = [&context, &node, server, request, sentAt](const Reply &reply) {
    auto answer = [&context, &node, reply,
                   sentAt](const replication::ServerReport &report) {
      reply([&context, &node, report, sentAt] {
        react(context, node,
              replication::onReport(node.State, report, sentAt,
                                    nodeTime(*context.Sim, node),
                                    context.Sim->Rng));
      });
    };
    serveStatus(*context.Fleet, *server, request.WaitPosition, request.Wait,
                answer);
  };
  call(*context.Sim, node.Proc, server->Proc, request.Timeout, serve,
       failureHandler(context, node, request.Server, RequestKind::Status));
}

void sendPrepare(NodeContext &context, OwnerNode &node,
                 const replication::SendPrepare &request) {
  auto *server = findServer(*context.Fleet, request.Server);
  auto sentAt = nodeTime(*context.Sim, node);
  auto serve = [&context, &node, server, request, sentAt](const Reply &reply) {
    auto answer =
        servePrepare(*context.Fleet, *server, request.Term, request.Candidate);
    reply([&context, &node, answer, sentAt] {
      react(context, node,
            replication::onPrepareAnswer(node.State, answer, sentAt,
                                         nodeTime(*context.Sim, node),
                                         context.Sim->Rng));
    });
  };
  call(*context.Sim, node.Proc, server->Proc, request.Timeout, serve,
       failureHandler(context, node, request.Server, RequestKind::Prepare));
}

void sendPromote(NodeContext &context, OwnerNode &node,
                 const replication::SendPromote &request) {
  auto *server = findServer(*context.Fleet, request.Server);
  auto sentAt = nodeTime(*context.Sim, node);
  auto serve = [&context, &node, server, request, sentAt](const Reply &reply) {
    auto answer =
        servePromote(*context.Fleet, *server, request.Term, request.Candidate);
    trace(*context.Sim, [&] {
      return request.Server + " promoted=" + std::to_string(answer.Accepted) +
             " term=" + std::to_string(request.Term) + " by " +
             request.Candidate;
    });
    reply([&context, &node, answer, sentAt] {
      react(context, node,
            replication::onPromoteAnswer(node.State, answer, sentAt,
                                         nodeTime(*context.Sim, node),
                                         context.Sim->Rng));
    });
  };
  call(*context.Sim, node.Proc, server->Proc, request.Timeout, serve,
       failureHandler(context, node, request.Server, RequestKind::Promote));
}

void sendFollow(NodeContext &context, OwnerNode &node,
                const replication::SendFollow &request) {
  auto *server = findServer(*context.Fleet, request.Server);
  auto serve = [&context, server, request](const Reply &) {
    serveFollow(*context.Fleet, *server, request.Term, request.Primary);
  };
  send(*context.Sim, node.Proc, server->Proc, false,
       [serve] { serve(nullptr); });
}

void notePromotion(NodeContext &context, OwnerNode &node,
                   const replication::PromotionStarted &event) {
  ++context.Counters.Promotions[static_cast<std::size_t>(event.Reason)];
  auto primary = replication::currentPrimary(node.State);
  bool suspicion = event.Reason == replication::PromotionReason::PrimarySuspect;
  auto healthyFor =
      primary ? context.Sim->Now - context.UnhealthyAt[primary->Primary]
              : Duration::zero();
  if (suspicion && healthyFor > node.State.Config.Times.SuspectAfter) {
    ++context.Counters.FalsePromotions;
    context.Counters.LastResortPromotions += node.State.LastResort ? 1 : 0;
  }
  trace(*context.Sim, [&] {
    return node.State.Config.Self +
           " starts promotion term=" + std::to_string(event.Term) + " reason=" +
           std::string(replication::promotionReasonName(event.Reason));
  });
}

void noteHandover(NodeContext &context,
                  const replication::HandoverFinished &event) {
  if (event.Result == replication::HandoverResult::Done)
    ++context.Counters.HandoversDone;
  else
    ++context.Counters.HandoversFailed;
}

void noteUnfit(NodeContext &context, OwnerNode &node,
               const replication::DeclareUnfit &event) {
  ++context.Counters.Unfit;
  node.UnfitUntil = context.Sim->Now + node.State.Config.Times.UnfitFor;
  trace(*context.Sim, [&] {
    return node.State.Config.Self +
           " unfit: " + std::string(replication::unfitReasonName(event.Reason));
  });
}

void performOne(NodeContext &context, OwnerNode &node, const Action &action) {
  std::visit(
      [&](const auto &it) {
        using T = std::decay_t<decltype(it)>;
        if constexpr (std::is_same_v<T, replication::SendStatus>)
          sendStatus(context, node, it);
        else if constexpr (std::is_same_v<T, replication::SendPrepare>)
          sendPrepare(context, node, it);
        else if constexpr (std::is_same_v<T, replication::SendPromote>)
          sendPromote(context, node, it);
        else if constexpr (std::is_same_v<T, replication::SendFollow>)
          sendFollow(context, node, it);
        else if constexpr (std::is_same_v<T, replication::DeclareUnfit>)
          noteUnfit(context, node, it);
        else if constexpr (std::is_same_v<T, replication::PromotionStarted>)
          notePromotion(context, node, it);
        else if constexpr (std::is_same_v<T, replication::PromotionFinished>)
          ++context.Counters.PromotionsFinished;
        else if constexpr (std::is_same_v<T, replication::PromotionFailed>)
          ++context.Counters.PromotionsFailed;
        else if constexpr (std::is_same_v<T, replication::HandoverFinished>)
          noteHandover(context, it);
        else if constexpr (std::is_same_v<T, replication::OwnPauseDetected>)
          ++context.Counters.OwnPauses;
      },
      action);
}

void perform(NodeContext &context, OwnerNode &node, const Actions &actions) {
  for (const auto &it : actions)
    performOne(context, node, it);
}

void finish(Operation &op, Response response) {
  op.Stage = OperationStage::Done;
  op.Answer(response);
}

/// What the node believed about each server when it acknowledged.
void traceKnowledge(NodeContext &context, const OwnerNode &node) {
  for (const auto &it : node.State.Servers) {
    if (!it.Report)
      continue;
    trace(*context.Sim, [&] {
      auto age = nodeTime(*context.Sim, node) - it.ReportSentAt;
      return "  knows " + it.Config.Id +
             " promised=" + std::to_string(it.Report->PromisedTerm) +
             " position=" + base::formatPosition(it.Report->Position) +
             " asked " + std::to_string(age / ms(1)) + "ms ago";
    });
  }
}

void finishWrite(NodeContext &context, const OwnerNode &node, Operation &op,
                 base::Outcome outcome,
                 std::optional<base::ErrorType> error = std::nullopt) {
  std::optional<std::size_t> ack;
  // A repeat that was refused says nothing about the earlier attempt.
  if (outcome == base::Outcome::NotRun) {
    observeNotRun(*context.Check, op.Asked.Attempt);
    if (op.Asked.Repeat)
      outcome = base::Outcome::Unknown;
  }
  if (outcome == base::Outcome::Answered) {
    traceKnowledge(context, node);
    trace(*context.Sim, [&] {
      return node.State.Config.Self + " acknowledges " + op.Asked.RequestId +
             " at " + base::formatPosition(op.Position);
    });
    auto term = replication::confirmingTerm(node.State, op.Position);
    ack = observeAck(*context.Check,
                     {.Position = op.Position,
                      .At = context.Sim->Now,
                      .Session = op.Asked.Session,
                      .ConfirmedBy = term.value_or(op.Position.Term)});
  }
  finish(op, {outcome, error, op.Position, ack});
}

void finishRead(NodeContext &context, OwnerNode &node, Operation &op) {
  auto age = replication::provenAge(node.State, op.Position,
                                    nodeTime(*context.Sim, node));
  trace(*context.Sim, [&] {
    return node.State.Config.Self + " answers read of session " +
           std::to_string(op.Asked.Session) + " at " +
           base::formatPosition(op.Position) +
           (op.OnReplica ? " from replica" : " from primary");
  });
  observeRead(*context.Check,
              {.Truth = op.Truth,
               .Session = op.Asked.Session,
               .InvokedAt = op.Asked.InvokedAt,
               .ArrivedAt = op.ArrivedAt,
               .StatedAge = age,
               .MaxAge = op.Asked.Wanted.MaxAge,
               .Strict = op.Asked.Strict,
               .HasSession = op.Asked.Wanted.Session.has_value()},
              context.Sim->Now);
  context.Check->ReplicaReads += op.OnReplica ? 1 : 0;
  finish(op, {base::Outcome::Answered, std::nullopt, op.Position, {}});
}

using OperationPtr = std::shared_ptr<Operation>;
using Answer = standins::upstream::Answer;
using standins::upstream::Problem;

void noteData(NodeContext &context, OwnerNode &node,
              const base::ServerId &server, const Operation &op,
              const Answer &answer, TimePoint sentAt) {
  replication::StatementReport report{.Server = server,
                                      .AcceptedTerm = op.Term,
                                      .Position = answer.Position,
                                      .IsLogEnd = !answer.Replayed};
  perform(context, node,
          replication::onStatementAnswer(node.State, report, sentAt,
                                         nodeTime(*context.Sim, node),
                                         context.Sim->Rng));
}

void noteDrained(NodeContext &context, OwnerNode &node) {
  perform(context, node,
          replication::onWritesInFlight(node.State, node.WritesInFlight,
                                        nodeTime(*context.Sim, node),
                                        context.Sim->Rng));
}

void onWriteAnswer(NodeContext &context, OwnerNode &node,
                   const OperationPtr &op, const base::ServerId &server,
                   const Answer &answer, TimePoint sentAt) {
  --node.WritesInFlight;
  auto now = nodeTime(*context.Sim, node);
  if (answer.isOk()) {
    op->Stage = OperationStage::Confirming;
    op->Position = answer.Position;
    noteData(context, node, server, *op, answer, sentAt);
    perform(context, node,
            replication::awaitPosition(node.State, answer.Position, now));
  } else {
    // Refused, so it did not run; it may be sent again.
    op->Stage = OperationStage::Queued;
    op->RetryAt = now + ReadRetry;
    perform(context, node,
            replication::onStatementRefused(node.State, server,
                                            answer.Position.Term, now,
                                            context.Sim->Rng));
  }
  noteDrained(context, node);
  advanceOperations(context, node);
}

void sendWrite(NodeContext &context, OwnerNode &node, const OperationPtr &op) {
  auto leader = *replication::currentPrimary(node.State);
  auto *server = findServer(*context.Fleet, leader.Primary);
  op->Stage = OperationStage::Sent;
  op->Term = leader.Term;
  ++node.WritesInFlight;
  auto sentAt = nodeTime(*context.Sim, node);
  auto serve = [&context, &node, op, server, sentAt](const Reply &reply) {
    auto answer =
        serveExecute(*context.Fleet, *server,
                     {.Term = op->Term,
                      .IsWrite = true,
                      .Text = "PUT s" + std::to_string(op->Asked.Session) +
                              " " + std::to_string(op->Asked.Attempt),
                      .Request = op->Asked.RequestId});
    reply([&context, &node, op, server, answer, sentAt] {
      onWriteAnswer(context, node, op, server->Db.Server, answer, sentAt);
    });
  };
  auto fail = [&context, &node, op, server](CallFailure failure) {
    --node.WritesInFlight;
    // Without a connection nothing was sent.
    if (failure == CallFailure::Refused)
      op->Stage = OperationStage::Queued;
    else
      finishWrite(context, node, *op, base::Outcome::Unknown);
    noteDrained(context, node);
    failureHandler(context, node, server->Db.Server,
                   RequestKind::Statement)(failure);
  };
  call(*context.Sim, node.Proc, server->Proc, StatementTimeout, serve, fail);
}

struct ReadTarget {
  base::ServerId Server;
  base::LogPosition MinPosition;
  base::TermNumber Term = 0;
};

std::optional<ReadTarget> primaryTarget(const OwnerNode &node,
                                        const Operation &op) {
  auto leader = replication::currentPrimary(node.State);
  if (!leader)
    return std::nullopt;
  return ReadTarget{leader->Primary,
                    op.Asked.Wanted.Session.value_or(base::LogPosition{}),
                    leader->Term};
}

std::optional<ReadTarget> chooseTarget(NodeContext &context, OwnerNode &node,
                                       const Operation &op) {
  auto now = nodeTime(*context.Sim, node);
  if (op.Asked.Strict)
    return primaryTarget(node, op);
  auto wanted = op.Asked.Wanted;
  if (context.Disabled == Safeguard::ReadPosition)
    wanted.Session.reset();
  if (context.Disabled == Safeguard::ReadAge)
    wanted.MaxAge.reset();
  auto leader = replication::currentPrimary(node.State);
  std::vector<ReadTarget> fit;
  std::vector<ReadTarget> close;
  for (const auto &it : node.State.Servers) {
    const auto &id = it.Config.Id;
    auto result = replication::qualifyForRead(node.State, id, wanted, now);
    if (leader && leader->Primary == id)
      continue;
    if (result.Result == replication::Qualification::Qualifies)
      fit.push_back({id, result.MinPosition});
    if (result.Result == replication::Qualification::SlightlyBehind)
      close.push_back({id, result.MinPosition});
  }
  auto &choices = fit.empty() ? close : fit;
  if (choices.empty())
    return primaryTarget(node, op);
  auto last = static_cast<std::int64_t>(choices.size()) - 1;
  return choices[static_cast<std::size_t>(pick(*context.Sim, 0, last))];
}

void onReadAnswer(NodeContext &context, OwnerNode &node, const OperationPtr &op,
                  const base::ServerId &server, const Answer &answer,
                  const ReadTruth &truth, TimePoint sentAt) {
  auto now = nodeTime(*context.Sim, node);
  op->Stage = OperationStage::Queued;
  op->RetryAt = now + ReadRetry;
  if (answer.isOk()) {
    op->Position = answer.Position;
    op->Truth = truth;
    noteData(context, node, server, *op, answer, sentAt);
    op->AnsweredAt = now;
    op->Stage = OperationStage::Confirming;
  } else if (answer.Error == Problem::PositionLost &&
             op->Asked.Wanted.Session &&
             replication::isPositionLost(node.State,
                                         *op->Asked.Wanted.Session)) {
    context.Check->Lost.push_back(*op->Asked.Wanted.Session);
    finish(*op, {base::Outcome::NotRun, base::ErrorType::PositionLost, {}, {}});
  } else {
    perform(context, node,
            replication::onStatementRefused(node.State, server,
                                            answer.Position.Term, now,
                                            context.Sim->Rng));
  }
  advanceOperations(context, node);
}

void sendRead(NodeContext &context, OwnerNode &node, const OperationPtr &op,
              const ReadTarget &target) {
  auto *server = findServer(*context.Fleet, target.Server);
  op->Stage = OperationStage::Sent;
  op->Term = target.Term;
  op->OnReplica = target.Term == 0;
  auto sentAt = nodeTime(*context.Sim, node);
  auto serve = [&context, &node, op, server, target,
                sentAt](const Reply &reply) {
    auto answer =
        serveExecute(*context.Fleet, *server,
                     {.Term = target.Term,
                      .Text = "GET s" + std::to_string(op->Asked.Session),
                      .MinPosition = target.MinPosition});
    auto truth = truthOfRead(server->Db);
    reply([&context, &node, op, server, answer, truth, sentAt] {
      onReadAnswer(context, node, op, server->Db.Server, answer, truth, sentAt);
    });
  };
  auto fail = [&context, &node, op, server](CallFailure failure) {
    op->Stage = OperationStage::Queued;
    failureHandler(context, node, server->Db.Server,
                   RequestKind::Statement)(failure);
  };
  call(*context.Sim, node.Proc, server->Proc, StatementTimeout, serve, fail);
}

void advanceQueuedWrite(NodeContext &context, OwnerNode &node,
                        const OperationPtr &op, TimePoint now) {
  if (now >= op->Deadline) {
    finishWrite(context, node, *op, base::Outcome::NotRun,
                base::ErrorType::DeadlineExceeded);
    return;
  }
  auto block = replication::writeBlockReason(node.State, now);
  if (block == replication::WriteBlockReason::TermNotConfirmed)
    perform(context, node, replication::requestStatusRound(node.State, now));
  if (!block)
    sendWrite(context, node, op);
}

void advanceQueuedRead(NodeContext &context, OwnerNode &node,
                       const OperationPtr &op, TimePoint now) {
  if (now >= op->Deadline) {
    finish(*op,
           {base::Outcome::NotRun, base::ErrorType::DeadlineExceeded, {}, {}});
    return;
  }
  auto target = chooseTarget(context, node, *op);
  if (target)
    sendRead(context, node, op, *target);
}

void advanceConfirmingWrite(NodeContext &context, OwnerNode &node,
                            const OperationPtr &op, TimePoint now) {
  bool confirmed = replication::isConfirmed(node.State, op->Position);
  if (context.Disabled == Safeguard::MajorityConfirmation)
    confirmed = true;
  if (context.Disabled == Safeguard::TermCheck) {
    auto holders = std::ranges::count_if(node.State.Servers, [&](auto &it) {
      return it.Report && it.Report->Position >= op->Position;
    });
    confirmed = static_cast<std::size_t>(holders) >=
                replication::majorityOf(node.State.Config);
  }
  if (confirmed)
    finishWrite(context, node, *op, base::Outcome::Answered);
  else if (now >= op->Deadline ||
           replication::isPositionLost(node.State, op->Position))
    finishWrite(context, node, *op, base::Outcome::Unknown);
}

void advanceConfirmingRead(NodeContext &context, OwnerNode &node,
                           const OperationPtr &op, TimePoint now) {
  bool strict = op->Asked.Strict;
  bool young = context.Disabled == Safeguard::ReadAge ||
               replication::isWithinMaxAge(node.State, op->Asked.Wanted,
                                           op->Position, now);
  if (strict ? replication::isTermConfirmedSince(node.State, op->Term,
                                                 op->AnsweredAt)
             : young) {
    finishRead(context, node, *op);
    return;
  }
  auto leader = replication::currentPrimary(node.State);
  bool hopeless = !leader || leader->Term != op->Term;
  if (now >= op->Deadline || hopeless) {
    op->Stage = OperationStage::Queued;
    op->RetryAt = now + ReadRetry;
  }
  perform(context, node, replication::requestStatusRound(node.State, now));
}

void advanceOperation(NodeContext &context, OwnerNode &node,
                      const OperationPtr &op) {
  auto now = nodeTime(*context.Sim, node);
  bool write = op->Asked.IsWrite;
  if (op->Stage == OperationStage::Queued && now < op->RetryAt)
    return;
  if (op->Stage == OperationStage::Queued && write)
    advanceQueuedWrite(context, node, op, now);
  else if (op->Stage == OperationStage::Queued)
    advanceQueuedRead(context, node, op, now);
  else if (op->Stage == OperationStage::Confirming && write)
    advanceConfirmingWrite(context, node, op, now);
  else if (op->Stage == OperationStage::Confirming)
    advanceConfirmingRead(context, node, op, now);
}

void advanceOperations(NodeContext &context, OwnerNode &node) {
  for (const auto &it : node.Operations)
    advanceOperation(context, node, it);
  node.Operations.remove_if(
      [](const OperationPtr &it) { return it->Stage == OperationStage::Done; });
}

void tick(NodeContext &context, OwnerNode &node) {
  auto now = nodeTime(*context.Sim, node);
  react(context, node, replication::onTick(node.State, now, context.Sim->Rng));
  scheduleOn(*context.Sim, node.Proc, TickInterval,
             [&context, &node] { tick(context, node); });
}

} // namespace

TimePoint nodeTime(const Simulation &sim, const OwnerNode &node) {
  auto since = std::chrono::duration<double, Duration::period>(
      sim.Now.time_since_epoch());
  return TimePoint(std::chrono::duration_cast<Duration>(since * node.Rate) +
                   node.Offset);
}

void startNode(NodeContext &context, OwnerNode &node) {
  startProcess(node.Proc);
  auto config = context.Config;
  config.Self = node.Proc.Name + "/" + std::to_string(node.Proc.Epoch);
  node.State =
      replication::makeGroupState(config, nodeTime(*context.Sim, node));
  node.Operations.clear();
  node.WritesInFlight = 0;
  node.UnfitUntil = {};
  tick(context, node);
}

void crashNode(OwnerNode &node) {
  stopProcess(node.Proc);
  node.Operations.clear();
}

void serveRequest(NodeContext &context, OwnerNode &node, Request request,
                  std::function<void(Response)> answer) {
  auto now = nodeTime(*context.Sim, node);
  ++context.Counters.Requests;
  replication::noteRequest(node.State, now);
  auto op = std::make_shared<Operation>();
  op->Deadline = now + request.Timeout;
  op->ArrivedAt = context.Sim->Now;
  op->Asked = std::move(request);
  op->Answer = std::move(answer);
  node.Operations.push_back(op);
  advanceOperation(context, node, op);
}

void requestHandover(NodeContext &context, OwnerNode &node) {
  auto now = nodeTime(*context.Sim, node);
  perform(context, node, replication::startHandover(node.State, now));
  noteDrained(context, node);
  advanceOperations(context, node);
}

} // namespace baobabpin::soak
