#include "baobabpin/pacing/StatementPace.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>

namespace baobabpin::pacing {
namespace {

using namespace std::chrono_literals;
using base::BootTime;
using std::chrono::nanoseconds;

constexpr BootTime Start{1000s};
/// The round trip to a server of the same zone.
constexpr nanoseconds RoundTrip = 1ms;

double toMs(nanoseconds it) {
  return std::chrono::duration<double, std::milli>(it).count();
}

/// A server with a queue in order of arrival. Demand is always waiting, so the
/// statements in flight are as many as the limit allows.
struct ServerModel {
  int Slots = 4;
  /// The slots that work; a server may be weaker than its registration says.
  int WorkingSlots = 4;
  /// The factor of the service time, by the time since Start.
  std::function<double(nanoseconds)> Slowness = [](nanoseconds) { return 1.0; };
  /// Whether the cost of statements of one kind varies exponentially, instead
  /// of by 30 % either way.
  bool Irregular = false;
  /// The limit without pace, as for a server in steady use.
  bool FixedLimit = false;
  /// The server is gone for this long after 3 s of steady use. Times count from
  /// its return.
  nanoseconds Outage{0};
  /// The share of statements that it refuses at random.
  double RefusedShare = 0;
};

struct Result {
  StatementPace Pace;
  /// The time from sending to the reply, and the time of the reply.
  std::vector<std::pair<nanoseconds, nanoseconds>> Latencies;
  /// The slots in use after each event, and its time.
  std::vector<std::pair<nanoseconds, int>> Running;
  /// The limit, weighted by time.
  double MeanLimit = 0;

