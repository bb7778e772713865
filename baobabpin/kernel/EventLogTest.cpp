#include "baobabpin/kernel/EventLog.h"

#include <doctest/doctest.h>

namespace baobabpin::kernel {
namespace {

std::chrono::system_clock::time_point atOneSecond() {
  return std::chrono::system_clock::time_point(std::chrono::seconds(1));
}

TEST_CASE("the event log orders events by stamp, keeps the newest and quotes "
          "values") {
  EventLog log("node-1", 3, atOneSecond);

  SUBCASE("an event after a received message has a greater stamp than it") {
    // Otherwise an event of a sender whose wall clock is ahead would sort after
    // the events that it caused.
    log.observe({5'000'000, 2});
    CHECK(log.record("received") > EventStamp{5'000'000, 2});
  }
  SUBCASE("only the newest events are kept, and reading starts after a stamp") {
    for (int n = 0; n < 5; ++n)
      log.record("e" + std::to_string(n));
    auto events = log.eventsSince({}, 10);
    REQUIRE(events.size() == 3);
    CHECK(events.front().Name == "e2");
    CHECK(log.eventsSince(events[1].Stamp, 10).size() == 1);
  }
  SUBCASE("a value with spaces and quotes is quoted as one field") {
    LoggedEvent event{{1, 0}, "x", {{"why", "a b\"c"}, {"n", "1"}}};
    CHECK(formatEvent("p", event) ==
          "ts=1.0 process=p event=x why=\"a b\\\"c\" n=1");
  }
}

} // namespace
} // namespace baobabpin::kernel
