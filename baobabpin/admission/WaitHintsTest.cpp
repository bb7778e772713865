#include "baobabpin/admission/WaitHints.h"

#include <doctest/doctest.h>

namespace baobabpin::admission {
namespace {

using namespace std::chrono_literals;

constexpr base::BootTime Start{1000s};

TEST_CASE("a reported wait loses half of its weight in 100 ms") {
  // Guards against a node that goes on refusing when the overload is over.
  WaitHints hints;
  CHECK(rememberedWait(hints, 0, Start) == 0ns);
  recordWait(hints, 1, 800ms, Start);
  CHECK(rememberedWait(hints, 1, Start) == 800ms);
  CHECK(rememberedWait(hints, 1, Start + 100ms) == 400ms);
  CHECK(rememberedWait(hints, 1, Start + 300ms) == 100ms);
  CHECK(rememberedWait(hints, 1, Start + 1h) == 0ns);
}

TEST_CASE("higher priorities see a shorter wait than lower ones") {
  WaitHints hints;
  recordWait(hints, 1, 400ms, Start);
  CHECK(rememberedWait(hints, 0, Start) == 0ns);
  CHECK(rememberedWait(hints, 1, Start) == 400ms);
  CHECK(rememberedWait(hints, 2, Start) == 400ms);
  recordWait(hints, 2, 100ms, Start);
  CHECK(rememberedWait(hints, 2, Start) == 400ms);
  recordWait(hints, 2, 900ms, Start);
  CHECK(rememberedWait(hints, 1, Start) == 400ms);
  CHECK(rememberedWait(hints, 2, Start) == 900ms);
}

TEST_CASE("hopeless and late work is refused where the owner would refuse it") {
  CHECK_FALSE(willBeRefused(0ns, {0, -1ms, -1ms}));
  CHECK(willBeRefused(600ms, {0, 1000ms, {}}));
  CHECK_FALSE(willBeRefused(400ms, {0, 1000ms, {}}));
  CHECK(willBeRefused(400ms, {0, 1000ms, 250ms}));
  CHECK_FALSE(willBeRefused(200ms, {0, 1000ms, 250ms}));
  // Guards against a report that is never forgotten.
  CHECK_FALSE(willBeRefused(20ms, {0, 1000ms, -50ms}));
}

} // namespace
} // namespace baobabpin::admission