  double meanRunning(nanoseconds from, nanoseconds to) const {
    double sum = 0;
    for (std::size_t n = 0; n < Running.size(); ++n) {
      auto begin = std::max(from, Running[n].first);
      auto end =
          n + 1 < Running.size() ? std::min(to, Running[n + 1].first) : to;
      if (end > begin)
        sum += toMs(end - begin) * Running[n].second;
    }
    return sum / toMs(to - from);
  }
  nanoseconds quantile(double q, nanoseconds from, nanoseconds to) const {
    std::vector<nanoseconds> list;
    for (const auto &[at, took] : Latencies)
      if (at >= from && at < to)
        list.push_back(took);
    REQUIRE_FALSE(list.empty());
    std::ranges::sort(list);
    return list[static_cast<std::size_t>(q *
                                         static_cast<double>(list.size() - 1))];
  }
};

Result run(const ServerModel &model, nanoseconds duration, unsigned seed) {
  // The costs of the request classes of one deployment.
  static constexpr nanoseconds Costs[] = {6ms, 18ms, 30ms};
  static constexpr const char *Kinds[] = {"a", "b", "c"};
  std::mt19937 random(seed);
  auto cost = [&](int kind) {
    double factor = model.Irregular
                        ? std::exponential_distribution<>(1.0)(random)
                        : std::uniform_real_distribution<>(0.7, 1.3)(random);
    return static_cast<double>(Costs[kind].count()) * factor;
  };
  struct Job {
    nanoseconds SentAt{};
    int Kind = 0;
    int InFlight = 1;
    bool Refused = false;
  };
  struct Event {
    nanoseconds At{};
    bool Reply = false;
    Job Work;
    bool operator<(const Event &it) const { return At > it.At; }
  };
  Result result;
  auto &pace = result.Pace;
  int ceiling = model.Slots + 2;
  setCapacity(pace, model.Slots, ceiling);
  std::priority_queue<Event> events;
  std::queue<Job> waiting;
  int running = 0;
  int inFlight = 0;
  bool outageAhead = model.Outage > 0s;
  nanoseconds now = outageAhead ? -(3s + model.Outage) : 0s;
  restart(pace, Start + now);
  auto limit = [&] { return model.FixedLimit ? ceiling : pace.Limit; };
  auto work = [&](const Job &job) {
    ++running;
    auto took = static_cast<std::int64_t>(cost(job.Kind) * model.Slowness(now));
    events.push({now + nanoseconds(took), false, job});
  };
  auto send = [&] {
    while (inFlight < limit()) {
      Job job{now, std::uniform_int_distribution<>(0, 2)(random), ++inFlight};
      job.Refused = model.RefusedShare > 0 &&
                    std::bernoulli_distribution(model.RefusedShare)(random);
      if (job.Refused)
        events.push({now + RoundTrip, true, job});
      else if (running < model.WorkingSlots)
        work(job);
      else
        waiting.push(job);
    }
  };
  send();
  result.Running.emplace_back(now, running);
  while (!events.empty() && events.top().At < duration) {
    Event it = events.top();
    if (outageAhead && it.At > -model.Outage) {
      outageAhead = false;
      REQUIRE(pace.Limit == ceiling);
      while (!events.empty()) {
        recordLoss(pace, Start + events.top().Work.SentAt,
                   Start - model.Outage);
        events.pop();
      }
      // Then connections cannot be opened.
      restart(pace, Start - 100ms);
      waiting = {};
      running = inFlight = 0;
      Result later;
      later.Pace = std::move(pace);
      result = std::move(later);
      now = 0s;
      send();
      result.Running.emplace_back(now, running);
      continue;
    }
    events.pop();
    result.MeanLimit += toMs(it.At - now) * limit() / toMs(duration);
    now = it.At;
    if (!it.Reply) {
      --running;
      events.push({now + RoundTrip, true, it.Work});
      if (!waiting.empty()) {
        work(waiting.front());
        waiting.pop();
      }
    } else {
      --inFlight;
      result.Latencies.emplace_back(now, now - it.Work.SentAt);
      recordReply(pace, {.SentAt = Start + it.Work.SentAt,
                         .At = Start + now,
                         .Kind = Kinds[it.Work.Kind],
                         .InFlight = it.Work.InFlight,
                         .Refused = it.Work.Refused});
      send();
    }
    result.Running.emplace_back(now, running);
  }
  return result;
}

struct Return {
  /// The time until 0.9 of the peers' steady use was reached, as a multiple of
  /// the mean delay that the replies showed until then.
  double Rounds = 0;
  /// The 99th percentile as a multiple of the peers'.
  double Percentile = 0;
  /// The mean use afterwards, as a share of the peers'.
  double UseAfterwards = 0;
};

/// Compares a server that returned at the start with one in steady use.
Return compareWithPeers(const ServerModel &model, unsigned seed) {
  ServerModel peer{.Slots = model.Slots,
                   .WorkingSlots = model.Slots,
                   .Irregular = model.Irregular,
                   .FixedLimit = true};
  auto steady = run(peer, 20s, seed + 1000);
  auto returned = run(model, 10s, seed);
  double use = steady.meanRunning(5s, 20s);
  // A server with fewer working slots can't be used more than by all of them.
  use = std::min(use, static_cast<double>(model.WorkingSlots));
  Return it;
  nanoseconds reachedAt = 10s;
  for (const auto &[at, running] : returned.Running) {
    if (running < 0.9 * use)
      continue;
    reachedAt = at;
    break;
  }
  double sum = 0;
  int count = 0;
  for (const auto &[at, took] : returned.Latencies) {
    if (at > reachedAt)
      break;
    sum += toMs(took);
    ++count;
  }
  REQUIRE(count > 0);
  it.Rounds = toMs(reachedAt) / (sum / count);
  it.Percentile = toMs(returned.quantile(0.99, 0s, 10s)) /
                  toMs(steady.quantile(0.99, 5s, 20s));
  it.UseAfterwards = returned.meanRunning(reachedAt, 10s) / use;
  return it;
}

constexpr unsigned Seeds = 200;

/// Checks the bounds in each of many returns of servers of several sizes.
void checkReturns(ServerModel model) {
  for (int slots : {2, 3, 4}) {
    model.Slots = model.WorkingSlots = slots;
    Return worst{.UseAfterwards = 9};
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
      auto it = compareWithPeers(model, seed);
      worst.Rounds = std::max(worst.Rounds, it.Rounds);
      worst.Percentile = std::max(worst.Percentile, it.Percentile);
      worst.UseAfterwards = std::min(worst.UseAfterwards, it.UseAfterwards);
    }
    MESSAGE("slots " << slots << ": delays until in use " << worst.Rounds
                     << ", 99th percentile " << worst.Percentile
                     << ", use afterwards " << worst.UseAfterwards);
    CHECK(worst.Rounds <= 3);
    CHECK(worst.Percentile <= 2);
    CHECK(worst.UseAfterwards >= 0.9);
  }
}

TEST_CASE("a returning server is neither flooded nor left idle") {
  // Guards against a server that gets a full load of statements at once after
  // an outage, and against one that is used too little for seconds after it.
  ServerModel model;
  SUBCASE("new, with the speed of its peers") { checkReturns(model); }
  SUBCASE("after an outage of 5 s") {
    model.Outage = 5s;
    checkReturns(model);
  }
  SUBCASE("cold: slower at first") {
    model.Outage = 5s;
    model.Slowness = [](nanoseconds since) {
      return since < 0s ? 1 : 1 + 0.8 * std::exp(-toMs(since) / 500);
    };
    checkReturns(model);
  }
  SUBCASE("weaker than its peers") {
    model.Outage = 5s;
    model.Slowness = [](nanoseconds) { return 1.7; };
    checkReturns(model);
  }
}

TEST_CASE("a returning server whose statements have irregular costs") {
  // With exponentially distributed costs the first reply alone may take several
  // times the mean delay, so the time until the server is in use is judged over
  // all returns.
  for (int slots : {2, 3, 4}) {
    ServerModel model{.Slots = slots, .WorkingSlots = slots, .Irregular = true};
    double sum = 0;
    int late = 0;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
      auto it = compareWithPeers(model, seed);
      sum += it.Rounds;
      late += it.Rounds > 3 ? 1 : 0;
      CHECK(it.Percentile <= 2);
      CHECK(it.UseAfterwards >= 0.9);
    }
    MESSAGE("slots " << slots << ": mean delays until in use " << sum / Seeds
                     << ", above 3 in " << late << " of " << Seeds);
    CHECK(sum / Seeds <= 3);
  }
}

