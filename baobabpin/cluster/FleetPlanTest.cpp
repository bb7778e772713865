#include "baobabpin/cluster/FleetPlan.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

namespace baobabpin::cluster {
namespace {

constexpr int WeakCapacity = 120;
constexpr int StrongCapacity = 500;

/// \p strong of the \p perZone nodes in each of \p zones zones are strong.
std::vector<NodePlacement> makeFleet(std::size_t zones, std::size_t perZone,
                                     std::size_t strong) {
  std::vector<NodePlacement> nodes;
  for (std::size_t zone = 0; zone < zones; ++zone) {
    for (std::size_t n = 0; n < perZone; ++n) {
      std::string name = "node-";
      name += std::to_string(zone) + "-" + std::to_string(1000 + n);
      nodes.push_back({name, "zone-" + std::to_string(zone),
                       n + strong >= perZone ? StrongCapacity : WeakCapacity});
    }
  }
  return nodes;
}

/// How many nodes ask each node for records.
std::map<std::string, std::size_t>
askersOf(const std::vector<NodePlacement> &nodes) {
  std::map<std::string, std::size_t> askers;
  for (const auto &it : nodes) {
    FleetPlan plan = planFleet(nodes, it);
    if (!plan.ReadsStore)
      ++askers[plan.Sources.front()];
  }
  return askers;
}

TEST_CASE("a small fleet has one reader, and all watch") {
  auto nodes = makeFleet(3, 3, 0);
  for (const auto &it : nodes) {
    FleetPlan plan = planFleet(nodes, it);
    CHECK(plan.Watches);
    CHECK(plan.isConfirming(it.Name));
    CHECK(plan.ReadsStore == (it.Name == nodes.front().Name));
    if (!plan.ReadsStore)
      CHECK(plan.Sources == std::vector{nodes.front().Name});
  }
}

TEST_CASE("the load of a large fleet is spread") {
  // Guards against the fault of the first design: one node of an eighth of a
  // core could not answer 75 others, so their views ran out.
  for (std::size_t perZone : {10U, 19U, 75U}) {
    auto nodes = makeFleet(4, perZone, 2);
    std::size_t readers = std::ranges::count_if(
        nodes, [&](const auto &it) { return planFleet(nodes, it).ReadsStore; });
    CHECK(readers == 1);
    for (const auto &[name, n] : askersOf(nodes)) {
      CAPTURE(name);
      CHECK(n <= 2 * NodesPerWatcher);
    }
  }
}

TEST_CASE("the strongest nodes of a zone do the common work") {
  auto nodes = makeFleet(4, 19, 2);
  for (const auto &it : nodes) {
    FleetPlan plan = planFleet(nodes, it);
    CHECK(plan.Watchers.size() == 8);
    CHECK(plan.Watches == (it.Capacity == StrongCapacity));
    if (plan.Watches)
      continue;
    std::set<std::string> zonesAsked;
    for (const auto &source : plan.Sources)
      zonesAsked.insert(source.substr(0, source.rfind('-')));
    CHECK(plan.Sources.size() == MinWatchersPerZone);
    CHECK(zonesAsked.size() == 1);
  }
}

TEST_CASE("every node sees the same watchers, in whatever order it lists") {
  auto nodes = makeFleet(4, 19, 2);
  auto reversed = nodes;
  std::ranges::reverse(reversed);
  CHECK(planFleet(nodes, nodes.front()).Watchers ==
        planFleet(reversed, nodes.back()).Watchers);
}

TEST_CASE("a very large fleet reads the store at each watcher") {
  auto nodes = makeFleet(4, 1075, 0);
  FleetPlan plan = planFleet(nodes, nodes.front());
  CHECK(plan.Watchers.size() == 180);
  for (const auto &[name, n] : askersOf(nodes))
    CHECK(n <= 3 * NodesPerWatcher);
  std::size_t confirming = std::ranges::count_if(
      nodes, [&](const auto &it) { return plan.isConfirming(it.Name); });
  CHECK(confirming == ConfirmingWatchers);
}

TEST_CASE("a zone without watchers leaves its nodes without sources") {
  // A node that is alone in its zone watches for itself.
  auto nodes = makeFleet(2, 20, 0);
  NodePlacement alone{"stray", "zone-9", WeakCapacity};
  nodes.push_back(alone);
  CHECK(planFleet(nodes, alone).Watches);
}

} // namespace
} // namespace baobabpin::cluster
