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

std::size_t monitorCountFor(std::size_t nodesInZone) {
  std::size_t wanted = (nodesInZone + NodesPerMonitor - 1) / NodesPerMonitor;
  return std::max(wanted, MinMonitorsPerZone);
}

/// Returns the monitors of this node's zone, in an order that differs between
/// nodes to spread the load over the monitors.
std::vector<std::string>
rankSyncSources(const std::vector<NodePlacement> &monitors,
                const NodePlacement &self) {
  std::vector<std::tuple<std::uint64_t, std::string>> ranked;
  for (const auto &it : monitors) {
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

/// \p nodes is sorted by capacity, the highest first.
std::vector<NodePlacement>
pickMonitors(const std::vector<NodePlacement> &nodes) {
  std::map<base::AvailabilityZone, std::size_t> sizes;
  for (const auto &it : nodes)
    ++sizes[it.Zone];
  std::map<base::AvailabilityZone, std::size_t> picked;
  std::vector<NodePlacement> monitors;
  for (const auto &it : nodes) {
    if (picked[it.Zone] == monitorCountFor(sizes[it.Zone]))
      continue;
    ++picked[it.Zone];
    monitors.push_back(it);
  }
  return monitors;
}

} // namespace

bool FleetPlan::isConfirming(const std::string &node) const {
  if (!Large)
    return true;
  auto end = Monitors.begin() + static_cast<std::ptrdiff_t>(std::min(
                                    Monitors.size(), ConfirmingMonitors));
  return std::find(Monitors.begin(), end, node) != end;
}

FleetPlan planFleet(std::vector<NodePlacement> nodes,
                    const NodePlacement &self) {
  FleetPlan plan;
  plan.Large = nodes.size() > SmallFleetLimit;
  std::ranges::sort(nodes, isStronger);
  auto monitors = plan.Large ? pickMonitors(nodes) : nodes;
  for (const auto &it : monitors)
    plan.Monitors.push_back(it.Name);
  plan.IsMonitor =
      std::ranges::find(plan.Monitors, self.Name) != plan.Monitors.end();
  bool manyMonitors = plan.Large && plan.Monitors.size() > MaxMonitorsPerReader;
  const std::string &reader = plan.Monitors.front();
  plan.ReadsStore = reader == self.Name || (plan.IsMonitor && manyMonitors);
  if (plan.ReadsStore)
    return plan;
  if (plan.IsMonitor)
    plan.SyncSources = {reader};
  else
    plan.SyncSources = rankSyncSources(monitors, self);
  return plan;
}

} // namespace baobabpin::cluster
