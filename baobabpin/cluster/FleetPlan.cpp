#include "baobabpin/cluster/FleetPlan.h"

#include "baobabpin/base/Hash.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace baobabpin::cluster {
namespace {

bool isStronger(const NodePlacement &a, const NodePlacement &b) {
  return std::tuple(-a.Capacity, a.Name) < std::tuple(-b.Capacity, b.Name);
}

std::size_t watchersOf(std::size_t nodesInZone) {
  std::size_t wanted = (nodesInZone + NodesPerWatcher - 1) / NodesPerWatcher;
  return std::max(wanted, MinWatchersPerZone);
}

/// The watchers of this node's zone, in an order that differs from node to node
/// so that they share the work.
std::vector<std::string> rankSources(const std::vector<NodePlacement> &watchers,
                                     const NodePlacement &self) {
  std::vector<std::tuple<std::uint64_t, std::string>> ranked;
  for (const auto &it : watchers) {
    if (it.Zone == self.Zone)
      ranked.emplace_back(base::hash64(self.Name + "|" + it.Name), it.Name);
  }
  std::ranges::sort(ranked);
  std::vector<std::string> names;
  names.reserve(ranked.size());
  for (auto &[hash, name] : ranked)
    names.push_back(std::move(name));
  return names;
}

/// \p nodes has the strongest first.
std::vector<NodePlacement>
pickWatchers(const std::vector<NodePlacement> &nodes) {
  std::map<base::AvailabilityZone, std::size_t> sizes;
  for (const auto &it : nodes)
    ++sizes[it.Zone];
  std::map<base::AvailabilityZone, std::size_t> picked;
  std::vector<NodePlacement> watchers;
  for (const auto &it : nodes) {
    if (picked[it.Zone] == watchersOf(sizes[it.Zone]))
      continue;
    ++picked[it.Zone];
    watchers.push_back(it);
  }
  return watchers;
}

} // namespace

bool FleetPlan::isConfirming(const std::string &node) const {
  if (!Large)
    return true;
  auto end = Watchers.begin() + static_cast<std::ptrdiff_t>(std::min(
                                    Watchers.size(), ConfirmingWatchers));
  return std::find(Watchers.begin(), end, node) != end;
}

FleetPlan planFleet(std::vector<NodePlacement> nodes,
                    const NodePlacement &self) {
  FleetPlan plan;
  plan.Large = nodes.size() > SmallFleetLimit;
  std::ranges::sort(nodes, isStronger);
  auto watchers = plan.Large ? pickWatchers(nodes) : nodes;
  for (const auto &it : watchers)
    plan.Watchers.push_back(it.Name);
  plan.Watches =
      std::ranges::find(plan.Watchers, self.Name) != plan.Watchers.end();
  bool manyWatchers = plan.Large && plan.Watchers.size() > MaxWatchersPerReader;
  const std::string &reader = plan.Watchers.front();
  plan.ReadsStore = reader == self.Name || (plan.Watches && manyWatchers);
  if (plan.ReadsStore)
    return plan;
  if (plan.Watches)
    plan.Sources = {reader};
  else
    plan.Sources = rankSources(watchers, self);
  return plan;
}

} // namespace baobabpin::cluster
