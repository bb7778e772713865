#include "baobabpin/routing/GroupOwner.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

namespace baobabpin::routing {
namespace {

std::vector<OwnerCandidate> fleet(int perZone) {
  std::vector<OwnerCandidate> nodes;
  for (const char *zone : {"hulftsdorp", "kotte", "negombo"}) {
    for (int n = 0; n < perZone; ++n) {
      std::string host = std::string(zone) + "-" + std::to_string(n);
      nodes.push_back({host, zone, host, true});
    }
  }
  return nodes;
}

const std::vector<base::AvailabilityZone> Zones{"kotte", "negombo"};

TEST_CASE("the owner of a group is found without messages") {
  auto nodes = fleet(3);
  auto order = ownerOrder("transcript-db-0", Zones, nodes);

  SUBCASE("it sits in the home zone, and any order of the view agrees") {
    CHECK(order[0].starts_with("kotte"));
    std::reverse(nodes.begin(), nodes.end());
    CHECK(ownerOrder("transcript-db-0", Zones, nodes) == order);
  }
  SUBCASE("when it dies only its own groups move, to the next in order") {
    std::erase_if(nodes, [&](const auto &it) { return it.Node == order[0]; });
    CHECK(ownerOrder("transcript-db-0", Zones, nodes)[0] == order[1]);
  }
  SUBCASE("without its home zone it moves to another zone of the servers") {
    std::erase_if(nodes, [](const auto &it) { return it.Zone == "kotte"; });
    CHECK(
        ownerOrder("transcript-db-0", Zones, nodes)[0].starts_with("negombo"));
  }
  SUBCASE("a node that cannot reach the primary comes after all that can") {
    for (auto &it : nodes) {
      if (it.Zone == "kotte")
        it.Fit = false;
    }
    CHECK(
        ownerOrder("transcript-db-0", Zones, nodes)[0].starts_with("negombo"));
  }
}

TEST_CASE("groups spread over the nodes of their zone") {
  auto nodes = fleet(10);
  std::map<base::NodeId, int> owned;
  for (int n = 0; n < 1000; ++n)
    ++owned[ownerOrder("db-" + std::to_string(n), Zones, nodes)[0]];
  CHECK(owned.size() == 10);
  for (const auto &[node, n] : owned)
    CHECK(n < 150);
}

} // namespace
} // namespace baobabpin::routing
