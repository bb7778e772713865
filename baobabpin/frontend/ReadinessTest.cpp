#include "baobabpin/frontend/Readiness.h"

#include <doctest/doctest.h>

namespace baobabpin::frontend {
namespace {

using namespace std::chrono_literals;

TEST_CASE("a node that can serve its clients is ready") {
  ReadinessState state{
      .Configured = true, .Registered = true, .ViewAge = 500ms, .Groups = 8};
  CHECK(isReady(state));
  SUBCASE("not without a configuration, and not while it drains") {
    state.Configured = false;
    CHECK_FALSE(isReady(state));
    state.Configured = true;
    state.Draining = true;
    CHECK_FALSE(isReady(state));
  }
  SUBCASE("not without a registration") {
    // Guards against clients that are sent to a node which may use no primary.
    state.Registered = false;
    CHECK_FALSE(isReady(state));
  }
  SUBCASE("not with an old view, which is normal in a large fleet") {
    state.ViewAge = 1s;
    CHECK_FALSE(isReady(state));
    state.LargeFleet = true;
    CHECK(isReady(state));
  }
  SUBCASE("not while most groups are out of reach") {
    // Guards against clients of a cut-off zone that are refused until the
    // node's view is old.
    state.UnreachableGroups = 5;
    state.UnreachableFor = 250ms;
    CHECK_FALSE(isReady(state));
    SUBCASE("but owners that restart do not count") {
      state.UnreachableFor = 100ms;
      CHECK(isReady(state));
    }
    SUBCASE("but half of the groups can still be served") {
      state.UnreachableGroups = 4;
      CHECK(isReady(state));
    }
  }
}

} // namespace
} // namespace baobabpin::frontend
