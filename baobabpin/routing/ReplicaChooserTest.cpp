#include "baobabpin/routing/ReplicaChooser.h"

#include <doctest/doctest.h>

#include <array>
#include <vector>

namespace baobabpin::routing {
namespace {

TEST_CASE("every chooser prefers the idle replica and stays in range") {
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

TEST_CASE("equal replicas share the reads") {
  RandomSource random(7);
  std::vector<ReplicaLoad> loads(2);
  std::array<int, 2> chosen{};
  for (int n = 0; n < 2000; ++n)
    ++chosen.at(chooseLeastPending(loads, random));
  CHECK(chosen[0] > 800);
  CHECK(chosen[1] > 800);
}

TEST_CASE("a replica in slow start is not flooded") {
  // An idle returned server would otherwise attract every read at once.
  RandomSource random(7);
  std::vector<ReplicaLoad> loads{{1, 1}, {0, 0.1}};
  CHECK(chooseLeastPending(loads, random) == 0);
}

} // namespace
} // namespace baobabpin::routing
