#include "baobabpin/routing/ReplicaChooser.h"

#include <doctest/doctest.h>

#include <array>
#include <vector>

namespace baobabpin::routing {
namespace {

TEST_CASE("every strategy prefers the idle replica and returns a valid index") {
  for (const char *name : {"least_pending", "two_choices", "lottery"}) {
    CAPTURE(name);
    ReplicaChooser choose = findChooser(name);
    bool isKnown = choose != nullptr;
    REQUIRE(isKnown);
    RandomSource random(7);
    std::vector<ReplicaLoad> loads{{9, 1}, {0, 1}, {9, 1}};
    std::array<int, 3> chosen{};
    for (int n = 0; n < 3000; ++n)
      ++chosen.at(choose(loads, random));
    CHECK(chosen[1] > chosen[0]);
    CHECK(chosen[1] > chosen[2]);
  }
}

TEST_CASE("replicas with equal load get about equally many reads") {
  RandomSource random(7);
  std::vector<ReplicaLoad> loads(2);
  std::array<int, 2> chosen{};
  for (int n = 0; n < 2000; ++n)
    ++chosen.at(chooseLeastPending(loads, random));
  CHECK(chosen[0] > 800);
  CHECK(chosen[1] > 800);
}

TEST_CASE("an idle replica in slow start does not attract all reads") {
  // Without its low weight, a server that just became reachable again would get
  // every read, because it is idle.
  RandomSource random(7);
  std::vector<ReplicaLoad> loads{{1, 1}, {0, 0.1}};
  CHECK(chooseLeastPending(loads, random) == 0);
}

} // namespace
} // namespace baobabpin::routing
