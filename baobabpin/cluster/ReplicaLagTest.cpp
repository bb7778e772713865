#include "baobabpin/cluster/ReplicaLag.h"

#include <doctest/doctest.h>

#include <functional>

namespace baobabpin::cluster {
namespace {

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

constexpr base::BootTime Start{1000s};
/// A primary that appends 500 entries a second.
constexpr auto EntryInterval = 2ms;
constexpr auto RoundTrip = 4ms;

base::LogPosition positionAt(base::BootTime time) {
  return {1,
          static_cast<base::LogIndex>((time - Start) / EntryInterval) + 10'000};
}

/// The samples of a node that asks the primary every 200 ms until \p now.
PositionHistory historyUntil(base::BootTime now) {
  PositionHistory history;
  for (auto at = Start; at <= now; at += 200ms)
    recordSample(history, 1, at, positionAt(at));
  return history;
}

TEST_CASE("timeOfPosition() finds when the primary had a position") {
  auto history = historyUntil(Start + 2s);
  auto now = Start + 2100ms;
  auto near = [&](base::BootTime time) {
    auto got = timeOfPosition(history, positionAt(time), now);
    REQUIRE(got);
    return std::chrono::abs(*got - time) <= EntryInterval;
  };
  CHECK(near(Start + 400ms));
  CHECK(near(Start + 470ms));
  CHECK(near(Start + 2050ms));
  CHECK(near(Start - 1s));
  CHECK(timeOfPosition(history, {1, 99'999'999}, now) == now);
  CHECK_FALSE(timeOfPosition(history, {0, 5}, now));
  CHECK_FALSE(timeOfPosition({}, {1, 5}, now));
}

TEST_CASE("the expected delay follows from the lag that a report showed") {
  auto history = historyUntil(Start + 3s);
  auto now = Start + 3s;
  ReplicaProgress progress;
  SUBCASE("a replica that has refused nothing is taken to be fresh") {
    // Guards against another choice of server where nothing is refused.
    recordReport(progress, history, positionAt(now - 2s), false, now, now);
    CHECK(expectedDelay(progress, history, positionAt(now), now) == 0ns);
  }
  SUBCASE("a read that allows more than the lag is sent, others wait") {
    recordReport(progress, history, positionAt(now - 1s), true, now - 5ms, now);
    CHECK(expectedDelay(progress, history, positionAt(now - 1200ms), now) ==
          0ns);
    auto delay = expectedDelay(progress, history, positionAt(now - 400ms), now);
    CHECK(delay > 590ms);
    CHECK(delay < 610ms);
  }
  SUBCASE("the prediction ends some time after the last refusal") {
    recordReport(progress, history, positionAt(now - 1s), true, now - 5ms, now);
    CHECK(expectedDelay(progress, history, positionAt(now), now) > 0ns);
    auto later = now + RefusalRetention;
    CHECK(expectedDelay(progress, history, positionAt(now), later) == 0ns);
  }
}

TEST_CASE("trial reads are single, rarer with each refusal, and at once when "
          "the replica catches up") {
  auto history = historyUntil(Start + 3s);
  auto now = Start + 3s;
  ReplicaProgress progress;
  recordReport(progress, history, positionAt(now - 2s), true, now - 5ms, now);
  CHECK_FALSE(isTrialDue(progress, now));
  now += FirstTrialInterval;
  CHECK(isTrialDue(progress, now));
  claimTrial(progress, now);
  CHECK_FALSE(isTrialDue(progress, now));
  SUBCASE("after a further refusal the next one is later") {
    recordReport(progress, history, positionAt(now - 2s), true, now, now + 5ms);
    CHECK_FALSE(isTrialDue(progress, now + FirstTrialInterval + 5ms));
    CHECK(isTrialDue(progress, now + 2 * FirstTrialInterval + 5ms));
  }
  SUBCASE("refusals of reads that were sent before count once") {
    auto next = progress.NextTrial;
    recordReport(progress, history, positionAt(now - 2s), true, Start + 2990ms,
                 now);
    CHECK(progress.NextTrial == next);
  }
  SUBCASE("a report of a smaller lag makes a trial due") {
    recordReport(progress, history, positionAt(now - 1s), false, now, now);
    CHECK(isTrialDue(progress, now));
  }
}

/// The reads of a replayed load at one replica.
struct Replay {
  int Sent = 0;
  int Refused = 0;
  /// The time from the recovery of the replica until reads are sent to it
  /// without a trial, at most.
  nanoseconds UsedAfter{10s};
};

using SendRule = std::function<bool(ReplicaProgress &, const PositionHistory &,
                                    base::LogPosition, base::BootTime)>;

/// Replays a replica that applies nothing for ten seconds and then has the
/// whole log. One node has a read every 5 ms that may miss 1.5 s.
Replay replayStall(const SendRule &sends) {
  constexpr auto StallAt = 2s;
  constexpr auto RecoverAt = 12s;
  Replay result;
  PositionHistory history;
  ReplicaProgress progress;
  int servedInSequence = 0;
  for (nanoseconds passed{0}; passed < 16s; passed += 5ms) {
    auto now = Start + passed;
    if (passed % 200ms == 0ns)
      recordSample(history, 1, now, positionAt(now));
    bool stalled = passed >= StallAt && passed < RecoverAt;
    auto applied =
        stalled ? positionAt(Start + StallAt) : positionAt(now - 10ms);
    auto wanted = requiredPosition(history, {now - 1500ms, {}}, {});
    if (!wanted || !sends(progress, history, *wanted, now)) {
      servedInSequence = 0;
      continue;
    }
    ++result.Sent;
    bool refused = applied < *wanted;
    result.Refused += refused ? 1 : 0;
    servedInSequence = refused ? 0 : servedInSequence + 1;
    if (passed >= RecoverAt && servedInSequence == 5)
      result.UsedAfter = std::min(result.UsedAfter, passed - RecoverAt);
    recordReport(progress, history, applied, refused, now, now + RoundTrip);
  }
  return result;
}

TEST_CASE("a lagging replica is asked rarely and used soon after it recovers") {
  // Guards against the load of the heaviest day: each node asked a replica that
  // lagged for ten seconds again every 150 ms.
  auto fixedPeriod = [last = base::BootTime{}](const ReplicaProgress &progress,
                                               const PositionHistory &,
                                               base::LogPosition wanted,
                                               base::BootTime now) mutable {
    bool lagging =
        progress.Applied < wanted && now - progress.RefusedAt < 150ms;
    if (!lagging)
      last = now;
    return !lagging;
  };
  auto predicted = [](ReplicaProgress &progress, const PositionHistory &history,
                      base::LogPosition wanted, base::BootTime now) {
    if (expectedDelay(progress, history, wanted, now) <= 0ns)
      return true;
    if (!isTrialDue(progress, now))
      return false;
    claimTrial(progress, now);
    return true;
  };
  Replay before = replayStall(fixedPeriod);
  Replay after = replayStall(predicted);
  CHECK(before.Refused > 40);
  CHECK(after.Refused < before.Refused / 3);
  CHECK(after.UsedAfter <= MaxTrialInterval + 50ms);
}

} // namespace
} // namespace baobabpin::cluster
