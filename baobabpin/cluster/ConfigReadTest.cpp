#include "baobabpin/cluster/ConfigRead.h"

#include <doctest/doctest.h>

namespace baobabpin::cluster {
namespace {

using namespace std::chrono_literals;

TEST_CASE("the configuration is read from the store by few nodes at a time") {
  ConfigReadState state{.Known = true, .Age = 800ms, .Uptime = 60s};

  SUBCASE("only the reader asks while all is well") {
    CHECK_FALSE(isConfigReadDue(state));
    state.FirstOfZone = true;
    CHECK_FALSE(isConfigReadDue(state));
    state.ReadsStore = true;
    CHECK(isConfigReadDue(state));
  }
  SUBCASE("the zone of the reader and of its successors is cut off") {
    // The next monitors by capacity may all be in that zone, so each zone has
    // one node that does not wait for them.
    state.Age = 1400ms;
    CHECK_FALSE(isConfigReadDue(state));
    state.FirstOfZone = true;
    CHECK(isConfigReadDue(state));
  }
  SUBCASE("all nodes ask when their zone's first monitor does not help") {
    state.Age = 2300ms;
    CHECK(isConfigReadDue(state));
  }
  SUBCASE("a transfer that makes progress replaces the read") {
    state.Age = 10s;
    state.Fetching = true;
    CHECK_FALSE(isConfigReadDue(state));
  }
}

TEST_CASE("a node that starts gets the configuration from its peers") {
  ConfigReadState state{.Uptime = 100ms};
  SUBCASE("a monitor reads the store at once") {
    CHECK(isConfigReadDue(state));
  }
  SUBCASE("a leaf of a large fleet waits for a peer first") {
    state.IsLeaf = true;
    CHECK_FALSE(isConfigReadDue(state));
    state.Uptime = 300ms;
    CHECK(isConfigReadDue(state));
  }
}

} // namespace
} // namespace baobabpin::cluster
