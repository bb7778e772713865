#include "baobabpin/routing/GroupOwner.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

namespace baobabpin::routing {
namespace {

OwnerCandidates makeCandidates(int perZone) {
  OwnerCandidates nodes;
  for (const char *zone : {"hulftsdorp", "kotte", "negombo"}) {
    for (int n = 0; n < perZone; ++n) {
      std::string host = std::string(zone) + "-" + std::to_string(n);
      addCandidate(nodes, {host, zone, host, {}});
    }
  }
  return nodes;
}

const std::vector<base::AvailabilityZone> Zones{"kotte", "negombo"};
const base::GroupName Group = "transcript-db-0";

TEST_CASE("nodes derive the owner of a group from their view of the members") {
  auto nodes = makeCandidates(3);
  auto order = ownerOrder(Group, Zones, nodes).Nodes;

  SUBCASE("the owner is in the home zone and does not depend on the members' "
          "order") {
    CHECK(order[0].starts_with("kotte"));
    for (auto &[zone, members] : nodes)
      std::reverse(members.begin(), members.end());
    CHECK(ownerOrder(Group, Zones, nodes).Nodes == order);
  }
  SUBCASE(
      "when the owner dies, the group moves to the next node in the order") {
    std::erase_if(nodes["kotte"],
                  [&](const auto &it) { return it.Node == order[0]; });
    CHECK(ownerOrder(Group, Zones, nodes).Nodes[0] == order[1]);
  }
  SUBCASE("a host that restarted its process keeps its groups") {
    for (auto &it : nodes["kotte"])
      it.Node += "/2";
    CHECK(ownerOrder(Group, Zones, nodes).Nodes[0] == order[0] + "/2");
  }
  SUBCASE("without nodes in the home zone, another zone of the servers has the "
          "owner") {
    nodes.erase("kotte");
    CHECK(ownerOrder(Group, Zones, nodes).Nodes[0].starts_with("negombo"));
  }
  SUBCASE("a node that is unfit for a group comes after all fit nodes") {
    for (auto &it : nodes["kotte"])
      it.UnfitGroups.insert(Group);
    auto fit = ownerOrder(Group, Zones, nodes);
    CHECK(fit.Nodes[0].starts_with("negombo"));
    CHECK_FALSE(fit.AllUnfit);
    CHECK(ownerOrder("transcript-db-1", Zones, nodes)
              .Nodes[0]
              .starts_with("kotte"));
  }
  SUBCASE("when all nodes are unfit, the order stays the same") {
    for (auto &[zone, members] : nodes) {
      for (auto &it : members)
        it.UnfitGroups.insert(Group);
    }
    auto unfit = ownerOrder(Group, Zones, nodes);
    CHECK(unfit.AllUnfit);
    CHECK(unfit.Nodes == order);
  }
}

TEST_CASE("groups are distributed over the nodes of their home zone") {
  auto nodes = makeCandidates(10);
  std::map<base::NodeId, int> owned;
  for (int n = 0; n < 1000; ++n)
    ++owned[ownerOrder("db-" + std::to_string(n), Zones, nodes).Nodes[0]];
  CHECK(owned.size() == 10);
  for (const auto &[node, n] : owned)
    CHECK(n < 150);
}

} // namespace
} // namespace baobabpin::routing
