#include "baobabpin/kernel/Lateness.h"

#include <doctest/doctest.h>

namespace baobabpin::kernel {
namespace {

using namespace std::chrono_literals;

constexpr base::BootTime Start{1000s};
constexpr auto Span = 450ms;

/// Ticks from \p from to \p to, each \p late after it was due.
base::BootTime tickUntil(LatenessHistory &history, base::BootTime from,
                         base::BootTime to, std::chrono::milliseconds late) {
  auto now = from;
  for (; now <= to; now += LatenessTickPeriod + late)
    noteTick(history, now);
  return history.LastTick;
}

TEST_CASE("a loop on time counts the whole silence") {
  // Guards against a slower detection of failures: ticks that run a little late
  // are usual.
  LatenessHistory history;
  CHECK(onTimeSilence(history, Start, Start + 700ms) == 700ms);
  auto now = tickUntil(history, Start, Start + 3s, 40ms);
  CHECK(history.Gaps.empty());
  CHECK(onTimeSilence(history, Start, now) == now - Start);
  CHECK_FALSE(isUnsure(history, Start, now, Span));
  CHECK_FALSE(isUnsure(history, Start, now + LatenessTickPeriod, Span));
}

TEST_CASE("silence does not count while the loop is late") {
  // Guards against a node that takes its own lateness for the silence of a
  // primary that runs.
  LatenessHistory history;
  auto stalled = tickUntil(history, Start, Start + 1s, 0ms);
  auto due = stalled + LatenessTickPeriod;
  SUBCASE("before the late tick has run") {
    CHECK(onTimeSilence(history, stalled, due + 600ms) == LatenessTickPeriod);
    CHECK(isUnsure(history, stalled, due + 600ms, Span));
  }
  SUBCASE("after the late tick, until the loop was on time for long enough") {
    noteTick(history, due + 600ms);
    auto now = tickUntil(history, due + 600ms, due + 1s, 0ms);
    CHECK(onTimeSilence(history, stalled, now) ==
          now - (due + 600ms) + LatenessTickPeriod);
    CHECK(isUnsure(history, stalled, now, Span));
    now = tickUntil(history, now, due + 600ms + Span + 50ms, 0ms);
    CHECK_FALSE(isUnsure(history, stalled, now, Span));
  }
  SUBCASE("lateness before the last reply does not matter") {
    noteTick(history, due + 600ms);
    auto reply = due + 610ms;
    CHECK(onTimeSilence(history, reply, reply + 40ms) == 40ms);
    CHECK_FALSE(isUnsure(history, reply, reply + 40ms, Span));
  }
  SUBCASE("a suspended host does not count the suspension, however long") {
    CHECK(onTimeSilence(history, stalled, due + 12s) == LatenessTickPeriod);
    noteTick(history, due + 12s);
    CHECK(onTimeSilence(history, stalled, due + 12s + 30ms) ==
          LatenessTickPeriod + 30ms);
    CHECK(isUnsure(history, stalled, due + 12s + 30ms, Span));
  }
}

TEST_CASE("a loop that is late all the time still notices a silence") {
  // Guards against a fleet that never replaces a failed primary because all of
  // its nodes are late.
  for (auto late : {60ms, 100ms, 300ms, 900ms}) {
    CAPTURE(late.count());
    LatenessHistory history;
    auto limit = Start + MaxDiscount + Span + late;
    auto now = tickUntil(history, Start, limit - 100ms, late);
    CHECK(isUnsure(history, Start, now, Span));
    now =
        tickUntil(history, now, limit + 2 * (LatenessTickPeriod + late), late);
    CHECK(onTimeSilence(history, Start, now) >= Span);
    CHECK_FALSE(isUnsure(history, Start, now, Span));
  }
}

TEST_CASE("the history of a loop that is always late stays bounded") {
  LatenessHistory history;
  tickUntil(history, Start, Start + 600s, 60ms);
  CHECK(static_cast<long>(history.Gaps.size()) <=
        LatenessKept / (LatenessTickPeriod + 60ms) + 2);
}

} // namespace
} // namespace baobabpin::kernel
