#include "baobabpin/membership/MemberList.h"

#include "baobabpin/membership/DatagramCodec.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <queue>

namespace baobabpin::membership {
namespace {

using base::TimePoint;

/// A fleet in one process under fake time: datagrams take 1 ms, each node ticks
/// every 50 ms, links and nodes can be cut or paused.
class Fleet {
public:
  struct Node {
    MemberList List;
    bool Running = true;
    bool Paused = false;
    std::vector<std::pair<proto::Datagram, std::string>> Buffered;
    std::vector<MemberChange> Changes;
  };

  explicit Fleet(int count, std::uint64_t seed = 1) {
    for (int n = 0; n < count; ++n)
      add("host-" + std::to_string(n) + "/1", endpointOf(n), seed + n);
  }

  static std::string endpointOf(int n) {
    return "10.0.0." + std::to_string(n) + ":1";
  }

  Node &add(const std::string &node, const std::string &endpoint,
            std::uint64_t seed) {
    MemberRecord self{.Node = node,
                      .Zone = endpoint.back() % 2 ? "a" : "b",
                      .GossipEndpoint = endpoint};
    auto &it = Nodes[endpoint];
    it = std::make_unique<Node>();
    it->List =
        makeMemberList(self, {endpointOf(0), endpointOf(1)}, {}, seed, Now);
    return *it;
  }

  Node &at(int n) { return *Nodes.at(endpointOf(n)); }

  void run(base::Duration period) {
    for (TimePoint end = Now + period; Now < end; Now += 1ms) {
      deliver();
      int phase = 0;
      auto ms = Now.time_since_epoch() / 1ms;
      for (auto &[endpoint, node] : Nodes) {
        if (node->Running && !node->Paused && (ms + phase++ * 7) % 50 == 0)
          send(endpoint, tick(node->List, Now));
        collect(*node);
      }
    }
  }

  void resume(int n) {
    Node &node = at(n);
    node.Paused = false;
    send(endpointOf(n), tick(node.List, Now));
    for (auto &[datagram, sender] : std::exchange(node.Buffered, {}))
      send(endpointOf(n), receive(node.List, datagram, sender, Now));
  }

  /// Number of (observer, member) pairs of running nodes in \p state.
  int count(MemberState state) const {
    int n = 0;
    for (const auto &[endpoint, node] : Nodes) {
      if (!node->Running)
        continue;
      for (const auto &[id, entry] : node->List.Members)
        n += entry.Record.State == state;
    }
    return n;
  }

  /// Changes to \p state that any node has seen so far.
  int seen(MemberState state) const {
    int n = 0;
    for (const auto &[endpoint, node] : Nodes) {
      for (const auto &it : node->Changes)
        n += !it.Removed && it.Previous && it.Record.State == state;
    }
    return n;
  }

  void send(const std::string &from, std::vector<Outgoing> outgoing) {
    for (auto &it : outgoing) {
      std::string bytes = encodeDatagram(it.Datagram, "secret");
      Largest = std::max(Largest, bytes.size());
      Bytes += bytes.size();
      if (!IsCut(from, it.Endpoint))
        InFlight.push({Now + 1ms, from, std::move(it)});
    }
  }

  TimePoint Now{1h};
  std::map<std::string, std::unique_ptr<Node>> Nodes;
  std::function<bool(const std::string &, const std::string &)> IsCut =
      [](const std::string &, const std::string &) { return false; };
  std::size_t Largest = 0;
  std::size_t Bytes = 0;

private:
  struct Flight {
    TimePoint Arrival;
    std::string From;
    Outgoing Content;
  };

  void deliver() {
    while (!InFlight.empty() && InFlight.front().Arrival <= Now) {
      Flight it = std::move(InFlight.front());
      InFlight.pop();
      auto target = Nodes.find(it.Content.Endpoint);
      if (target == Nodes.end() || !target->second->Running)
        continue;
      Node &node = *target->second;
      if (node.Paused)
        node.Buffered.emplace_back(it.Content.Datagram, it.From);
      else
        send(it.Content.Endpoint,
             receive(node.List, it.Content.Datagram, it.From, Now));
    }
  }

  static void collect(Node &node) {
    for (auto &it : takeChanges(node.List))
      node.Changes.push_back(std::move(it));
  }

