#include "baobabpin/routing/GroupOwner.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

namespace baobabpin::routing {
namespace {

OwnerCandidates fleet(int perZone) {
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

TEST_CASE("the owner of a group is found without messages") {
  auto nodes = fleet(3);
  auto order = ownerOrder(Group, Zones, nodes).Nodes;

  SUBCASE("it sits in the home zone, and any order of the view agrees") {
    CHECK(order[0].starts_with("kotte"));
    for (auto &[zone, members] : nodes)
      std::reverse(members.begin(), members.end());
    CHECK(ownerOrder(Group, Zones, nodes).Nodes == order);
  }
  SUBCASE("when it dies only its own groups move, to the next in order") {
    std::erase_if(nodes["kotte"],
                  [&](const auto &it) { return it.Node == order[0]; });
    CHECK(ownerOrder(Group, Zones, nodes).Nodes[0] == order[1]);
  }
  SUBCASE("a restarted process of the same host keeps its groups") {
    for (auto &it : nodes["kotte"])
      it.Node += "/2";
    CHECK(ownerOrder(Group, Zones, nodes).Nodes[0] == order[0] + "/2");
  }
  SUBCASE("without its home zone it moves to another zone of the servers") {
    nodes.erase("kotte");
    CHECK(ownerOrder(Group, Zones, nodes).Nodes[0].starts_with("negombo"));
  }
  SUBCASE("a node that cannot reach the primary comes after all that can") {
    for (auto &it : nodes["kotte"])
      it.UnfitGroups.insert(Group);
    auto fit = ownerOrder(Group, Zones, nodes);
    CHECK(fit.Nodes[0].starts_with("negombo"));
    CHECK_FALSE(fit.AllUnfit);
    CHECK(ownerOrder("transcript-db-1", Zones, nodes)
              .Nodes[0]
              .starts_with("kotte"));
  }
  SUBCASE("when nobody can reach it the order stays the same") {
    for (auto &[zone, members] : nodes) {
      for (auto &it : members)
        it.UnfitGroups.insert(Group);
    }
    auto unfit = ownerOrder(Group, Zones, nodes);
    CHECK(unfit.AllUnfit);
    CHECK(unfit.Nodes == order);
  }
}

TEST_CASE("groups spread over the nodes of their zone") {
  auto nodes = fleet(10);
  std::map<base::NodeId, int> owned;
  for (int n = 0; n < 1000; ++n)
    ++owned[ownerOrder("db-" + std::to_string(n), Zones, nodes).Nodes[0]];
  CHECK(owned.size() == 10);
  for (const auto &[node, n] : owned)
    CHECK(n < 150);
}

} // namespace
} // namespace baobabpin::routing
