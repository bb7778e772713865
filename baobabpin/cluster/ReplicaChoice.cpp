#include "baobabpin/cluster/ReplicaChoice.h"

namespace baobabpin::cluster {
namespace {

std::chrono::nanoseconds costOf(const ReadCandidate &it) {
  auto connections = it.Connections > 0 ? it.Connections : 1;
  std::chrono::nanoseconds cost =
      it.Latency + it.Latency * it.Load / connections;
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
  std::optional<std::size_t> best;
  std::chrono::nanoseconds bestCost{0};
  for (std::size_t n = 0; n < candidates.size(); ++n) {
    if (candidates[n].Unreachable || candidates[n].Lags)
      continue;
    auto cost = costOf(candidates[n]);
    if (best && bestCost <= cost)
      continue;
    best = n;
    bestCost = cost;
  }
  return best;
}

} // namespace baobabpin::cluster
