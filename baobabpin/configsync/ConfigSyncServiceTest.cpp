#include "baobabpin/configsync/ConfigSyncService.h"

#include "baobabpin/membership/MembershipService.h"
#include "baobabpin/peer/PeerService.h"
#include "baobabpin/store/FakeStore.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace baobabpin::configsync {
namespace {

using namespace std::chrono_literals;
using membership::MembershipService;
using store::testing::FakeStore;

constexpr auto JoinSettleTime = 1500ms;

/// A node with the services that configsync works with.
class TestNode {
public:
  TestNode(const std::string &node, const std::string &zone,
           const std::vector<std::string> &seeds, http::Endpoint store)
      : Kernel(node) {
    auto peers = std::make_unique<peer::PeerService>(
        peer::PeerSettings{.Listen = {"127.0.0.1", freePort()}});
    membership::MembershipSettings settings;
    settings.Self = {.Node = node,
                     .Zone = zone,
                     .GossipEndpoint = "127.0.0.1:0",
                     .PeerEndpoint = http::formatEndpoint({"127.0.0.1", Port}),
                     .Host = node};
    settings.Seeds = seeds;
    settings.FleetSecret = "secret";
    auto sync = std::make_unique<ConfigSyncService>(
        ConfigSyncSettings{.Store = std::move(store),
                           .SettleTime = 300ms,
                           .JoinSettleTime = JoinSettleTime});
    Config = sync.get();
    peers->setSyncHandler([this](const proto::SyncRequest &request) {
      return Config->handleSync(request);
    });
    peers->setInForceHandler([this](const proto::InForceRequest &request) {
      return Config->handleInForce(request.revision());
    });
    Kernel.add(std::move(peers));
    Kernel.add(std::make_unique<MembershipService>(settings));
    Kernel.add(std::move(sync));
    IsStarted = base::handleFailure(
        [&]() -> base::Result<bool> {
          BOOST_LEAF_CHECK(Kernel.startAll());
          return true;
        },
        [](const base::Failure &) { return false; });
    Members = &Kernel.find<MembershipService>("membership");
  }

  std::string seed() const { return Members->self().GossipEndpoint; }

  kernel::Kernel Kernel;
  ConfigSyncService *Config = nullptr;
  MembershipService *Members = nullptr;
  bool IsStarted = false;

private:
  /// A port that was free a moment ago; the record must name it before start.
  std::uint16_t freePort() {
    http::HttpServer probe(Kernel.loop());
    Port = base::handleFailure(
               [&] {
                 return probe.listen({"127.0.0.1", 0});
               },
               [](const base::Failure &) { return http::Endpoint{}; })
               .Port;
    return Port;
  }

  std::uint16_t Port = 0;
};

/// A fake store and nodes of two zones, all driven by one thread in turns.
struct Fleet {
  kernel::EventLoop StoreLoop;
  FakeStore Store{StoreLoop};
  std::vector<std::unique_ptr<TestNode>> Nodes;
  int Started = 0;

  std::unique_ptr<TestNode> makeNode(std::size_t n) {
    std::vector<std::string> seeds;
    for (const auto &it : Nodes) {
      if (it)
        seeds.push_back(it->seed());
    }
    auto node = std::make_unique<TestNode>(
        "host-" + std::to_string(n) + "/" + std::to_string(++Started),
        n % 2 ? "a" : "b", seeds, Store.Endpoint);
    REQUIRE(node->IsStarted);
    return node;
  }

  explicit Fleet(std::size_t count) {
    for (std::size_t n = 0; n < count; ++n)
      Nodes.push_back(makeNode(n));
  }

  static void turn(kernel::EventLoop &loop) {
    auto end = loop.runAfter(1ms, [&] { loop.stop(); });
    loop.run();
  }

  /// Runs until the condition holds; the bound only ends a failing test.
  template <typename Condition> bool runUntil(Condition condition) {
    auto end = std::chrono::steady_clock::now() + 30s;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end)
        return false;
      turn(StoreLoop);
      for (auto &it : Nodes) {
        if (it)
          turn(it->Kernel.loop());
      }
    }
    return true;
  }

  /// Nodes that watch the store, by their event logs.
  int watchers() const {
    int n = 0;
    for (const auto &node : Nodes) {
      for (const auto &it : node->Kernel.log().eventsSince({}, 10'000))
        n += (it.Name == "store_watch_started") -
             (it.Name == "store_watch_stopped");
    }
    return n;
  }

  bool allHave(const std::string &key, const std::string &value) {
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &it) {
      return it->Config->find(key) == value;
    });
  }
};

