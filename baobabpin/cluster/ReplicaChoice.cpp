#include "baobabpin/cluster/ReplicaChoice.h"

#include <algorithm>

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
  if (!it.SameZone)
    cost += OtherZoneCost;
  if (it.Primary)
    cost += PrimaryCost;
  if (!it.CoversPosition && it.SinceLagging < RecentLagPeriod)
    cost += LaggingCost;
  return cost;
}

} // namespace

std::optional<std::size_t>
chooseReadServer(const std::vector<ReadCandidate> &candidates) {
  auto unknownLatency = medianLatency(candidates);
  std::optional<std::size_t> best;
  std::chrono::nanoseconds bestCost{0};
  for (std::size_t n = 0; n < candidates.size(); ++n) {
    if (candidates[n].Unreachable)
      continue;
    auto cost = costOf(candidates[n], unknownLatency);
    if (best && bestCost <= cost)
      continue;
    best = n;
    bestCost = cost;
  }
  return best;
}

} // namespace baobabpin::cluster
