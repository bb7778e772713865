#include "baobabpin/cluster/FleetPlan.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

namespace baobabpin::cluster {
namespace {

constexpr int WeakCapacity = 120;
constexpr int StrongCapacity = 500;

/// Returns \p zones zones of \p perZone nodes each, of which \p strongPerZone
/// have StrongCapacity.
std::vector<NodePlacement> makeFleet(std::size_t zones, std::size_t perZone,
                                     std::size_t strongPerZone) {
  std::vector<NodePlacement> nodes;
  for (std::size_t zone = 0; zone < zones; ++zone) {
    for (std::size_t n = 0; n < perZone; ++n) {
      std::string name = "node-";
      name += std::to_string(zone) + "-" + std::to_string(1000 + n);
      nodes.push_back(
          {name, "zone-" + std::to_string(zone),
           n + strongPerZone >= perZone ? StrongCapacity : WeakCapacity});
    }
  }
  return nodes;
}

/// Returns for each node the number of nodes that ask it for records first.
std::map<std::string, std::size_t>
countSyncClients(const std::vector<NodePlacement> &nodes) {
  std::map<std::string, std::size_t> clients;
  for (const auto &it : nodes) {
    FleetPlan plan = planFleet(nodes, it);
    if (!plan.ReadsStore)
      ++clients[plan.SyncSources.front()];
  }
  return clients;
}

TEST_CASE("in a small fleet one node reads the store and all are monitors") {
  auto nodes = makeFleet(3, 3, 0);
  for (const auto &it : nodes) {
    FleetPlan plan = planFleet(nodes, it);
    CHECK(plan.IsMonitor);
    CHECK(plan.isConfirming(it.Name));
    CHECK(plan.ReadsStore == (it.Name == nodes.front().Name));
    if (!plan.ReadsStore)
      CHECK(plan.SyncSources == std::vector{nodes.front().Name});
  }
}

TEST_CASE("in a large fleet at most 2 * NodesPerMonitor nodes use one source") {
  // Guards against a single sync source for the whole fleet: a node with an
  // eighth of a core could not answer 75 others, so their views expired.
  for (std::size_t perZone : {10U, 19U, 75U}) {
    auto nodes = makeFleet(4, perZone, 2);
    std::size_t readers = std::ranges::count_if(
        nodes, [&](const auto &it) { return planFleet(nodes, it).ReadsStore; });
    CHECK(readers == 1);
    for (const auto &[name, n] : countSyncClients(nodes)) {
      CAPTURE(name);
      CHECK(n <= 2 * NodesPerMonitor);
    }
  }
}

TEST_CASE("the nodes of highest capacity in a zone are its monitors") {
  auto nodes = makeFleet(4, 19, 2);
  for (const auto &it : nodes) {
    FleetPlan plan = planFleet(nodes, it);
    CHECK(plan.Monitors.size() == 8);
    CHECK(plan.IsMonitor == (it.Capacity == StrongCapacity));
    if (plan.IsMonitor)
      continue;
    std::set<std::string> zonesAsked;
    for (const auto &source : plan.SyncSources)
      zonesAsked.insert(source.substr(0, source.rfind('-')));
    CHECK(plan.SyncSources.size() == MinMonitorsPerZone);
    CHECK(zonesAsked.size() == 1);
  }
}

TEST_CASE("all nodes choose the same monitors, for any order of their list") {
  auto nodes = makeFleet(4, 19, 2);
  auto reversed = nodes;
  std::ranges::reverse(reversed);
  CHECK(planFleet(nodes, nodes.front()).Monitors ==
        planFleet(reversed, nodes.back()).Monitors);
}

TEST_CASE("in a very large fleet each monitor reads the store") {
  auto nodes = makeFleet(4, 1075, 0);
  FleetPlan plan = planFleet(nodes, nodes.front());
  CHECK(plan.Monitors.size() == 180);
  for (const auto &[name, n] : countSyncClients(nodes))
    CHECK(n <= 3 * NodesPerMonitor);
  std::size_t confirming = std::ranges::count_if(
      nodes, [&](const auto &it) { return plan.isConfirming(it.Name); });
  CHECK(confirming == ConfirmingMonitors);
}

TEST_CASE("a node that is alone in its zone is a monitor") {
  // Guards against a zone without monitors, whose nodes would have no sync
  // source.
  auto nodes = makeFleet(2, 20, 0);
  NodePlacement alone{"stray", "zone-9", WeakCapacity};
  nodes.push_back(alone);
  CHECK(planFleet(nodes, alone).IsMonitor);
}

} // namespace
} // namespace baobabpin::cluster
