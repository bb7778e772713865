#include "baobabpin/kernel/EventLoop.h"
#include "baobabpin/kernel/Guard.h"

#include <doctest/doctest.h>

#include <stdexcept>
#include <thread>

namespace baobabpin::kernel {
namespace {

using namespace std::chrono_literals;

TEST_CASE("timers and posted callbacks run on the event loop") {
  EventLoop loop;

  SUBCASE("timers run in the order of their deadlines") {
    std::string order;
    Timer late = loop.runAfter(20ms, [&] {
      order += "b";
      loop.stop();
    });
    Timer early = loop.runAfter(1ms, [&] { order += "a"; });
    loop.run();
    CHECK(order == "ab");
  }
  SUBCASE("a callback that throws does not end the loop") {
    auto errors = unexpectedErrorCount();
    Timer failing =
        loop.runAfter(1ms, [] { throw std::runtime_error("timer"); });
    loop.post([] { throw std::runtime_error("posted"); });
    bool reached = false;
    loop.postAfter(10ms, [&] {
      reached = true;
      loop.stop();
    });
    loop.run();
    CHECK(reached);
    CHECK(unexpectedErrorCount() == errors + 2);
  }
  SUBCASE("a cancelled timer never runs") {
    int n = 0;
    Timer cancelled = loop.runAfter(1ms, [&] { ++n; });
    cancelled.cancel();
    Timer end = loop.runAfter(10ms, [&] { loop.stop(); });
    loop.run();
    CHECK(n == 0);
  }
  SUBCASE("a callback may cancel its own timer") {
    int n = 0;
    Timer repeating;
    repeating = loop.runEvery(1ms, [&] {
      if (++n == 3) {
        repeating.cancel();
        loop.post([&] { loop.stop(); });
      }
    });
    loop.run();
    CHECK(n == 3);
  }
  SUBCASE("a callback posted by another thread runs on the loop's thread") {
    std::thread::id ranOn;
    std::thread other([&] {
      loop.post([&] {
        ranOn = std::this_thread::get_id();
        loop.stop();
      });
    });
    loop.run();
    other.join();
    CHECK(ranOn == std::this_thread::get_id());
  }
}

} // namespace
} // namespace baobabpin::kernel
