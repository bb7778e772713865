#include "baobabpin/kernel/EventLog.h"
#include "baobabpin/kernel/LineLog.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <algorithm>
#include <string>

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
  SUBCASE("control characters of a value are replaced") {
    LoggedEvent event{{1, 0}, "x", {{"id", std::string("a\0b\r\n\x7f", 6)}}};
    CHECK(formatEvent("p", event) == "ts=1.0 process=p event=x id=\"a b   \"");
  }
}

TEST_CASE("a line of the log has no control characters but its end") {
  // Guards against a log that tools take for a binary file, because a key of
  // the store contained a NUL byte.
  EventLoop loop;
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  {
    LineLog log(loop, "n1", ends[1]);
    log.line("x").add("id", std::string("a\0b\x1b\r\n", 6));
    log.line("y").add("id", std::string("\0", 1));
  }
  close(ends[1]);
  char buf[512];
  ssize_t n = read(ends[0], buf, sizeof buf);
  close(ends[0]);
  REQUIRE(n > 0);
  std::string text(buf, static_cast<std::size_t>(n));
  CHECK(std::ranges::count(text, '\n') == 2);
  CHECK(std::ranges::none_of(text, [](unsigned char c) {
    return (c < ' ' && c != '\n') || c == 0x7f;
  }));
}

} // namespace
} // namespace baobabpin::kernel