TEST_CASE("a fleet and its configuration") {
  Fleet fleet(5);
  fleet.Store.write("resources/group/g1", "one");
  REQUIRE(fleet.runUntil(
      [&] { return fleet.allHave("resources/group/g1", "one"); }));

  SUBCASE("a write through any node is in force everywhere") {
    WriteResult result{WriteStatus::Unknown};
    fleet.Nodes[3]->Config->compareAndSwap(
        "resources/group/g1", "mark two", 1,
        [&](const WriteResult &it) { result = it; });
    REQUIRE(fleet.runUntil(
        [&] { return fleet.allHave("resources/group/g1", "mark two"); }));
    CHECK(result.Status == WriteStatus::Committed);
    std::set<std::string> confirmed;
    bool asking = false;
    CHECK(fleet.runUntil([&] {
      if (!std::exchange(asking, true))
        fleet.Nodes[0]->Config->queryInForce(
            result.Revision, [&](const proto::InForceReply &reply) {
              asking = false;
              confirmed.clear();
              for (const auto &it : reply.nodes()) {
                if (it.reason().empty())
                  confirmed.insert(it.node());
              }
            });
      return confirmed.size() == 5;
    }));
  }
  SUBCASE("a lost answer of a compare-and-swap is resolved by the mark") {
    fleet.Store.RepliesToDrop = 1;
    WriteResult result{WriteStatus::Unknown};
    fleet.Nodes[1]->Config->compareAndSwap(
        "resources/group/g2", "mark three", 0,
        [&](const WriteResult &it) { result = it; });
    REQUIRE(
        fleet.runUntil([&] { return result.Status != WriteStatus::Unknown; }));
    CHECK(result.Status == WriteStatus::Committed);
    CHECK(result.Revision == 2);
  }
  SUBCASE("only two nodes of each zone call the store") {
    // While the nodes find each other, more may take themselves for watchers.
    REQUIRE(fleet.runUntil([&] { return fleet.watchers() == 4; }));
    fleet.Store.Calls.clear();
    fleet.Store.write("resources/group/g1", "four");
    REQUIRE(fleet.runUntil(
        [&] { return fleet.allHave("resources/group/g1", "four"); }));
    CHECK(fleet.Store.Calls["/v1/watch"] <= 4);
    CHECK(fleet.Store.Calls["/v1/range"] == 0);
  }
  SUBCASE("while the store is down, restarts keep the configuration") {
    fleet.Store.write("resources/group/g1", "newest");
    fleet.Store.remove("resources/group/g1");
    fleet.Store.write("resources/group/g3", "newest");
    REQUIRE(fleet.runUntil(
        [&] { return fleet.allHave("resources/group/g3", "newest"); }));
    fleet.Store.IsDown = true;
    for (std::size_t n = 0; n < fleet.Nodes.size(); ++n) {
      fleet.Nodes[n].reset();
      fleet.Nodes[n] = fleet.makeNode(n);
      REQUIRE(fleet.runUntil(
          [&] { return fleet.allHave("resources/group/g3", "newest"); }));
    }
    for (const auto &it : fleet.Nodes) {
      CHECK_FALSE(it->Config->find("resources/group/g1"));
      CHECK(it->Config->appliedRevision() == 4);
      CHECK(it->Config->list("resources/group/").size() == 1);
    }
  }
}

TEST_CASE("a change is not in force while hosts may not be known yet") {
  // Guards against "in force" from a node that knows a part of the fleet only.
  Fleet fleet(1);
  fleet.Store.Hosts = {{{"host", "host-0/1"}, {"state", "live"}},
                       {{"host", "host-1/2"}, {"state", "live"}}};
  fleet.Store.write("resources/group/g1", "one");
  REQUIRE(fleet.runUntil(
      [&] { return fleet.allHave("resources/group/g1", "one"); }));
  proto::InForceReply last;
  auto ask = [&] {
    bool replied = false;
    fleet.Nodes[0]->Config->queryInForce(1,
                                         [&](const proto::InForceReply &reply) {
                                           last = reply;
                                           replied = true;
                                         });
    REQUIRE(fleet.runUntil([&] { return replied; }));
  };
  auto reasonOf = [&](const std::string &node) {
    for (const auto &it : last.nodes()) {
      if (it.node() == node)
        return it.reason();
    }
    return std::string("missing");
  };
  ask();
  CHECK(reasonOf("host-0/1").empty());
  CHECK(reasonOf("host-1/2") == "unknown");

  SUBCASE("a host whose node has joined is asked like all others") {
    fleet.Nodes.push_back(fleet.makeNode(1));
    CHECK(fleet.runUntil([&] {
      ask();
      return reasonOf("host-1/2").empty();
    }));
    CHECK(last.nodes_size() == 2);
  }
  SUBCASE("a host that stays unknown does not hold a change up for long") {
    CHECK(fleet.runUntil([&] {
      ask();
      return reasonOf("host-1/2") == "missing";
    }));
  }
}

} // namespace
} // namespace baobabpin::configsync
