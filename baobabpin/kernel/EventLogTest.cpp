#include "baobabpin/kernel/EventLog.h"

#include <doctest/doctest.h>

namespace baobabpin::kernel {
namespace {

std::chrono::system_clock::time_point atOneSecond() {
  return std::chrono::system_clock::time_point(std::chrono::seconds(1));
}

TEST_CASE("events of several processes are ordered by cause") {
  EventLog log("node-1", 3, atOneSecond);

  SUBCASE("a received message orders later events after it") {
    // A sender whose wall clock runs ahead must not appear after its effect.
    log.observe({5'000'000, 2});
    CHECK(log.record("received") > EventStamp{5'000'000, 2});
  }
  SUBCASE("the ring keeps the newest events and is read by cursor") {
    for (int n = 0; n < 5; ++n)
      log.record("e" + std::to_string(n));
    auto events = log.eventsSince({}, 10);
    REQUIRE(events.size() == 3);
    CHECK(events.front().Name == "e2");
    CHECK(log.eventsSince(events[1].Stamp, 10).size() == 1);
  }
  SUBCASE("values with spaces stay one field") {
    LoggedEvent event{{1, 0}, "x", {{"why", "a b\"c"}, {"n", "1"}}};
    CHECK(formatEvent("p", event) ==
          "ts=1.0 process=p event=x why=\"a b\\\"c\" n=1");
  }
}

} // namespace
} // namespace baobabpin::kernel
