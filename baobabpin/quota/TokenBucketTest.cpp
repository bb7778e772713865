#include "baobabpin/quota/TokenBucket.h"

#include <doctest/doctest.h>

#include <chrono>
#include <deque>
#include <random>
#include <utility>

namespace baobabpin::quota {
namespace {

using namespace std::chrono_literals;

const Tolerance Usual{5s, 0.1, 20};

base::BootTime at(std::chrono::nanoseconds time) {
  return base::BootTime(1000s) + time;
}

TEST_CASE("both shares and the tolerance of clocks fit into the bound") {
  // The arithmetic at the top of TokenBucket.h.
  for (double rate : {0.5, 1.0, 10.0, 100.0, 5000.0}) {
    for (double burst : {0.0, 1.0, 7.0, 200.0}) {
      CAPTURE(rate);
      CAPTURE(burst);
      auto share = shareOf({rate, burst}, Usual);
      double seconds =
          5 + std::chrono::duration<double>(share.UnspentTime).count();
      double most =
          2 * (share.Capacity + share.Rate * seconds * (1 + ClockTolerance)) +
          Usual.Slack / 2;
      CHECK(most <= (rate * 5 + burst) * 1.1 + 20);
      CHECK(share.Rate * 2 == doctest::Approx(rate));
    }
  }
}

TEST_CASE("without an overage the rate is reduced instead") {
  auto share = shareOf({100, 10}, {5s, 0, 20});
  CHECK(share.Rate * 2 < 100);
  CHECK(share.Rate * 2 > 85);
}

TEST_CASE("a bucket begins empty, fills at its rate and holds its capacity") {
  auto share = shareOf({100, 20}, Usual);
  auto bucket = emptyBucket(share, at(0s));
  CHECK(grant(bucket, share, 5, at(0s)) == 0);
  CHECK(grant(bucket, share, 100, at(100ms)) == 5);
  CHECK(grant(bucket, share, 100, at(10s)) == static_cast<int>(share.Capacity));
  CHECK(grant(bucket, share, 100, at(10s)) == 0);
}

TEST_CASE("a lower limit cuts a full bucket at once") {
  auto high = shareOf({100, 200}, Usual);
  auto bucket = emptyBucket(high, at(0s));
  refill(bucket, high, at(60s));
  auto low = shareOf({10, 4}, Usual);
  CHECK(grant(bucket, low, 1000, at(60s)) == 2);
}

TEST_CASE("a higher limit fills the bucket faster at once") {
  auto low = shareOf({10, 4}, Usual);
  auto high = shareOf({1000, 100}, Usual);
  auto bucket = emptyBucket(low, at(0s));
  grant(bucket, low, 100, at(1s));
  refill(bucket, high, at(1s));
  CHECK(grant(bucket, high, 100, at(1s + 100ms)) >= 49);
}

TEST_CASE("callers that are refused at once are told different times") {
  auto share = shareOf({20, 0}, Usual);
  auto bucket = emptyBucket(share, at(0s));
  auto first = retryDelay(bucket, share, at(0s));
  auto second = retryDelay(bucket, share, at(0s));
  CHECK(first == 100ms);
  CHECK(second == 200ms);
  for (int n = 0; n < 100; ++n)
    CHECK(retryDelay(bucket, share, at(0s)) <= 1s);
}

TEST_CASE("tokens that are given back cannot be used to exceed the bound") {
  // Guards against callers that exchange old tokens for new ones, so that they
  // collect more unspent tokens than the bound allows for.
  std::minstd_rand random(20261206);
  auto share = shareOf({50, 10}, Usual);
  auto bucket = emptyBucket(share, at(0s));
  auto validity = tokenValidity(Usual);
  std::deque<std::pair<base::BootTime, int>> held;
  double limit =
      share.Capacity +
      share.Rate * std::chrono::duration<double>(share.UnspentTime).count();
  for (int step = 0; step < 100'000; ++step) {
    auto now = at(step * 3ms);
    while (!held.empty() && held.front().first <= now)
      held.pop_front();
    if (random() % 2 == 0 && !held.empty()) {
      giveBack(bucket, share, held.front().second, now);
      held.pop_front();
    }
    if (int tokens =
            grant(bucket, share, 1 + static_cast<int>(random() % 9), now))
      held.emplace_back(now + validity, tokens);
    int unspent = 0;
    for (const auto &[until, tokens] : held)
      unspent += tokens;
    REQUIRE(bucket.Level + unspent <= limit + 1e-6);
  }
}

TEST_CASE("a decision takes well under a microsecond") {
  auto share = shareOf({1e6, 1e6}, Usual);
  auto bucket = emptyBucket(share, at(0s));
  constexpr int Decisions = 1'000'000;
  int granted = 0;
  auto start = std::chrono::steady_clock::now();
  for (int n = 0; n < Decisions; ++n)
    granted += grant(bucket, share, 1, at(n * 10us));
  auto each = (std::chrono::steady_clock::now() - start) / Decisions;
  MESSAGE("a grant takes " << each.count() << " ns");
  CHECK(granted > 0);
  CHECK(each < 1us);
}

} // namespace
} // namespace baobabpin::quota
