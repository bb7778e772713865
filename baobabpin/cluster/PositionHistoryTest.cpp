#include "baobabpin/cluster/PositionHistory.h"

#include <doctest/doctest.h>

namespace baobabpin::cluster {
namespace {

using namespace std::chrono_literals;

constexpr base::BootTime Start{1000s};

TEST_CASE("the position that a read needs") {
  PositionHistory history;
  recordSample(history, 1, Start, {1, 10});
  recordSample(history, 1, Start + 200ms, {1, 20});
  recordSample(history, 1, Start + 400ms, {1, 30});

  SUBCASE("is the oldest one that proves enough, for lagging replicas") {
    // Replicas that apply 100 times as late still serve reads that may be old.
    CHECK(requiredPosition(history, {Start + 100ms}) ==
          base::LogPosition{1, 20});
    CHECK(requiredPosition(history, {Start - 1s}) == base::LogPosition{1, 10});
  }
  SUBCASE("is unknown when every sample is too old") {
    CHECK_FALSE(requiredPosition(history, {Start + 401ms}).has_value());
  }
  SUBCASE("includes the session's own commit") {
    FreshnessRequirement need{Start, base::LogPosition{1, 25}, 1};
    CHECK(requiredPosition(history, need) == base::LogPosition{1, 25});
  }
  SUBCASE("leaves out a commit of an earlier epoch") {
    // Its position may have been rolled back and would never be reached.
    recordSample(history, 2, Start + 600ms, {1, 22});
    FreshnessRequirement need{Start + 500ms, base::LogPosition{1, 30}, 1};
    CHECK(requiredPosition(history, need) == base::LogPosition{1, 22});
    CHECK(history.Samples.size() == 1);
  }
}

TEST_CASE("samples that prove nothing new") {
  PositionHistory history;
  recordSample(history, 2, Start, {1, 10});
  recordSample(history, 2, Start - 50ms, {1, 9});
  recordSample(history, 1, Start + 50ms, {1, 11});
  CHECK(history.Samples.size() == 1);
  SUBCASE("the same position later covers more") {
    recordSample(history, 2, Start + 100ms, {1, 10});
    CHECK(history.Samples.size() == 1);
    CHECK(requiredPosition(history, {Start + 100ms}) ==
          base::LogPosition{1, 10});
  }
  SUBCASE("old samples are dropped") {
    recordSample(history, 2, Start + SampleRetention + 1s, {1, 12});
    CHECK(history.Samples.size() == 1);
  }
}

} // namespace
} // namespace baobabpin::cluster
