#include "baobabpin/gateway/StatementRouter.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace baobabpin::gateway {

using base::ErrorType;
using base::Outcome;
using owner::makeReply;
using peer::ForwardOutcome;
using peer::ForwardResult;
using namespace std::chrono_literals;

namespace {

constexpr auto AvoidDuration = 1s;
constexpr auto RetryDelay = 10ms;

} // namespace

struct StatementRouter::PendingStatement {
  proto::ForwardRequest Request;
  owner::ReplyCallback Reply;
  base::TimePoint Deadline;
  /// Nodes that the statement was sent to since the owner order was last tried
  /// from its start.
  std::vector<base::NodeId> TriedNodes;
  /// Whether an attempt without a reply may have run the statement.
  bool MaybeRan = false;
  kernel::Timer RetryTimer;
};

StatementRouter::StatementRouter(kernel::EventLoop &loop,
                                 directory::Directory &directory,
                                 owner::OwnerService &owner,
                                 peer::PeerService &peers)
    : Loop(loop), Directory(directory), Owner(owner), Peers(peers) {}

void StatementRouter::avoid(const std::string &endpoint) {
  AvoidedUntil[endpoint] = Loop.now() + AvoidDuration;
}

bool StatementRouter::isAvoided(const base::NodeId &node) const {
  auto it = AvoidedUntil.find(Directory.peerEndpoint(node));
  return it != AvoidedUntil.end() && Loop.now() < it->second;
}

void StatementRouter::route(proto::ForwardRequest request,
                            owner::ReplyCallback reply) {
  admission::onRequest(Budget);
  auto pending = std::make_shared<PendingStatement>();
  pending->Deadline =
      Loop.now() + std::chrono::milliseconds(request.timeout_ms());
  pending->Request = std::move(request);
  pending->Reply = std::move(reply);
  bool inTransaction =
      !pending->Request.transaction().empty() &&
      pending->Request.operation() != proto::ForwardRequest::BEGIN;
  if (inTransaction)
    sendInTransaction(pending);
  else
    send(pending);
}

base::NodeId
StatementRouter::chooseNode(const PendingStatement &pending) const {
  const auto &order = Directory.ownersOf(pending.Request.group()).Nodes;
  base::NodeId fallback;
  for (const auto &node : order) {
    if (std::find(pending.TriedNodes.begin(), pending.TriedNodes.end(), node) !=
        pending.TriedNodes.end())
      continue;
    if (!isAvoided(node))
      return node;
    if (fallback.empty())
      fallback = node;
  }
  return fallback;
}

void StatementRouter::send(const PendingPtr &pending) {
  auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      pending->Deadline - Loop.now());
  if (remaining <= 0ms) {
    finish(
        pending,
        makeReply(
            Outcome::NotRun, ErrorType::DeadlineExceeded,
            "no node that can run the statement replied before the deadline"));
    return;
  }
  pending->Request.set_timeout_ms(remaining.count());
  base::NodeId node = chooseNode(*pending);
  if (node.empty()) {
    // Every node in the owner order was tried. Starts again with the first one,
    // which may have recovered.
    pending->TriedNodes.clear();
    scheduleRetry(pending, ErrorType::NoPrimary);
    return;
  }
  pending->TriedNodes.push_back(node);
  if (node == Directory.self()) {
    Owner.submit(pending->Request, [this, pending](proto::ForwardReply reply) {
      onForwardResult(pending, {ForwardOutcome::Answered, std::move(reply)});
    });
    return;
  }
  Peers.forward(Directory.peerEndpoint(node), pending->Request,
                [this, pending](ForwardResult result) {
                  onForwardResult(pending, std::move(result));
                });
}

void StatementRouter::sendInTransaction(const PendingPtr &pending) {
  const auto &request = pending->Request;
  base::NodeId node =
      request.transaction().substr(0, request.transaction().find('|'));
  bool isCommit = request.operation() == proto::ForwardRequest::COMMIT;
  auto onReply = [this, pending, isCommit](ForwardResult result) {
    if (result.Outcome == ForwardOutcome::Answered) {
      finish(pending, std::move(result.Reply));
      return;
    }
    // The node that held the transaction is unreachable, so the transaction is
    // lost. A commit may have taken effect. A repeated commit is sent to the
    // current owner, which can find its idempotency record.
    if (isCommit && result.Outcome == ForwardOutcome::Lost)
      pending->MaybeRan = true;
    if (isCommit && pending->Request.repeat())
      send(pending);
    else
      finish(pending,
             makeReply(Outcome::NotRun, ErrorType::TransactionLost,
                       "the node that held the transaction is unreachable"));
  };
  if (node == Directory.self()) {
    Owner.submit(request, [onReply](proto::ForwardReply reply) {
      onReply({ForwardOutcome::Answered, std::move(reply)});
    });
    return;
  }
  std::string endpoint = Directory.peerEndpoint(node);
  if (endpoint.empty()) {
    onReply({ForwardOutcome::NotSent, {}});
    return;
  }
  Peers.forward(endpoint, request, onReply);
}

void StatementRouter::onForwardResult(const PendingPtr &pending,
                                      ForwardResult result) {
  switch (result.Outcome) {
  case ForwardOutcome::Answered: {
    // A node that is shutting down refused the statement; the next node in the
    // owner order may run it.
    bool isDraining =
        result.Reply.error() == base::errorName(ErrorType::Draining);
    if (isDraining &&
        result.Reply.outcome() == base::outcomeName(Outcome::NotRun)) {
      send(pending);
      return;
    }
    finish(pending, std::move(result.Reply));
    return;
  }
  case ForwardOutcome::NotSent:
    avoid(Directory.peerEndpoint(pending->TriedNodes.back()));
    send(pending);
    return;
  case ForwardOutcome::Lost:
    pending->MaybeRan = true;
    avoid(Directory.peerEndpoint(pending->TriedNodes.back()));
    // Sending the request to the next node is safe. A request that commits a
    // write has a request ID, which prevents a second execution, and other
    // requests commit nothing.
    if (admission::tryRetry(Budget))
      send(pending);
    else
      finish(pending, makeReply(Outcome::Unknown, ErrorType::ConnectionLost,
                                "the connection to the node that received the "
                                "statement was lost"));
    return;
  }
}

void StatementRouter::scheduleRetry(const PendingPtr &pending,
                                    ErrorType error) {
  if (pending->Deadline - Loop.now() <= RetryDelay) {
    finish(pending, makeReply(Outcome::NotRun, error,
                              "no available node owns the group"));
    return;
  }
  pending->RetryTimer = Loop.runAfter(
      RetryDelay, [this, pending, alive = std::weak_ptr<bool>(Alive)] {
        if (!alive.expired())
          send(pending);
      });
}

void StatementRouter::finish(const PendingPtr &pending,
                             proto::ForwardReply reply) {
  pending->RetryTimer.cancel();
  bool isNotRun = reply.outcome() == base::outcomeName(Outcome::NotRun);
  if (isNotRun && pending->MaybeRan)
    reply.set_outcome(std::string(base::outcomeName(Outcome::Unknown)));
  auto callback = std::exchange(pending->Reply, nullptr);
  if (callback)
    callback(std::move(reply));
}

} // namespace baobabpin::gateway
