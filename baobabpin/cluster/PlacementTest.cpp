#include "baobabpin/cluster/ConnectionPlan.h"
#include "baobabpin/cluster/ReplicaChoice.h"

#include <doctest/doctest.h>

namespace baobabpin::cluster {
namespace {

using namespace std::chrono_literals;

ReadCandidate replica() {
  ReadCandidate it;
  it.SameZone = true;
  it.CoversPosition = true;
  it.SinceLagging = 10s;
  it.Latency = 10ms;
  it.Connections = 1;
  return it;
}

/// The index of the server that a read is sent to.
std::optional<std::size_t>
chooseReadServer(const std::vector<ReadCandidate> &candidates) {
  ReadPlan plan = planRead(candidates, 1s);
  return plan.Step == ReadStep::Send ? std::optional(plan.Server)
                                     : std::nullopt;
}

TEST_CASE("planRead() chooses the server of a read") {
  SUBCASE("a server in the node's own zone wins when all else is equal") {
    ReadCandidate other = replica();
    other.SameZone = false;
    CHECK(chooseReadServer({other, replica()}) == 1u);
  }
  SUBCASE("a server in another zone wins when the local one has a queue") {
    ReadCandidate busy = replica();
    busy.Load = 3;
    ReadCandidate other = replica();
    other.SameZone = false;
    CHECK(chooseReadServer({busy, other}) == 1u);
  }
  SUBCASE("the primary wins only when the replicas are much slower") {
    ReadCandidate primary = replica();
    primary.Primary = true;
    ReadCandidate slow = replica();
    slow.Latency = 40ms;
    CHECK(chooseReadServer({primary, slow}) == 1u);
    slow.Latency = 60ms;
    CHECK(chooseReadServer({primary, slow}) == 0u);
  }
  SUBCASE("a server that lagged recently and may still lag is avoided") {
    ReadCandidate lagging = replica();
    lagging.CoversPosition = false;
    lagging.SinceLagging = 20ms;
    ReadCandidate far = replica();
    far.SameZone = false;
    CHECK(chooseReadServer({lagging, far}) == 1u);
    lagging.CoversPosition = true;
    CHECK(chooseReadServer({lagging, far}) == 0u);
  }
  SUBCASE("a server that is expected to lag is not chosen") {
    ReadCandidate lagging = replica();
    lagging.CoversPosition = false;
    lagging.ReadyIn = 500ms;
    ReadCandidate primary = replica();
    primary.Primary = true;
    CHECK(chooseReadServer({lagging, primary}) == 1u);
    CHECK_FALSE(chooseReadServer({lagging}).has_value());
  }
  SUBCASE("a server whose owner has a queue is avoided") {
    ReadCandidate busy = replica();
    busy.QueueWait = 60ms;
    ReadCandidate primary = replica();
    primary.Primary = true;
    CHECK(chooseReadServer({busy, primary}) == 1u);
    primary.QueueWait = 60ms;
    CHECK(chooseReadServer({busy, primary}) == 0u);
  }
  SUBCASE("a server without a known latency is as fast as the median") {
    // Guards against a server that has just started and gets all reads at once.
    ReadCandidate unknown = replica();
    unknown.Latency = 0ms;
    ReadCandidate slow = replica();
    slow.Latency = 14ms;
    CHECK(chooseReadServer({unknown, replica(), slow}) == 1u);
    CHECK(chooseReadServer({unknown, slow}) == 0u);
    unknown.Load = 1;
    CHECK(chooseReadServer({unknown, slow}) == 1u);
  }
  SUBCASE("no server is chosen when none is reachable") {
    ReadCandidate dead = replica();
    dead.Unreachable = true;
    CHECK_FALSE(chooseReadServer({dead}).has_value());
  }
}

TEST_CASE("planRead() waits for a server while there is time") {
  // Guards against a read that fails with 1.5 s left after each server has
  // refused it once, and against one that waits in vain.
  ReadCandidate lagging = replica();
  lagging.ReadyIn = 300ms;
  ReadCandidate refused = replica();
  refused.ReadyIn = 25ms;
  ReadCandidate dead = replica();
  dead.Unreachable = true;
  auto plan = planRead({lagging, refused, dead}, 1500ms);
  CHECK(plan.Step == ReadStep::Wait);
  CHECK(plan.Delay == 25ms);
  plan = planRead({lagging}, 1500ms);
  CHECK(plan.Step == ReadStep::Wait);
  CHECK(plan.Delay == ReplanInterval);
  CHECK(planRead({lagging}, 300ms).Step == ReadStep::NotInTime);
  CHECK(planRead({dead}, 1500ms).Step == ReadStep::NoneInReach);
  CHECK(planRead({}, 1500ms).Step == ReadStep::NoneInReach);
  ReadCandidate overloaded = replica();
  overloaded.Overloaded = true;
  plan = planRead({overloaded, dead}, 1500ms);
  CHECK(plan.Step == ReadStep::NotInTime);
  CHECK(plan.Overloaded);
  CHECK(planRead({overloaded, lagging}, 1500ms).Step == ReadStep::Wait);
}

TEST_CASE("the owner of a server's connections") {
  ServerRegistration server{.Id = "s1", .Group = "g", .Zone = "b"};
  std::vector<NodePlacement> nodes{{"n1", "a"}, {"n2", "b"}, {"n3", "b"}};

  SUBCASE("is in the server's zone") {
    auto owners = rankOwners(server, nodes);
    REQUIRE(owners.size() == OwnerCandidates);
    CHECK(owners[0] != "n1");
    CHECK(owners[1] != "n1");
  }
  SUBCASE("is the same for every order of the list of nodes") {
    auto owners = rankOwners(server, nodes);
    std::swap(nodes[0], nodes[2]);
    CHECK(rankOwners(server, nodes) == owners);
  }
  SUBCASE("stays the same when another node leaves") {
    auto owners = rankOwners(server, nodes);
    std::erase_if(
        nodes, [&](const NodePlacement &it) { return it.Name != owners[0]; });
    CHECK(rankOwners(server, nodes).front() == owners[0]);
  }
  SUBCASE("is in another zone when the server's zone has no node") {
    CHECK(rankOwners(server, {{"n1", "a"}}).front() == "n1");
  }
  SUBCASE("is more often a node of high capacity, because it runs all work") {
    std::vector<NodePlacement> fleet;
    for (int n = 0; n < 20; ++n)
      fleet.push_back({"f" + std::to_string(n), "b", n < 2 ? 500 : 120});
    int strong = 0;
    for (int n = 0; n < 300; ++n) {
      ServerRegistration it{
          .Id = "s" + std::to_string(n), .Group = "g", .Zone = "b"};
      std::string owner = rankOwners(it, fleet).front();
      strong += owner == "f0" || owner == "f1" ? 1 : 0;
    }
    // Two of the twenty nodes have 32 % of the zone's capacity.
    CHECK(strong > 300 / 5);
    CHECK(strong < 300 / 2);
  }
  SUBCASE("has more substitutes in a large fleet, where only owners connect") {
    std::vector<NodePlacement> fleet;
    for (int n = 0; n < 20; ++n)
      fleet.push_back({"f" + std::to_string(n), "b"});
    CHECK(rankOwners(server, fleet).size() == LargeFleetOwnerCandidates);
  }
  SUBCASE("is needed only where a server accepts few connections") {
    CHECK_FALSE(usesDirectConnections(16, 2, 9));
    CHECK(usesDirectConnections(34, 2, 9));
    CHECK_FALSE(usesDirectConnections(130, 2, 91));
    // Three slots need four connections for each node. With fewer, all
    // connections are in use when the hosts lose power, and the server counts
    // them for some seconds after the restart.
    CHECK_FALSE(usesDirectConnections(22, 3, 6));
    CHECK(usesDirectConnections(24, 3, 6));
  }
}

} // namespace
} // namespace baobabpin::cluster
