#include "baobabpin/organisation/Authorization.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace baobabpin::organisation {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds Limit{5000};
const base::BootTime Start = base::BootTime{} + 1h;

std::map<base::OrganisationName, cluster::Organisation> twoOrganisations() {
  return {{"north", {.Name = "north", .AccessKeys = {"n1", "n2"}}},
          {"south", {.Name = "south", .AccessKeys = {"s1"}}}};
}

AuthorizationState confirmedState() {
  return {indexAccessKeys(twoOrganisations(), 1), Start, Limit};
}

Authorization at(const AuthorizationState &state, std::string_view key,
                 base::Duration after) {
  return authorize(state, {}, key, Start + after);
}

TEST_CASE("the key of a client decides for whom its statements run") {
  auto state = confirmedState();
  CHECK(at(state, "n2", 1s) == Authorization{Access::Granted, "north"});
  CHECK(at(state, "x", 1s).Result == Access::Denied);
  CHECK(at(state, "", 1s).Result == Access::Denied);

  SUBCASE("public routes need no key") {
    cluster::Route route;
    route.Public = true;
    CHECK(authorize(state, route, "x", Start + 1s) == Authorization{});
    CHECK(authorize(state, route, "n1", Start + 1h) == Authorization{});
  }
  SUBCASE("a configuration without organisations needs no key") {
    AuthorizationState none{std::nullopt, {}, Limit};
    CHECK(at(none, "anything", 1h) == Authorization{});
  }
  SUBCASE("an empty list of organisations admits nobody") {
    AuthorizationState empty{AccessKeys{}, Start, Limit};
    CHECK(at(empty, "n1", 1s).Result == Access::Denied);
  }
}

TEST_CASE("a node that cannot confirm its configuration refuses keys in time") {
  auto state = confirmedState();
  SUBCASE("not sooner than three fifths of the limit") {
    CHECK(at(state, "n1", 3s).Result == Access::Granted);
  }
  SUBCASE("before the limit ends") {
    CHECK(at(state, "n1", 4990ms).Result == Access::Unconfirmed);
  }
  SUBCASE("a key that may be new is not denied") {
    // Guards against a wrong denial of a key that was added while the store
    // could not be reached.
    CHECK(at(state, "x", 2500ms).Result == Access::Unconfirmed);
  }
  SUBCASE("public routes go on") {
    cluster::Route route;
    route.Public = true;
    CHECK(authorize(state, route, {}, Start + 1h).Result == Access::Granted);
  }
  SUBCASE("without a limit, an old configuration stays in use") {
    state.RevocationLimit = 0ms;
    CHECK(at(state, "n1", 1h).Result == Access::Granted);
  }
  SUBCASE("a node that has just started knows nothing") {
    state.ConfirmedAt = {};
    CHECK(at(state, "n1", 0s).Result == Access::Unconfirmed);
  }
}

/// One node's knowledge of a configuration that it reads from a store, with
/// outages, suspensions and restarts drawn at random.
struct ReadingNode {
  std::minstd_rand &Random;
  AuthorizationState State = confirmedState();
  /// The node does not read, and is not served, until then.
  base::BootTime SilentUntil = Start;

  /// Reads the store at \p now if it is reached. The reply may be late.
  void read(const AccessKeys &stored, base::BootTime now) {
    if (now < SilentUntil)
      return;
    if (Random() % 20 == 0) {
      SilentUntil = now + std::chrono::milliseconds(Random() % 9000);
      return;
    }
    State.Keys = stored;
    State.ConfirmedAt = now;
  }
};

TEST_CASE("no statement sent after the limit runs with a withdrawn key") {
  // Guards against any order of outages and restarts in which a node trusts a
  // key whose withdrawal it could not learn.
  std::minstd_rand random(11);
  for (int order = 0; order < 200; ++order) {
    CAPTURE(order);
    auto organisations = twoOrganisations();
    auto stored = indexAccessKeys(organisations, 1);
    std::vector<ReadingNode> nodes(4, ReadingNode{random});
    base::BootTime withdrawnAt =
        Start + std::chrono::milliseconds(1000 + random() % 8000);
    for (auto now = Start; now < Start + 30s; now += 50ms) {
      if (now >= withdrawnAt && organisations["north"].AccessKeys.size() == 2) {
        organisations["north"].AccessKeys = {"n2"};
        stored = indexAccessKeys(organisations, 1);
        withdrawnAt = now;
      }
      for (auto &node : nodes) {
        if (random() % 14 == 0)
          node.read(stored, now);
        if (random() % 400 == 0) {
          // A restart: nothing is known until the next read.
          node.State.Keys = AccessKeys{};
          node.State.ConfirmedAt = {};
        }
        auto result = authorize(node.State, {}, "n1", now);
        if (now > withdrawnAt + Limit)
          REQUIRE(result.Result != Access::Granted);
        bool recent = now - node.State.ConfirmedAt <= Limit * 6 / 10;
        if (recent)
          REQUIRE(authorize(node.State, {}, "n2", now).Result ==
                  Access::Granted);
      }
    }
  }
}

} // namespace
} // namespace baobabpin::organisation