TEST_CASE("a server with fewer working slots than registered") {
  // Guards against a queue at a server that lost a part of its capacity.
  for (unsigned seed = 1; seed <= Seeds; ++seed) {
    auto it = compareWithPeers({.Slots = 4, .WorkingSlots = 2}, seed);
    CHECK(it.Percentile <= 2);
    CHECK(it.UseAfterwards >= 0.9);
  }
}

TEST_CASE("a server that refuses some work at random is still used") {
  // Guards against halving the limit so often that healthy slots stay idle.
  for (double share : {0.1, 0.17}) {
    double lowest = 9;
    for (unsigned seed = 1; seed <= 20; ++seed) {
      auto it = run({.RefusedShare = share}, 20s, seed);
      lowest = std::min(lowest, it.meanRunning(1s, 20s) / 4);
    }
    MESSAGE("refused share " << share << ": use " << lowest);
    CHECK(lowest >= (share < 0.15 ? 0.9 : 0.8));
  }
}

TEST_CASE("a steady server keeps the full limit") {
  // Guards against a loss of throughput in normal use. The limit was a constant
  // before; statements that wait at the server by intention, and costs that
  // differ, must not be taken for an overload.
  for (int slots : {1, 2, 3, 4, 8}) {
    double lowest = 1;
    for (unsigned seed = 1; seed <= 20; ++seed) {
      ServerModel model{.Slots = slots, .WorkingSlots = slots};
      auto it = run(model, 60s, seed);
      CHECK(it.Pace.Limit == slots + 2);
      CHECK(it.MeanLimit > 0.995 * (slots + 2));
      model.Irregular = true;
      lowest = std::min(lowest, run(model, 60s, seed).MeanLimit / (slots + 2));
    }
    MESSAGE("slots " << slots << ", irregular costs: mean limit " << lowest);
    CHECK(lowest > 0.95);
  }
}

StatementPace fullPace() {
  StatementPace pace;
  setCapacity(pace, 4, 6);
  restart(pace, Start);
  for (int n = 0; n < 12; ++n)
    recordReply(pace, {Start + n * 10ms, Start + n * 10ms + 10ms, "a", 1});
  REQUIRE(pace.Limit == 6);
  return pace;
}

TEST_CASE("the limit doubles with each round trip from 1 to the ceiling") {
  StatementPace pace;
  setCapacity(pace, 4, 6);
  restart(pace, Start);
  auto sent = Start;
  for (int expected : {2, 4, 6, 6}) {
    recordReply(pace, {sent, sent + 10ms, "a", 1});
    CHECK(pace.Limit == expected);
    sent += 10ms;
  }
}

