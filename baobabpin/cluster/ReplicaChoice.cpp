#include "baobabpin/cluster/ReplicaChoice.h"

#include <algorithm>
#include <optional>

namespace baobabpin::cluster {
namespace {

/// The median of the known latencies, or 0 if none is known. A server that has
/// just started would otherwise be the cheapest one and get all reads.
std::chrono::nanoseconds
medianLatency(const std::vector<ReadCandidate> &candidates) {
  std::vector<std::chrono::nanoseconds> known;
  for (const auto &it : candidates) {
    if (it.Latency.count() > 0)
      known.push_back(it.Latency);
  }
  if (known.empty())
    return {};
  std::ranges::sort(known);
  return (known[(known.size() - 1) / 2] + known[known.size() / 2]) / 2;
}

std::chrono::nanoseconds costOf(const ReadCandidate &it,
                                std::chrono::nanoseconds unknownLatency) {
  auto connections = it.Connections > 0 ? it.Connections : 1;
  auto latency = it.Latency.count() > 0 ? it.Latency : unknownLatency;
  std::chrono::nanoseconds cost = latency + latency * it.Load / connections;
  cost += it.QueueWait;
  if (!it.SameZone)
    cost += OtherZoneCost;
  if (it.Primary)
    cost += PrimaryCost;
  if (!it.CoversPosition && it.SinceLagging < RecentLagPeriod)
    cost += LaggingCost;
  return cost;
}

} // namespace

ReadPlan planRead(const std::vector<ReadCandidate> &candidates,
                  std::chrono::nanoseconds timeLeft) {
  auto unknownLatency = medianLatency(candidates);
  ReadPlan plan;
  std::optional<std::chrono::nanoseconds> bestCost;
  std::optional<std::chrono::nanoseconds> earliest;
  bool reachable = false;
  for (std::size_t n = 0; n < candidates.size(); ++n) {
    const ReadCandidate &it = candidates[n];
    if (it.Unreachable)
      continue;
    reachable = true;
    if (it.Overloaded) {
      plan.Overloaded = true;
      continue;
    }
    if (it.ReadyIn > std::chrono::nanoseconds(0)) {
      earliest = std::min(earliest.value_or(it.ReadyIn), it.ReadyIn);
      continue;
    }
    auto cost = costOf(it, unknownLatency);
    if (bestCost && *bestCost <= cost)
      continue;
    plan.Step = ReadStep::Send;
    plan.Server = n;
    bestCost = cost;
  }
  if (bestCost || !reachable)
    return plan;
  if (!earliest || *earliest >= timeLeft) {
    plan.Step = ReadStep::NotInTime;
    return plan;
  }
  plan.Step = ReadStep::Wait;
  plan.Delay = std::min<std::chrono::nanoseconds>(*earliest, ReplanInterval);
  return plan;
}

} // namespace baobabpin::cluster
