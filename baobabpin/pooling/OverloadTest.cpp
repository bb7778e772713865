/// Replays more work than the slots of a server can do with the rules for the
/// order of waiting work.

#include "baobabpin/admission/QueueWait.h"
#include "baobabpin/pooling/OrganisationPolicy.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <list>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace baobabpin::pooling {
namespace {

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

constexpr base::BootTime Start{1000s};
constexpr int Slots = 4;
constexpr nanoseconds Work = 12ms;
constexpr nanoseconds Target = 250ms;
constexpr nanoseconds TimeLimit = 2s;
/// The requests that the slots can do in a second.
constexpr double Capacity = Slots * (1s / 1.0 / Work);

struct Load {
  double Factor = 2;
  nanoseconds Duration = 10s;
  /// The server stands still during this time.
  nanoseconds OutageFrom = 1000s;
  nanoseconds OutageUntil = 1000s;
  /// Late work is served and refused as other work.
  bool IgnoresTargets = false;
};

struct Outcome {
  std::vector<int> Offered = std::vector<int>(3);
  std::vector<int> InTime = std::vector<int>(3);
  std::vector<nanoseconds> RefusedAfter;
  std::map<std::string, int> InTimeByOrganisation;
  /// The requests that were begun, for each tenth of a second.
  std::map<std::int64_t, int> BegunByTenth;
  int inTime() const { return InTime[0] + InTime[1] + InTime[2]; }
};

struct Request {
  base::BootTime Arrived;
  WaitingWork Work;
};

bool isLate(const Request &it, base::BootTime now) {
  return now + Work > it.Arrived + Target;
}

/// One fifth of the capacity is asked for at the highest priority, by the
/// organisation "small"; the rest is asked for by
/// both organisations, three quarters of it by "large".
Outcome replay(const Load &load) {
  std::mt19937_64 random(1206);
  std::exponential_distribution<double> interval(load.Factor * Capacity);
  std::uniform_real_distribution<double> share(0, load.Factor);
  Outcome outcome;
  std::list<Request> queue;
  std::vector<base::BootTime> busyUntil(Slots, Start);
  admission::GrantRate grants;
  FairTurns turns;
  auto inOutage = [&](base::BootTime now) {
    return now >= Start + load.OutageFrom && now < Start + load.OutageUntil;
  };
  auto view = [&](base::BootTime now) {
    std::vector<WaitingWork> waiting;
    for (auto &it : queue) {
      it.Work.Late = !load.IgnoresTargets && isLate(it, now);
      waiting.push_back(it.Work);
    }
    return waiting;
  };
  auto arrive = [&](base::BootTime now) {
    Request it{now, {}};
    double kind = share(random);
    it.Work.Priority = kind < 0.2 ? 0 : 1;
    it.Work.Organisation =
        kind < 0.2 + (load.Factor - 0.2) / 4 ? "small" : "large";
    ++outcome.Offered[static_cast<std::size_t>(it.Work.Priority)];
    auto waiting = view(now);
    auto wait = admission::expectedWait(
        grants, countAhead(waiting, it.Work.Organisation, it.Work.Priority,
                           waiting.size()));
    bool lateWaits = std::ranges::any_of(waiting, &WaitingWork::Late);
    if (!queue.empty() &&
        (admission::shouldRefuse(wait, TimeLimit) ||
         admission::shouldRefuseLate(wait + Work, Target, lateWaits))) {
      outcome.RefusedAfter.push_back(0ns);
      return;
    }
    auto at = std::ranges::find_if(queue, [&](const Request &other) {
      return it.Work.Priority < other.Work.Priority;
    });
    queue.insert(at, it);
  };
  auto serve = [&](base::BootTime now) {
    std::erase_if(queue, [&](const Request &it) {
      bool expired = now >= it.Arrived + TimeLimit;
      if (expired)
        outcome.RefusedAfter.push_back(now - it.Arrived);
      return expired;
    });
    if (inOutage(now))
      return;
    for (auto &slot : busyUntil) {
      if (slot > now || queue.empty())
        continue;
      OrganisationUses uses;
      for (const char *name : {"small", "large"}) {
        uses[name].Idle = 1;
        uses[name].Turn = turnOf(turns, name);
      }
      auto next = chooseToServe(view(now), uses);
      REQUIRE(next);
      auto it = std::next(queue.begin(), static_cast<std::ptrdiff_t>(*next));
      slot = now + Work;
      recordTurn(turns, it->Work.Organisation, 1);
      auto priority = static_cast<std::size_t>(it->Work.Priority);
      if (!isLate(*it, now)) {
        ++outcome.InTime[priority];
        ++outcome.InTimeByOrganisation[it->Work.Organisation];
      }
      ++outcome.BegunByTenth[(now - Start) / 100ms];
      queue.erase(it);
      admission::recordGrant(grants, now, !queue.empty());
    }
  };
  double nextArrival = interval(random);
  for (nanoseconds at{0}; at < load.Duration; at += 1ms) {
    for (; nextArrival * 1s <= at; nextArrival += interval(random))
      arrive(Start + at);
    serve(Start + at);
  }
  std::ranges::sort(outcome.RefusedAfter);
  return outcome;
}

TEST_CASE("at twice the capacity the server does work that is in time") {
  // Guards against a queue in which all work becomes late before it is served.
  Outcome before = replay({.IgnoresTargets = true});
  Outcome it = replay({});
  double possible = 10 * Capacity;
  CHECK(before.inTime() < 0.5 * possible);
  CHECK(it.inTime() >= 0.95 * possible);
  CHECK(it.InTime[0] >= 0.99 * it.Offered[0]);
  // Both organisations ask for more than their half.
  CHECK(it.InTimeByOrganisation["small"] >= 0.8 * possible / 2);
  CHECK(it.InTimeByOrganisation["large"] >= 0.8 * possible / 2);
  REQUIRE(!it.RefusedAfter.empty());
  CHECK(it.RefusedAfter[it.RefusedAfter.size() / 2] < 10ms);
}

TEST_CASE("after an outage of 5 s the capacity is in use within a second") {
  Outcome it = replay(
      {.Factor = 0.9, .Duration = 15s, .OutageFrom = 2s, .OutageUntil = 7s});
  double full = Capacity / 10;
  for (std::int64_t tenth = 80; tenth < 90; ++tenth)
    CHECK(it.BegunByTenth[tenth] > 0.6 * full);
  int busiest = 0;
  for (const auto &[tenth, begun] : it.BegunByTenth)
    busiest = std::max(busiest, begun);
  CHECK(busiest <= 1.2 * full);
  int begunAfter = 0;
  for (std::int64_t tenth = 80; tenth < 150; ++tenth)
    begunAfter += it.BegunByTenth[tenth];
  CHECK(begunAfter >= 0.9 * 0.9 * full * 70);
}

} // namespace
} // namespace baobabpin::pooling
