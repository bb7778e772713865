#include "baobabpin/cluster/PositionHistory.h"

#include <doctest/doctest.h>

namespace baobabpin::cluster {
namespace {

using namespace std::chrono_literals;

constexpr base::BootTime Start{1000s};

TEST_CASE("requiredPosition() computes the position that a read needs") {
  PositionHistory history;
  recordSample(history, 1, Start, {1, 10});
  recordSample(history, 1, Start + 200ms, {1, 20});
  recordSample(history, 1, Start + 400ms, {1, 30});

  SUBCASE("it is the oldest sufficient one, for the sake of lagging replicas") {
    // Replicas that apply commits with 100 times the usual delay can still
    // serve reads that allow staleness.
    CHECK(requiredPosition(history, {Start + 100ms}, {}) ==
          base::LogPosition{1, 20});
    CHECK(requiredPosition(history, {Start - 1s}, {}) ==
          base::LogPosition{1, 10});
  }
  SUBCASE("it is unknown when every sample is too old") {
    CHECK_FALSE(requiredPosition(history, {Start + 401ms}, {}).has_value());
  }
  SUBCASE("it includes the session's own commit") {
    FreshnessRequirement need{Start, base::LogPosition{1, 25}};
    CHECK(requiredPosition(history, need, {}) == base::LogPosition{1, 25});
  }
  SUBCASE("it does not include a commit that a promotion discarded") {
    // The position of that commit was rolled back; no server may ever reach it.
    recordSample(history, 2, Start + 600ms, {1, 22});
    FreshnessRequirement need{Start + 500ms, base::LogPosition{1, 30}};
    CHECK(requiredPosition(history, need, {{2, {1, 22}}}) ==
          base::LogPosition{1, 22});
    CHECK(history.Samples.size() == 1);
  }
  SUBCASE("it includes a commit of an earlier epoch whose log goes on") {
    // Guards against reads without commits of their own session (STALE): after
    // the store was restored, the same primary gets a higher epoch while nodes
    // still acknowledge commits in the earlier one (review case 9).
    recordSample(history, 2, Start + 600ms, {1, 22});
    FreshnessRequirement need{Start + 500ms, base::LogPosition{1, 30}};
    CHECK(requiredPosition(history, need, {}) == base::LogPosition{1, 30});
    CHECK(requiredPosition(history, need, {{0, {}}, {1, {0, 0}}}) ==
          base::LogPosition{1, 30});
  }
}

TEST_CASE("a promotion discards what its server had not received") {
  std::vector<TermStart> terms{{0, {}}, {2, {1, 22}}, {4, {2, 40}}};
  CHECK_FALSE(isDiscarded({1, 22}, terms));
  CHECK(isDiscarded({1, 23}, terms));
  CHECK_FALSE(isDiscarded({2, 40}, terms));
  CHECK(isDiscarded({2, 41}, terms));
  // Term 4 began without any entry of term 3.
  CHECK(isDiscarded({3, 41}, terms));
  CHECK_FALSE(isDiscarded({4, 99}, terms));
  CHECK_FALSE(isDiscarded({1, 99}, {{2, {}}}));
}

TEST_CASE("samples that add no information are not stored") {
  PositionHistory history;
  recordSample(history, 2, Start, {1, 10});
  recordSample(history, 2, Start - 50ms, {1, 9});
  recordSample(history, 1, Start + 50ms, {1, 11});
  CHECK(history.Samples.size() == 1);
  SUBCASE("the same position in a later sample covers later commits") {
    recordSample(history, 2, Start + 100ms, {1, 10});
    CHECK(history.Samples.size() == 1);
    CHECK(requiredPosition(history, {Start + 100ms}, {}) ==
          base::LogPosition{1, 10});
  }
  SUBCASE("samples older than the retention are removed") {
    recordSample(history, 2, Start + SampleRetention + 1s, {1, 12});
    CHECK(history.Samples.size() == 1);
  }
}

} // namespace
} // namespace baobabpin::cluster
