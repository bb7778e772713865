#include "standins/faultproxy/Rules.h"

#include <doctest/doctest.h>

namespace standins::faultproxy {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{100s};

TEST_CASE("matching rules add up") {
  std::vector<Rule> rules{
      {.Delay = 1500us},
      {.Link = "a", .Source = "127.0.0.1", .DropsToSource = true},
      {.Link = "a", .Refuses = true}};
  Effect effect = effectFor(rules, "a", "127.0.0.1");
  CHECK(effect.Delay == 1500us);
  CHECK(effect.DropsToSource);
  CHECK_FALSE(effect.DropsToTarget);
  CHECK_FALSE(effectFor(rules, "a", "127.0.0.2").DropsToSource);
  CHECK(refusesAll(rules, "a"));
  CHECK_FALSE(refusesAll(rules, "b"));
}

// Guards against bytes of one connection that overtake each other.
TEST_CASE("a shorter delay does not overtake a longer one") {
  DelayQueue queue;
  push(queue, Start, 30ms, {.Bytes = "first"});
  push(queue, Start + 1ms, 0ms, {.Bytes = "second"});
  CHECK_FALSE(popDue(queue, Start + 29ms));
  CHECK(popDue(queue, Start + 30ms)->Bytes == "first");
  CHECK(popDue(queue, Start + 30ms)->Bytes == "second");
  CHECK(queue.ByteCount == 0);
}

} // namespace
} // namespace standins::faultproxy