  std::queue<Flight> InFlight;
};

constexpr int Size = 30;
constexpr int Pairs = Size * (Size - 1);

TEST_CASE("a fleet finds itself through two seeds and survives faults") {
  Fleet fleet(Size);
  fleet.run(5s);
  REQUIRE(fleet.count(MemberState::Alive) == Pairs);
  REQUIRE(fleet.seen(MemberState::Suspect) == 0);

  SUBCASE("a node that ends is declared dead everywhere") {
    fleet.at(7).Running = false;
    fleet.run(5s);
    CHECK(fleet.count(MemberState::Dead) == Size - 1);
    SUBCASE("its younger process replaces the record") {
      fleet.add("host-7/2", Fleet::endpointOf(7), 99);
      fleet.run(5s);
      CHECK(fleet.count(MemberState::Alive) == Pairs);
      CHECK(fleet.count(MemberState::Dead) == 0);
    }
    SUBCASE("the dead record is dropped after its retention") {
      fleet.run(11min);
      CHECK(fleet.count(MemberState::Dead) == 0);
    }
  }
  SUBCASE("a planned end is known before a suspicion could expire") {
    auto words = farewell(fleet.at(3).List);
    fleet.send(Fleet::endpointOf(3), std::move(words));
    fleet.at(3).Running = false;
    fleet.run(MembershipTiming().SuspicionPeriod);
    CHECK(fleet.count(MemberState::Dead) == Size - 1);
  }
  SUBCASE("leaving and unfit groups reach everybody and unfitness expires") {
    declareLeaving(fleet.at(4).List);
    declareUnfit(fleet.at(5).List, "g1", fleet.Now + 10s);
    fleet.run(3s);
    CHECK(fleet.count(MemberState::Leaving) == Size - 1);
    auto unfit = [&] {
      int n = 0;
      for (const auto &[endpoint, node] : fleet.Nodes) {
        auto it = node->List.Members.find("host-5/1");
        n += it != node->List.Members.end() &&
             it->second.Record.UnfitGroups.contains("g1");
      }
      return n;
    };
    CHECK(unfit() == Size - 1);
    fleet.run(10s);
    CHECK(unfit() == 0);
  }
  SUBCASE("a node reported by the forwarding layer refutes it") {
    fleet.send(Fleet::endpointOf(0),
               suspectAtOnce(fleet.at(0).List, "host-9/1", fleet.Now));
    CHECK(fleet.at(0).List.Members.at("host-9/1").Record.State ==
          MemberState::Suspect);
    fleet.run(3s);
    CHECK(fleet.count(MemberState::Alive) == Pairs);
    CHECK(fleet.seen(MemberState::Dead) == 0);
  }
  SUBCASE("probes through helpers keep a member alive") {
    // One cut link must not look like a dead node.
    fleet.IsCut = [](const std::string &from, const std::string &to) {
      return (from == Fleet::endpointOf(2) && to == Fleet::endpointOf(6)) ||
             (from == Fleet::endpointOf(6) && to == Fleet::endpointOf(2));
    };
    fleet.run(60s);
    CHECK(fleet.seen(MemberState::Suspect) == 0);
  }
  SUBCASE("datagrams stay below the limit") {
    CHECK(fleet.Largest <= MaxDatagramBytes);
  }
}

TEST_CASE("a pause of 500 ms kills nobody") {
  // A false death would move group ownership for nothing.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    Fleet fleet(Size, seed * 100);
    fleet.run(5s);
    for (int n = 0; n < 5; ++n) {
      fleet.at(n * 5).Paused = true;
      fleet.run(500ms);
      fleet.resume(n * 5);
      fleet.run(3s);
    }
    CHECK(fleet.seen(MemberState::Dead) == 0);
    CHECK(fleet.count(MemberState::Alive) == Pairs);
  }
}

TEST_CASE("two availability zones part and merge") {
  Fleet fleet(Size);
  fleet.run(5s);
  auto side = [&](const std::string &endpoint) {
    return fleet.Nodes.at(endpoint)->List.Self.Node < "host-2";
  };
  fleet.IsCut = [&](const std::string &from, const std::string &to) {
    return side(from) != side(to);
  };
  fleet.run(60s);
  int cut = 0;
  for (const auto &[endpoint, node] : fleet.Nodes)
    cut += side(endpoint);
  REQUIRE(cut > 5);
  REQUIRE(fleet.count(MemberState::Dead) == 2 * cut * (Size - cut));
  REQUIRE(fleet.count(MemberState::Suspect) == 0);

  SUBCASE("after a minute") {}
  SUBCASE("after the dead records are gone, through the seeds") {
    // Both seeds are on one side; the other side must find them again.
    fleet.run(11min);
    REQUIRE(fleet.count(MemberState::Dead) == 0);
  }
  fleet.IsCut = [](const std::string &, const std::string &) { return false; };
  fleet.run(60s);
  CHECK(fleet.count(MemberState::Alive) == Pairs);
}

TEST_CASE("records of one member") {
  MemberRecord self{.Node = "host-0/1", .GossipEndpoint = "10.0.0.0:1"};
  MemberList list = makeMemberList(self, {}, {}, 1, TimePoint{1h});
  proto::Datagram datagram;
  datagram.set_from("host-1/1");
  auto tell = [&](const MemberRecord &record) {
    datagram.clear_updates();
    encodeRecord(record, *datagram.add_updates());
    receive(list, datagram, "10.0.0.1:1", TimePoint{1h});
  };
  MemberRecord other{
      .Node = "host-5/8", .GossipEndpoint = "10.0.0.5:1", .Incarnation = 4};

  SUBCASE("an older process does not come back") {
    tell(other);
    other.Node = "host-5/7";
    other.Incarnation = 90;
    tell(other);
    CHECK(list.Members.size() == 1);
    CHECK(list.Members.contains("host-5/8"));
  }
  SUBCASE("an older incarnation changes nothing") {
    tell(other);
    other.Incarnation = 3;
    other.State = MemberState::Dead;
    tell(other);
    CHECK(list.Members.at("host-5/8").Record.State == MemberState::Alive);
  }
  SUBCASE("an expired dead member is not brought back by a late record") {
    other.State = MemberState::Dead;
    tell(other);
    CHECK(list.Members.empty());
  }
  SUBCASE("a process that is told of its own death refutes it") {
    MemberRecord death = list.Self;
    death.Incarnation = 12;
    death.State = MemberState::Dead;
    tell(death);
    CHECK(list.Self.Incarnation == 13);
    CHECK(list.Self.State == MemberState::Alive);
  }
  SUBCASE("unfit groups beyond the size of a record are left out") {
    for (int n = 0; n < 100; ++n)
      declareUnfit(list, "group-of-some-length-" + std::to_string(n),
                   TimePoint{2h});
    proto::MemberRecord encoded;
    encodeRecord(list.Self, encoded);
    CHECK(encoded.ByteSizeLong() <= MaxRecordBytes);
    CHECK(list.Self.UnfitGroups.size() > 5);
  }
}

} // namespace
} // namespace baobabpin::membership