TEST_CASE("refusals for overload halve the limit") {
  auto pace = fullPace();
  auto sent = Start + 1s;
  SUBCASE("at once when the other replies are slow") {
    recordReply(pace, {sent, sent + 80ms, "a", 6});
    recordReply(pace, {sent, sent + 81ms, "a", 6, true});
    CHECK(pace.Limit == 3);
    // Statements sent before it show nothing new.
    recordReply(pace, {sent, sent + 82ms, "a", 6, true});
    CHECK(pace.Limit == 3);
    recordReply(pace, {sent + 85ms, sent + 95ms, "a", 1});
    CHECK(pace.Limit == 6);
  }
  SUBCASE("when there are many, down to 1") {
    for (int n = 0; n < 12; ++n)
      recordReply(pace, {sent, sent + 1ms, "a", 6, true});
    CHECK(pace.Limit == 3);
    for (int n = 1; n < 6; ++n)
      recordReply(pace, {sent + n * 5ms, sent + n * 5ms + 1ms, "a", 1, true});
    CHECK(pace.Limit == 1);
  }
  SUBCASE("not when there is one among good replies") {
    recordReply(pace, {sent, sent + 1ms, "a", 6, true});
    CHECK(pace.Limit == 6);
  }
  SUBCASE("when nothing is known of a server that has returned") {
    restart(pace, sent);
    pace.Limit = 2;
    recordReply(pace, {sent, sent + 1ms, "a", 1, true});
    CHECK(pace.Limit == 1);
  }
}

TEST_CASE("latency above twice the due one halves the limit") {
  auto pace = fullPace();
  auto sent = Start + 1s;
  // The round that is in progress ends first.
  for (int n = 0; n < 23; ++n)
    recordReply(pace, {sent, sent + 35ms, "a", 6});
  CHECK(pace.Limit < 6);
  SUBCASE("a server that stays slower gets the full limit again") {
    // Guards against a server that is left at 1 because it was faster once.
    for (int n = 1; n < 40; ++n)
      recordReply(pace, {sent + n * 50ms, sent + n * 50ms + 50ms, "a", 1});
    CHECK(pace.Limit == 6);
  }
}

TEST_CASE("kinds of work are compared with themselves only") {
  auto pace = fullPace();
  for (int n = 0; n < 60; ++n)
    recordReply(pace, {Start + 1s, Start + 1s + (n % 2 == 0 ? 10ms : 50ms),
                       n % 2 == 0 ? "a" : "five times the cost", 4});
  CHECK(pace.Limit == 6);
}

TEST_CASE("a reply that waited for a log position is no sign of overload") {
  auto pace = fullPace();
  for (int n = 0; n < 60; ++n)
    recordReply(pace, {Start + 1s, Start + 2s, "", 6});
  CHECK(pace.Limit == 6);
}

TEST_CASE("a silence starts the limit again") {
  auto pace = fullPace();
  auto sent = Start + 1s;
  SUBCASE("when it is much longer than replies take") {
    recordSilence(pace, sent, sent + 20ms);
    CHECK(pace.Limit == 6);
    recordSilence(pace, sent, sent + 100ms);
    CHECK(pace.Limit == 1);
  }
  SUBCASE("not when other statements get replies") {
    recordReply(pace, {sent, sent + 10ms, "a", 1});
    recordSilence(pace, sent, sent + 1s);
    CHECK(pace.Limit == 6);
  }
  SUBCASE("once, so that the first replies after it count") {
    recordSilence(pace, sent, sent + 5s);
    REQUIRE(pace.Limit == 1);
    auto again = sent + 5s + 1ms;
    recordSilence(pace, sent, again + 5ms);
    recordSilence(pace, again, again + 5ms);
    recordReply(pace, {again, again + 10ms, "a", 1});
    CHECK(pace.Limit == 2);
  }
  SUBCASE("not when the server replies with an error") {
    recordError(pace, sent + 10ms);
    recordSilence(pace, sent, sent + 1s);
    CHECK(pace.Limit == 6);
  }
  SUBCASE("and a lost connection does, unless others get replies") {
    recordReply(pace, {sent, sent + 10ms, "a", 1});
    recordLoss(pace, sent, sent + 11ms);
    CHECK(pace.Limit == 6);
    recordLoss(pace, sent + 11ms, sent + 12ms);
    CHECK(pace.Limit == 1);
  }
}

} // namespace
} // namespace baobabpin::pacing
