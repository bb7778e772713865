#include "baobabpin/quota/GranterRole.h"

#include <doctest/doctest.h>

#include <chrono>

namespace baobabpin::quota {
namespace {

using namespace std::chrono_literals;

base::BootTime at(std::chrono::nanoseconds time) {
  return base::BootTime(1000s) + time;
}

std::map<std::string, int> fleet(int nodes) {
  std::map<std::string, int> it;
  for (int n = 0; n < nodes; ++n)
    it.emplace("n" + std::to_string(n), n % 10 == 0 ? 500 : 120);
  return it;
}

std::vector<std::string> names(const GranterRanking &ranking,
                               const std::string &organisation) {
  std::vector<std::string> list;
  for (const auto &it : ranking.ranked(organisation))
    list.push_back(it.Node);
  return list;
}

TEST_CASE("a ranking that is kept up to date equals a new one") {
  // Guards against nodes that rank the granters differently because they have
  // learned of the nodes in another order.
  std::vector<base::OrganisationName> organisations;
  for (int n = 0; n < 74; ++n)
    organisations.push_back("org" + std::to_string(n));
  GranterRanking kept;
  auto nodes = fleet(3);
  auto check = [&] {
    kept.update(organisations, nodes);
    GranterRanking fresh;
    fresh.update(organisations, nodes);
    for (const auto &it : organisations)
      REQUIRE(names(kept, it) == names(fresh, it));
  };
  check();
  nodes.erase("n1");
  nodes.erase("n2");
  check();
  nodes = fleet(64);
  check();
  nodes.erase("n10");
  nodes["n11"] = 5000;
  check();
  nodes["n0"] = 1;
  nodes.emplace("n99", 120);
  check();
  organisations.erase(organisations.begin());
  organisations.push_back("new");
  check();
}

TEST_CASE("organisations are spread over the nodes by capacity") {
  std::vector<base::OrganisationName> organisations;
  for (int n = 0; n < 5000; ++n)
    organisations.push_back("org" + std::to_string(n));
  GranterRanking ranking;
  ranking.update(organisations, fleet(64));
  int large = 0;
  for (const auto &it : organisations)
    large += names(ranking, it).front().back() == '0' ? 1 : 0;
  // 7 of the 64 nodes have 500 of a thousandth of a core, the others 120.
  double share = 7 * 500.0 / (7 * 500 + 57 * 120);
  CHECK(large / 5000.0 == doctest::Approx(share).epsilon(0.1));
}

TEST_CASE("a node grants after it has been a granter for long enough") {
  GranterRole role;
  RoleSample sample{true, 1, 100, at(0s)};
  std::chrono::milliseconds now{0};
  // Samples the role until the given time, with a confirmed list.
  auto runUntil = [&](std::chrono::milliseconds to) {
    for (; now < to; now += 50ms) {
      sample.ConfirmedAt = at(now);
      updateRole(role, sample, at(now));
    }
    return isGranting(role, sample.ConfirmedAt, at(to - 50ms));
  };
  CHECK_FALSE(runUntil(GranterDelay));
  CHECK(runUntil(GranterDelay + 100ms));
  auto last = sample.ConfirmedAt;
  SUBCASE("it stops when the store has not confirmed the list") {
    CHECK(isGranting(role, last, last + GranterLease));
    CHECK_FALSE(isGranting(role, last, last + GranterLease + 1ms));
  }
  SUBCASE("it goes on after an outage in which no other can have begun") {
    // Guards against organisations that are refused for GranterDelay after each
    // outage of the store.
    now += GranterDelay - 200ms;
    CHECK(runUntil(now + 50ms));
  }
  SUBCASE("it begins anew after a longer outage, or a suspension") {
    now += GranterDelay + 200ms;
    auto back = now;
    CHECK_FALSE(runUntil(back + GranterDelay));
    CHECK(runUntil(back + GranterDelay + 100ms));
  }
  SUBCASE("it begins anew when it was not a granter for a moment") {
    sample.Eligible = false;
    CHECK_FALSE(runUntil(now + 50ms));
    sample.Eligible = true;
    auto back = now;
    CHECK_FALSE(runUntil(back + GranterDelay));
    CHECK(runUntil(back + GranterDelay + 100ms));
  }
  SUBCASE("a restored store that lacks the node ends its role") {
    sample.Eligible = false;
    CHECK_FALSE(runUntil(now + 100ms));
    sample.Eligible = true;
    CHECK_FALSE(runUntil(now + GranterDelay));
  }
}

TEST_CASE("a run begins as soon as no earlier granter can be left") {
  GranterRole role;
  RoleSample sample{true, 2, 100, at(0s)};
  SUBCASE("a node that restarts has kept its place on the list") {
    // Guards against a fleet that refuses all organisations with a limit after
    // a power loss of all hosts.
    sample.Start = RunStart::Resumed;
    updateRole(role, sample, at(0s));
    CHECK(isGranting(role, at(0s), at(0s)));
  }
  SUBCASE("a fleet that starts for the first time waits for its list") {
    sample.Start = RunStart::FirstStart;
    for (auto time = 0ms; time < FirstStartDelay; time += 50ms) {
      CHECK_FALSE(isGranting(role, sample.ConfirmedAt, at(time)));
      sample.ConfirmedAt = at(time);
      updateRole(role, sample, at(time));
    }
    CHECK(isGranting(role, sample.ConfirmedAt, at(FirstStartDelay)));
  }
}

} // namespace
} // namespace baobabpin::quota
