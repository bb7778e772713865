#include "baobabpin/soak/Soak.h"

#include <doctest/doctest.h>

namespace baobabpin::soak {
namespace {

TEST_CASE("the invariants hold in runs with all faults") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    auto result = runSoak({.Seed = seed});
    CHECK(result.Violation == "");
  }
}

TEST_CASE("a seed replays exactly") {
  // Otherwise the trace of a violation would show another run.
  auto first = runSoak({.Seed = 42, .Tracing = true});
  auto second = runSoak({.Seed = 42, .Tracing = true});
  CHECK(first.Messages == second.Messages);
  CHECK(first.Trace == second.Trace);
}

TEST_CASE("no false promotion under lag, short pauses or a store outage") {
  SoakOptions options{.Faults = {"node_pause", "replica_lag", "store_outage"},
                      .MaxFault = ms(500)};
  for (options.Seed = 1; options.Seed <= 100; ++options.Seed) {
    CAPTURE(options.Seed);
    auto result = runSoak(options);
    CHECK(result.Violation == "");
    CHECK(result.Counters.FalsePromotions == 0);
  }
}

} // namespace
} // namespace baobabpin::soak
