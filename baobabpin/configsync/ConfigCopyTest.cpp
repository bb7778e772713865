#include "baobabpin/configsync/ConfigCopy.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

namespace baobabpin::configsync {
namespace {

ConfigRecord valueAt(const std::string &key, std::uint64_t revision) {
  return {key, revision, key + "@" + std::to_string(revision)};
}

ConfigRecord deletedAt(const std::string &key, std::uint64_t revision) {
  return {key, revision, std::nullopt};
}

std::size_t recordBytes(const proto::SyncReply &reply) {
  std::size_t bytes = 0;
  for (const auto &it : reply.records())
    bytes += it.ByteSizeLong();
  return bytes;
}

/// Pulls until the peer has nothing more; returns the number of calls.
int pullAll(ConfigCopy &copy, const ConfigCopy &peer, PullKind kind,
            std::size_t maxBytes = MaxSyncReplyBytes) {
  for (int calls = 1;; ++calls) {
    Pull pull = makePull(copy, kind);
    auto reply = answerSync(peer, pull.Request, maxBytes);
    CHECK(recordBytes(reply) <= maxBytes);
    mergeSync(copy, pull, reply);
    if (!reply.full_needed())
      return calls;
    kind = PullKind::Full;
    REQUIRE(calls < 100);
  }
}

TEST_CASE("every order of arrival gives the same configuration") {
  std::vector<ConfigRecord> records{valueAt("a", 1),   valueAt("b", 2),
                                    valueAt("a", 3),   deletedAt("b", 4),
                                    deletedAt("a", 5), valueAt("a", 6)};
  std::vector<std::size_t> order{0, 1, 2, 3, 4, 5};
  do {
    ConfigCopy copy;
    for (auto n : order)
      applyRecords(copy, {records[n]});
    CHECK(copy.Records.at("a") == records[5]);
    CHECK(copy.Records.at("b") == records[3]);
  } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("a peer that missed a deletion cannot bring the key back") {
  ConfigCopy outdated;
  applySnapshot(outdated, {valueAt("a", 10), valueAt("b", 20)}, 40);
  ConfigCopy fresh;
  applySnapshot(fresh, {valueAt("b", 20)}, 70);

  SUBCASE("when it is pulled from") {
    pullAll(fresh, outdated, PullKind::Full);
    CHECK_FALSE(fresh.Records.contains("a"));
  }
  SUBCASE("when it pulls, it learns of the deletion") {
    Pull pull = makePull(outdated, PullKind::Difference);
    CHECK(answerSync(fresh, pull.Request).full_needed());
    CHECK(pullAll(outdated, fresh, PullKind::Difference) == 2);
    CHECK(outdated.CompleteRevision == 70);
    CHECK_FALSE(outdated.Records.at("a").Value);
    CHECK(digestHash(outdated) == digestHash(fresh));
  }
}

TEST_CASE("a large difference arrives in parts") {
  ConfigCopy full;
  std::vector<ConfigRecord> records;
  for (std::uint64_t n = 1; n <= 20; ++n)
    records.push_back(valueAt("key-" + std::to_string(n), n));
  applySnapshot(full, records, 20);
  ConfigCopy empty;
  CHECK(pullAll(empty, full, PullKind::Difference, 100) > 1);
  CHECK(empty.Records == full.Records);
  CHECK(empty.CompleteRevision == 20);
}

/// A store, two watchers and some other nodes that exchange configurations in
/// random order, with delayed replies, restarts and outages of the store.
struct World {
  struct Node {
    ConfigCopy Copy;
    /// Of the watch; 0: reads a snapshot next.
    std::uint64_t Cursor = 0;
  };
  struct Delayed {
    std::size_t To = 0;
    int Incarnation = 0;
    Pull Asked;
    proto::SyncReply Reply;
  };

  explicit World(std::uint64_t seed) : Random(seed) {}

  std::size_t pick(std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(Random);
  }

  void write() {
    std::string key = "k" + std::to_string(pick(6));
    ++Revision;
    bool exists = Truth.contains(key) && Truth[key].Value;
    Truth[key] = exists && pick(3) == 0 ? deletedAt(key, Revision)
                                        : valueAt(key, Revision);
    History.push_back(Truth[key]);
  }

  void followStore(std::size_t n) {
    Node &node = Nodes[n];
    std::vector<ConfigRecord> records;
    if (node.Cursor == 0) {
      for (const auto &[key, record] : Truth) {
        if (record.Value)
          records.push_back(record);
      }
      applySnapshot(node.Copy, records, Revision);
    } else {
      for (const auto &it : History) {
        if (it.Revision > node.Cursor)
          records.push_back(it);
      }
      applyChanges(node.Copy, records, Revision);
    }
    node.Cursor = Revision;
  }

  void ask(std::size_t from, std::size_t to) {
    const ConfigCopy &peer = Nodes[from].Copy;
    ConfigCopy &own = Nodes[to].Copy;
    PullKind kind = choosePull(own, digestHash(own), peer.CompleteRevision,
                               digestHash(peer));
    if (kind == PullKind::None)
      return;
    for (int parts = 0; parts < 2; ++parts) {
      Pull pull = makePull(own, kind);
      auto reply = answerSync(peer, pull.Request, parts == 0 ? 60 : 1000);
      bool fullNeeded = reply.full_needed();
      InFlight.push_back(
          {to, Incarnations[to], std::move(pull), std::move(reply)});
      if (!fullNeeded)
        return;
      kind = PullKind::Full;
    }
  }

  void deliver() {
    if (InFlight.empty())
      return;
    std::swap(InFlight[pick(InFlight.size())], InFlight.back());
    Delayed it = std::move(InFlight.back());
    InFlight.pop_back();
    if (it.Incarnation == Incarnations[it.To])
      mergeSync(Nodes[it.To].Copy, it.Asked, it.Reply);
  }

  void restart(std::size_t n) {
    Nodes[n] = {};
    ++Incarnations[n];
  }

  /// The state of a key as of \p revision.
  ConfigRecord truthAt(const std::string &key, std::uint64_t revision) const {
    ConfigRecord found{key, 0, std::nullopt};
    for (const auto &it : History) {
      if (it.Key == key && it.Revision <= revision)
        found = it;
    }
    return found;
  }

  /// What a node says it applied must be in force there.
  void check(const Node &node) const {
    std::uint64_t complete = node.Copy.CompleteRevision;
    for (const auto &[key, latest] : Truth) {
      ConfigRecord expected = truthAt(key, complete);
      auto held = node.Copy.Records.find(key);
      if (held == node.Copy.Records.end()) {
        REQUIRE_FALSE(expected.Value);
        continue;
      }
      if (held->second.Revision <= complete)
        REQUIRE(held->second.Value == expected.Value);
    }
  }

  std::mt19937_64 Random;
  std::uint64_t Revision = 0;
  std::map<std::string, ConfigRecord> Truth;
  std::vector<ConfigRecord> History;
  std::vector<Node> Nodes = std::vector<Node>(6);
  std::vector<int> Incarnations = std::vector<int>(6);
  std::vector<Delayed> InFlight;
};

TEST_CASE("nothing reverts and all copies agree in the end") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    World world(seed);
    std::vector<std::map<std::string, ConfigRecord>> before(6);
    std::vector<std::uint64_t> complete(6);
    for (int step = 0; step < 400; ++step) {
      std::size_t n = world.pick(6);
      std::size_t action = world.pick(20);
      bool storeDown = step / 50 % 2 == 1;
      if (action < 4 && !storeDown)
        world.write();
      else if (action < 8 && !storeDown)
        world.followStore(n % 2);
      else if (action < 13)
        world.ask(n, (n + 1 + world.pick(5)) % 6);
      else if (action < 19)
        world.deliver();
      else if (world.pick(4) == 0) {
        world.restart(n);
        before[n].clear();
        complete[n] = 0;
      }
      for (std::size_t it = 0; it < 6; ++it) {
        const ConfigCopy &copy = world.Nodes[it].Copy;
        world.check(world.Nodes[it]);
        REQUIRE(copy.CompleteRevision >= complete[it]);
        complete[it] = copy.CompleteRevision;
        for (const auto &[key, record] : before[it])
          REQUIRE(copy.Records.at(key).Revision >= record.Revision);
        before[it] = copy.Records;
      }
    }
    world.followStore(0);
    for (int round = 0; round < 200; ++round) {
      world.ask(world.pick(6), world.pick(6));
      world.deliver();
      world.deliver();
    }
    for (const auto &node : world.Nodes) {
      CHECK(node.Copy.CompleteRevision == world.Revision);
      CHECK(digestHash(node.Copy) == digestHash(world.Nodes[0].Copy));
    }
  }
}

} // namespace
} // namespace baobabpin::configsync
