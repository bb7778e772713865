#include "baobabpin/cluster/CommitHolders.h"

#include <doctest/doctest.h>

#include <string>

namespace baobabpin::cluster {
namespace {

ServerRegistration makeServer(const std::string &id, std::int64_t startedMs) {
  return {.Id = id,
          .Group = "g",
          .Address = {"10.0.0.1", 70},
          .Zone = "a",
          .StartedMs = startedMs};
}

ServerMap makeServers(const std::vector<ServerRegistration> &list) {
  ServerMap servers;
  for (const auto &it : list)
    servers[it.Id] = it;
  return servers;
}

std::vector<std::string> idsOf(const std::vector<ServerRun> &runs) {
  std::vector<std::string> ids;
  for (const auto &it : runs)
    ids.push_back(it.Id);
  return ids;
}

using Ids = std::vector<std::string>;

TEST_CASE("runs of servers that may have held the only copy of a commit") {
  // Guards against the loss of acknowledged commits: a node that started after
  // a replica had gone did not know that there was one (review case 6).
  const auto s1 = makeServer("s1", 5);
  const auto s2 = makeServer("s2", 5);
  const auto both = makeServers({s1, s2});
  GroupRecord record{.Primary = "s1", .PrimaryStartedMs = 5};
  record.Holders = addPresentRuns({}, both, "g");
  CHECK(idsOf(*record.Holders) == Ids{"s1", "s2"});
  auto unheard = [&](const ServerMap &servers,
                     const std::set<base::ServerId> &heard = {}) {
    return idsOf(unheardRuns(record, servers, "g", heard));
  };

  SUBCASE("a server without a registration is missed") {
    CHECK(lostRuns(*record.Holders, both, "g").empty());
    auto rest = makeServers({s1});
    CHECK(idsOf(lostRuns(*record.Holders, rest, "g")) == Ids{"s2"});
    CHECK(unheard(rest, {"s1"}) == Ids{"s2"});
    CHECK(unheard(rest, {"s1", "s2"}) == Ids{"s2"});
    // It stays in the list however long it is gone.
    CHECK(addPresentRuns(*record.Holders, rest, "g") == *record.Holders);
  }
  SUBCASE("unless it is the primary itself") {
    CHECK(unheard(makeServers({s2}), {"s2"}).empty());
  }
  SUBCASE("a present server is missed only until it is heard") {
    CHECK(unheard(both) == Ids{"s2"});
    CHECK(unheard(both, {"s2"}).empty());
    auto joined = both;
    joined["s3"] = makeServer("s3", 6);
    CHECK(unheard(joined, {"s2"}) == Ids{"s3"});
  }
  SUBCASE("a server of another group is not") {
    auto servers = both;
    servers["t1"] = makeServer("t1", 5);
    servers["t1"].Group = "h";
    CHECK(unheard(servers, {"s2"}).empty());
    CHECK(idsOf(presentRuns(servers, "h")) == Ids{"t1"});
  }
  SUBCASE("a later run under the same Id does not have the commits") {
    auto servers = makeServers({s1, makeServer("s2", 8)});
    auto holders = addPresentRuns(*record.Holders, servers, "g");
    CHECK(idsOf(holders) == Ids{"s1", "s2", "s2"});
    auto lost = lostRuns(holders, servers, "g");
    REQUIRE(lost.size() == 1);
    CHECK(lost.front().StartedMs == 5);
    CHECK(unheard(servers, {"s2"}) == Ids{"s2"});
  }
  SUBCASE("a later run of the primary is a replica") {
    auto servers = makeServers({makeServer("s1", 8), s2});
    CHECK(unheard(servers, {"s2"}) == Ids{"s1"});
    CHECK(unheard(servers, {"s1", "s2"}).empty());
  }
  SUBCASE("a drained server passes its log on to the one at its address") {
    auto draining = s2;
    draining.Address.Port = 71;
    draining.Draining = true;
    record.Holders =
        addPresentRuns(*record.Holders, makeServers({s1, draining}), "g");
    CHECK(unheard(makeServers({s1}), {"s1"}) == Ids{"s2"});
    auto heir = makeServer("s3", 9);
    heir.Address.Port = 71;
    auto servers = makeServers({s1, heir});
    CHECK(lostRuns(*record.Holders, servers, "g").empty());
    CHECK(unheard(servers, {"s1", "s3"}).empty());
    CHECK(unheard(servers, {"s1"}) == Ids{"s3"});
    CHECK(idsOf(addPresentRuns(*record.Holders, servers, "g")) ==
          Ids{"s1", "s3"});
    // A server that did not drain has passed nothing on.
    record.Holders->back().Draining = false;
    CHECK(unheard(servers, {"s1", "s3"}) == Ids{"s2"});
  }
}

TEST_CASE("a run without a registration") {
  RunEvidence evidence;
  base::BootTime now{std::chrono::seconds(100)};
  noteSign(evidence, RunSign::Absent, now);
  CHECK_FALSE(hasEnded(evidence, now));

  SUBCASE("has ended when its address has refused twice in a row") {
    noteSign(evidence, RunSign::Absent, now);
    CHECK(hasEnded(evidence, now));
  }
  SUBCASE("has not ended while it replies now and then") {
    noteSign(evidence, RunSign::Alive, now);
    noteSign(evidence, RunSign::Absent, now + NoSignLimit);
    CHECK_FALSE(hasEnded(evidence, now + NoSignLimit));
  }
  SUBCASE("counts as ended after a long time without any sign") {
    noteSign(evidence, RunSign::None, now);
    noteSign(evidence, RunSign::Absent, now);
    CHECK_FALSE(hasEnded(evidence, now + NoSignLimit / 2));
    CHECK(hasEnded(evidence, now + NoSignLimit));
  }
}

TEST_CASE("holders that two records of the same epoch name are merged") {
  GroupRecord record;
  GroupRecord other;
  mergeHolders(record, other);
  CHECK_FALSE(record.Holders);
  other.Holders = {{"s2", 5, {"10.0.0.1", 70}, true}};
  mergeHolders(record, other);
  CHECK(record.Holders == other.Holders);
  other.Holders = {{"s1", 5, {"10.0.0.1", 71}, false},
                   {"s2", 5, {"10.0.0.1", 70}, false}};
  mergeHolders(record, other);
  CHECK(idsOf(*record.Holders) == Ids{"s1", "s2"});
  // A run that drains never serves again.
  CHECK(record.Holders->back().Draining);
  other.Holders.reset();
  mergeHolders(record, other);
  CHECK(record.Holders);
}

} // namespace
} // namespace baobabpin::cluster
