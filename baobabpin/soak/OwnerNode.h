/// One proxy node of the randomised run: runs the product's decisions for the
/// group and serves requests by them, as the `owner` package does with real
/// connections.
#pragma once

#include "baobabpin/base/Errors.h"
#include "baobabpin/replication/Freshness.h"
#include "baobabpin/replication/Group.h"
#include "baobabpin/soak/FakeServer.h"

#include <list>
#include <memory>
#include <optional>

namespace baobabpin::soak {

struct Request {
  bool IsWrite = false;
  std::string RequestId;
  AttemptId Attempt = 0;
  /// An earlier attempt may have run.
  bool Repeat = false;
  unsigned Session = 0;
  replication::ReadRequirement Wanted;
  bool Strict = false;
  Duration Timeout{};
  /// True time at the caller.
  TimePoint InvokedAt;
};

struct Response {
  base::Outcome Outcome = base::Outcome::Unknown;
  std::optional<base::ErrorType> Error;
  base::LogPosition Position;
  /// Of an acknowledged write, its index in Checker::Acked.
  std::optional<std::size_t> Ack;
};

enum class OperationStage { Queued, Sent, Confirming, Done };

/// A request in progress on a node.
struct Operation {
  Request Asked;
  std::function<void(Response)> Answer;
  OperationStage Stage = OperationStage::Queued;
  TimePoint ArrivedAt; ///< True time.
  TimePoint Deadline;  ///< Node time, like all below.
  TimePoint RetryAt;
  TimePoint AnsweredAt;
  base::TermNumber Term = 0;
  base::LogPosition Position;
  ReadTruth Truth;
  bool OnReplica = false;
};

/// Counters over all nodes of a run.
struct NodeCounters {
  std::uint64_t Promotions[5] = {};
  std::uint64_t PromotionsFinished = 0;
  std::uint64_t PromotionsFailed = 0;
  /// Promotions because of suspicion while the primary was alive, running and
  /// reachable from a majority of the servers.
  std::uint64_t FalsePromotions = 0;
  std::uint64_t HandoversDone = 0;
  std::uint64_t HandoversFailed = 0;
  std::uint64_t OwnPauses = 0;
  std::uint64_t Unfit = 0;
  std::uint64_t Requests = 0;
};

struct OwnerNode {
  Process Proc;
  replication::GroupState State;
  std::list<std::shared_ptr<Operation>> Operations;
  std::size_t WritesInFlight = 0;
  /// Node time = Offset + Rate * true time.
  double Rate = 1;
  Duration Offset{};
  /// Until when the node is unfit, in true time; part of its member record.
  TimePoint UnfitUntil;
};

struct NodeContext {
  Simulation *Sim = nullptr;
  ServerFleet *Fleet = nullptr;
  Checker *Check = nullptr;
  replication::GroupConfig Config;
  Safeguard Disabled = Safeguard::None;
  NodeCounters Counters;
};

/// Starts a new incarnation without any knowledge.
void startNode(NodeContext &context, OwnerNode &node);
void crashNode(OwnerNode &node);
/// A request arrived at the node.
void serveRequest(NodeContext &context, OwnerNode &node, Request request,
                  std::function<void(Response)> answer);
void requestHandover(NodeContext &context, OwnerNode &node);

TimePoint nodeTime(const Simulation &sim, const OwnerNode &node);

} // namespace baobabpin::soak
