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

constexpr auto AvoidFor = 1s;
constexpr auto RetryPause = 10ms;

} // namespace

struct StatementRouter::Attempt {
  proto::ForwardRequest Request;
  owner::ReplyCallback Reply;
  base::TimePoint Deadline;
  /// Nodes that refused or failed.
  std::vector<base::NodeId> Tried;
  bool MaybeRan = false;
  kernel::Timer Retry;
};

StatementRouter::StatementRouter(kernel::EventLoop &loop,
                                 directory::Directory &fleet,
                                 owner::OwnerService &owner,
                                 peer::PeerService &peers)
    : Loop(loop), Fleet(fleet), Owner(owner), Peers(peers) {}

void StatementRouter::avoid(const std::string &endpoint) {
  AvoidedUntil[endpoint] = Loop.now() + AvoidFor;
}

bool StatementRouter::isAvoided(const base::NodeId &node) const {
  auto it = AvoidedUntil.find(Fleet.peerEndpoint(node));
  return it != AvoidedUntil.end() && Loop.now() < it->second;
}

void StatementRouter::route(proto::ForwardRequest request,
                            owner::ReplyCallback reply) {
  admission::onRequest(Budget);
  auto attempt = std::make_shared<Attempt>();
  attempt->Deadline =
      Loop.now() + std::chrono::milliseconds(request.timeout_ms());
  attempt->Request = std::move(request);
  attempt->Reply = std::move(reply);
  bool inTransaction =
      !attempt->Request.transaction().empty() &&
      attempt->Request.operation() != proto::ForwardRequest::BEGIN;
  if (inTransaction)
    sendInTransaction(attempt);
  else
    send(attempt);
}

base::NodeId StatementRouter::chooseOwner(const Attempt &attempt) const {
  const auto &order = Fleet.ownersOf(attempt.Request.group()).Nodes;
  base::NodeId fallback;
  for (const auto &node : order) {
    if (std::find(attempt.Tried.begin(), attempt.Tried.end(), node) !=
        attempt.Tried.end())
      continue;
    if (!isAvoided(node))
      return node;
    if (fallback.empty())
      fallback = node;
  }
  return fallback;
}

void StatementRouter::send(const AttemptPtr &attempt) {
  auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      attempt->Deadline - Loop.now());
  if (left <= 0ms) {
    finish(attempt, makeReply(Outcome::NotRun, ErrorType::DeadlineExceeded,
                              "no owner answered in time"));
    return;
  }
  attempt->Request.set_timeout_ms(left.count());
  base::NodeId node = chooseOwner(*attempt);
  if (node.empty()) {
    // Every owner was tried; the first may be back.
    attempt->Tried.clear();
    retry(attempt, ErrorType::NoPrimary);
    return;
  }
  attempt->Tried.push_back(node);
  if (node == Fleet.self()) {
    Owner.submit(attempt->Request, [this, attempt](proto::ForwardReply reply) {
      onResult(attempt, {ForwardOutcome::Answered, std::move(reply)});
    });
    return;
  }
  Peers.forward(Fleet.peerEndpoint(node), attempt->Request,
                [this, attempt](ForwardResult result) {
                  onResult(attempt, std::move(result));
                });
}

void StatementRouter::sendInTransaction(const AttemptPtr &attempt) {
  const auto &request = attempt->Request;
  base::NodeId node =
      request.transaction().substr(0, request.transaction().find('|'));
  bool isCommit = request.operation() == proto::ForwardRequest::COMMIT;
  auto onReply = [this, attempt, isCommit](ForwardResult result) {
    if (result.Outcome == ForwardOutcome::Answered) {
      finish(attempt, std::move(result.Reply));
      return;
    }
    // The owner is gone, and its open transactions with it.
    if (isCommit && result.Outcome == ForwardOutcome::Lost)
      attempt->MaybeRan = true;
    if (isCommit && attempt->Request.repeat())
      send(attempt);
    else
      finish(attempt, makeReply(Outcome::NotRun, ErrorType::TransactionLost,
                                "the owner of the transaction is gone"));
  };
  if (node == Fleet.self()) {
    Owner.submit(request, [onReply](proto::ForwardReply reply) {
      onReply({ForwardOutcome::Answered, std::move(reply)});
    });
    return;
  }
  std::string endpoint = Fleet.peerEndpoint(node);
  if (endpoint.empty()) {
    onReply({ForwardOutcome::NotSent, {}});
    return;
  }
  Peers.forward(endpoint, request, onReply);
}

void StatementRouter::onResult(const AttemptPtr &attempt,
                               ForwardResult result) {
  switch (result.Outcome) {
  case ForwardOutcome::Answered: {
    // Another owner may run what a node that shuts down refused.
    bool draining =
        result.Reply.error() == base::errorName(ErrorType::Draining);
    if (draining &&
        result.Reply.outcome() == base::outcomeName(Outcome::NotRun)) {
      send(attempt);
      return;
    }
    finish(attempt, std::move(result.Reply));
    return;
  }
  case ForwardOutcome::NotSent:
    avoid(Fleet.peerEndpoint(attempt->Tried.back()));
    send(attempt);
    return;
  case ForwardOutcome::Lost:
    attempt->MaybeRan = true;
    avoid(Fleet.peerEndpoint(attempt->Tried.back()));
    // The request ID makes it safe to run the statement at the next owner.
    if (admission::tryRetry(Budget))
      send(attempt);
    else
      finish(attempt, makeReply(Outcome::Unknown, ErrorType::ConnectionLost,
                                "the owner did not answer"));
    return;
  }
}

void StatementRouter::retry(const AttemptPtr &attempt, ErrorType error) {
  if (attempt->Deadline - Loop.now() <= RetryPause) {
    finish(attempt,
           makeReply(Outcome::NotRun, error, "no node owns the group"));
    return;
  }
  attempt->Retry = Loop.runAfter(
      RetryPause, [this, attempt, alive = std::weak_ptr<bool>(Alive)] {
        if (!alive.expired())
          send(attempt);
      });
}

void StatementRouter::finish(const AttemptPtr &attempt,
                             proto::ForwardReply reply) {
  attempt->Retry.cancel();
  bool notRun = reply.outcome() == base::outcomeName(Outcome::NotRun);
  if (notRun && attempt->MaybeRan)
    reply.set_outcome(std::string(base::outcomeName(Outcome::Unknown)));
  auto callback = std::exchange(attempt->Reply, nullptr);
  if (callback)
    callback(std::move(reply));
}

} // namespace baobabpin::gateway
