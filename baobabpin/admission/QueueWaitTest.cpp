#include "baobabpin/admission/QueueWait.h"

#include <doctest/doctest.h>

#include <deque>

namespace baobabpin::admission {
namespace {

using namespace std::chrono_literals;

constexpr base::BootTime Start{1000s};

TEST_CASE("the expected wait follows from the grants of a queue") {
  GrantRate rate;
  CHECK(expectedWait(rate, 5) == 0ns);
  SUBCASE("grants while requests wait are counted") {
    recordGrant(rate, Start, true);
    recordGrant(rate, Start + 10ms, true);
    CHECK(expectedWait(rate, 0) == 10ms);
    CHECK(expectedWait(rate, 4) == 50ms);
  }
  SUBCASE("the time during which the queue was empty is not counted") {
    recordGrant(rate, Start, false);
    recordGrant(rate, Start + 5s, true);
    CHECK(expectedWait(rate, 3) == 0ns);
  }
}

TEST_CASE("a request is refused when its wait exceeds half of the time left") {
  CHECK_FALSE(shouldRefuse(0ms, 0ms));
  CHECK_FALSE(shouldRefuse(400ms, 800ms));
  CHECK(shouldRefuse(401ms, 800ms));
}

TEST_CASE("late work is refused only while other late work waits") {
  CHECK_FALSE(shouldRefuseLate(300ms, 200ms, false));
  CHECK(shouldRefuseLate(300ms, 200ms, true));
  CHECK_FALSE(shouldRefuseLate(100ms, 200ms, true));
}

/// The number of requests of a replayed load by result: served within
/// Objective, served within TimeLimit, served after their clients gave up, and
/// refused.
struct Outcome {
  int Prompt = 0;
  int Late = 0;
  int Wasted = 0;
  int Refused = 0;
};

constexpr auto TimeLimit = 800ms;
constexpr auto Objective = 200ms;
/// The average time between two completions at a server with two slots that
/// works on each request for 9 ms.
constexpr auto CompletionInterval = 4500us;

/// Replays a load: requests arrive at \p factor times the server's capacity for
/// five seconds, then at half of its capacity. Each failed request is retried
/// at once, at most twice.
Outcome replay(double factor, bool refusing) {
  struct Request {
    base::BootTime Arrived;
    int Tries;
  };
  std::deque<Request> queue;
  GrantRate rate;
  Outcome outcome;
  auto offer = [&](Request it) {
    for (;;) {
      if (!refusing ||
          !shouldRefuse(expectedWait(rate, queue.size()), TimeLimit)) {
        queue.push_back(it);
        return;
      }
      ++outcome.Refused;
      if (--it.Tries == 0)
        return;
    }
  };
  auto serveNext = [&](base::BootTime now) {
    if (queue.empty())
      return;
    Request it = queue.front();
    queue.pop_front();
    recordGrant(rate, now, !queue.empty());
    auto took = now + CompletionInterval - it.Arrived;
    if (took <= Objective) {
      ++outcome.Prompt;
    } else if (took <= TimeLimit) {
      ++outcome.Late;
    } else {
      ++outcome.Wasted;
      if (it.Tries > 1)
        offer({now, it.Tries - 1});
    }
  };
  double due = 0;
  for (base::BootTime now = Start; now < Start + 10s;
       now += CompletionInterval) {
    due += now < Start + 5s ? factor : 0.5;
    for (; due >= 1; --due)
      offer({now, 3});
    serveNext(now);
  }
  return outcome;
}

TEST_CASE("refusing requests keeps retries from prolonging an overload") {
  // Guards against a queue that stays full after an overload. In the scenario
  // trouble-1 of the deployment bukhan-pin-grown, two lagging replicas caused
  // the work of a group to go to its primary for six seconds, and the group was
  // still not served half a minute later.
  Outcome open = replay(1.5, false);
  Outcome refusing = replay(1.5, true);
  CHECK(refusing.Wasted == 0);
  CHECK(refusing.Prompt + refusing.Late > open.Prompt + open.Late);
  CHECK(refusing.Prompt > open.Prompt);
  SUBCASE("a load within the capacity is never refused") {
    CHECK(replay(0.9, true).Refused == 0);
  }
}

} // namespace
} // namespace baobabpin::admission
