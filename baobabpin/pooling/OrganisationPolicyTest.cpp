#include "baobabpin/pooling/OrganisationPolicy.h"
#include "baobabpin/pooling/PoolPolicy.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <string>

namespace baobabpin::pooling {
namespace {

using namespace std::chrono_literals;

constexpr base::BootTime Now{1000s};

TEST_CASE("organisations take turns at a server") {
  OrganisationUses uses{{"large", {.Idle = 2, .Waiting = 5, .Turn = 9}},
                        {"small", {.Idle = 1, .Waiting = 1, .Turn = 4}}};
  SUBCASE("the one with the lowest turn is served first") {
    // Guards against a busy organisation that makes its neighbours wait.
    CHECK(chooseToServe({{"large", 1}, {"small", 1}}, uses) == 1);
  }
  SUBCASE("a higher priority goes first") {
    CHECK(chooseToServe({{"large", 0}, {"small", 1}}, uses) == 0);
  }
  SUBCASE("the work of one organisation keeps its order") {
    CHECK(chooseToServe({{"large", 1}, {"large", 1}}, uses) == 0);
  }
  SUBCASE("no work gets a connection of another organisation") {
    uses["small"].Idle = 0;
    CHECK(chooseToServe({{"small", 0}}, uses) == std::nullopt);
    // A probe runs no statement of a client.
    CHECK(chooseToServe({{"", 0, true, true}}, uses) == 0);
  }
  SUBCASE("work beyond the limits of the pool waits") {
    CHECK(chooseToServe({{"small", 0, false}, {"large", 2}}, uses) == 1);
  }
}

TEST_CASE("turns follow the shares of the organisations") {
  FairTurns turns;
  std::map<std::string, int> served;
  for (int n = 0; n < 400; ++n) {
    std::string next = turnOf(turns, "a") <= turnOf(turns, "b") ? "a" : "b";
    recordTurn(turns, next, next == "a" ? 3 : 1);
    ++served[next];
  }
  CHECK(served["a"] == doctest::Approx(300).epsilon(0.02));
  SUBCASE("an organisation without work does not save up turns") {
    // Guards against a flood after a quiet hour that stops all others.
    CHECK(turnOf(turns, "new") == turns.Present);
    CHECK(turnOf(turns, "new") >= turnOf(turns, "b") - 1);
  }
  SUBCASE("a share of zero is still served") {
    recordTurn(turns, "zero", 0);
    CHECK(turnOf(turns, "zero") < turns.Present + 1e6);
  }
}

TEST_CASE("a new request counts the turns before it") {
  std::vector<WaitingWork> waiting(9, {"large", 1});
  waiting.push_back({"urgent", 0});
  CHECK(countAhead(waiting, "small", 1, 10) == 2);
  CHECK(countAhead(waiting, "large", 1, 10) == 10);
  CHECK(countAhead(waiting, "small", 0, 0) == 1);
  CHECK(countAhead({}, "small", 0, 0) == 0);
  // Guards against a request that counts those with a later deadline.
  CHECK(countAhead(waiting, "large", 1, 3) == 4);
}

TEST_CASE("connections are opened for work that no other one will serve") {
  OrganisationUses uses{{"large", {.Idle = 0, .Busy = 4}}, {"small", {}}};
  std::vector<WaitingWork> waiting{{"large", 1}, {"large", 1}, {"small", 1}};
  SUBCASE("first for the organisation that holds the fewest") {
    CHECK(chooseToOpenFor(waiting, uses) == "small");
  }
  SUBCASE("not again while enough are being opened") {
    uses["small"].Opening = 1;
    CHECK(chooseToOpenFor(waiting, uses) == "large");
    uses["large"].Opening = 2;
    CHECK(chooseToOpenFor(waiting, uses) == std::nullopt);
  }
  SUBCASE("not for work that may not start, unless there is none at all") {
    // Guards against connections beyond the statements that a server runs.
    for (auto &it : waiting)
      it.MayStart = false;
    CHECK(chooseToOpenFor(waiting, uses) == "small");
    CHECK(chooseToOpenFor({{"large", 0, false}}, uses) == std::nullopt);
  }
  SUBCASE("the last ones are reserved for organisations without any") {
    CHECK(openLimitFor(42, "large", 5) < 42);
    CHECK(openLimitFor(42, "small", 0) == 42);
    CHECK(openLimitFor(42, "", 5) == 42);
    CHECK(openLimitFor(1, "large", 1) == 1);
  }
}

TEST_CASE("an idle connection makes room for another organisation") {
  std::vector<IdleConnection> idle{
      {"busy", Now - 9s}, {"quiet", Now - 2s}, {"quieter", Now - 5s}};
  OrganisationUses uses{{"busy", {.Idle = 1, .Waiting = 1}},
                        {"quiet", {.Idle = 1}},
                        {"quieter", {.Idle = 1}}};
  CHECK(chooseToClose(idle, uses, "new") == 2);
  CHECK(chooseToClose(idle, uses, "quieter") == 1);
  CHECK(chooseToClose({{"busy", Now}}, uses, "new") == std::nullopt);
  CHECK(chooseToClose({{"quiet", Now}}, uses, "quiet") == std::nullopt);
}

TEST_CASE("the reserve is not used up by replacing idle connections") {
  // Guards against a busy organisation that takes the reserve in two steps: a
  // small one opens its first connection there, which is then closed in favour
  // of the busy one.
  OrganisationUses uses{{"busy", {.Busy = 36, .Waiting = 5}},
                        {"small", {.Idle = 1}}};
  CHECK(mayReplace(uses, "busy", 42));
  CHECK(mayReplace(uses, "new", 42));
  uses["busy"].Busy = 37;
  CHECK_FALSE(mayReplace(uses, "busy", 42));
  CHECK(mayReplace(uses, "new", 42));
  SUBCASE("many organisations with one connection each are no obstacle") {
    uses.clear();
    for (int n = 0; n < 42; ++n)
      uses["o" + std::to_string(n)].Idle = 1;
    CHECK(mayReplace(uses, "o1", 42));
  }
  SUBCASE("few connections have a reserve too") {
    CHECK_FALSE(
        mayReplace({{"busy", {.Busy = 7}}, {"small", {.Idle = 1}}}, "busy", 8));
    CHECK(openLimitFor(6, "busy", 1) == 5);
    CHECK(openLimitFor(2, "busy", 1) == 1);
  }
}

TEST_CASE("an organisation with all connections yields one to another") {
  // Guards against an organisation without connections that waits as long as
  // the one that holds all of them has work.
  OrganisationUses uses{{"busy", {.Busy = 8, .Waiting = 5}},
                        {"single", {.Busy = 1}},
                        {"new", {.Waiting = 1}}};
  CHECK(mustYield(uses, "busy", "new"));
  CHECK_FALSE(mustYield(uses, "single", "new"));
  CHECK_FALSE(mustYield(uses, "busy", "single"));
}

TEST_CASE("refused connections are tried again ever less often") {
  // Guards against attempts that cost a server at its limit as much as accepted
  // connections.
  CHECK(limitBackoff(1) == 250ms);
  CHECK(limitBackoff(2) == 500ms);
  CHECK(limitBackoff(4) == 500ms);
  CHECK(limitBackoff(1000) == 500ms);
}

TEST_CASE("a transaction that rests too long gives way") {
  // Guards against clients that rest inside transactions and hold all
  // connections until the idle-transaction timeout.
  CHECK_FALSE(mayReclaim(200ms, 10ms));
  CHECK(mayReclaim(300ms, 10ms));
  CHECK_FALSE(mayReclaim(300ms, 100ms));
  CHECK(mayReclaim(900ms, 100ms));
}

TEST_CASE("the opening of connections is paced") {
  // Guards against a server whose slots are all taken by new connections after
  // an outage of all nodes.
  CHECK(openingLimit(4, true, false) == 4);
  // A refused connection costs the server as much as an accepted one.
  CHECK(openingLimit(4, true, true) == 1);
  CHECK(openingLimit(4, false, true) == 1);
}

/// The connections of one server under the load of many organisations.
/// Statements and connection attempts occupy its slots in order of arrival.
struct ServerModel {
  static constexpr int Slots = 4;
  static constexpr int MaxOpen = 42;
  static constexpr std::chrono::milliseconds OpenTime{12};
  static constexpr std::chrono::milliseconds WorkTime{16};
  static constexpr std::chrono::milliseconds TargetLatency{150};

  /// The shares follow the usual demand.
  std::map<base::OrganisationName, double> Shares;

  double shareOf(const base::OrganisationName &name) const {
    auto it = Shares.find(name);
    return it == Shares.end() ? 1 : it->second;
  }

  struct Job {
    base::OrganisationName Organisation;
    base::BootTime DoneAt{};
    bool Opens = false;
  };
  struct Request {
    base::OrganisationName Organisation;
    base::BootTime Arrived{};
  };

  std::vector<Job> Running;
  std::vector<Request> Waiting;
  std::vector<IdleConnection> Idle;
  FairTurns Turns;
  std::map<base::OrganisationName, int> Served;
  /// The organisation that always has work.
  static constexpr const char *Hot = "hot";
  /// Requests of the other organisations, and those that waited for less than
  /// the shortest target latency.
  int ServedOthers = 0;
  int ServedInTime = 0;

  OrganisationUses uses() const {
    OrganisationUses it;
    for (const auto &job : Running)
      ++(job.Opens ? it[job.Organisation].Opening : it[job.Organisation].Busy);
    for (const auto &idle : Idle)
      ++it[idle.Organisation].Idle;
    for (const auto &request : Waiting)
      ++it[request.Organisation].Waiting;
    for (auto &[name, use] : it)
      use.Turn = turnOf(Turns, name);
    return it;
  }

  std::vector<WaitingWork> waitingWork() const {
    std::vector<WaitingWork> it;
    for (const auto &request : Waiting)
      it.push_back({request.Organisation});
    return it;
  }

  void finishJobs(base::BootTime now) {
    std::erase_if(Running, [&](const Job &it) {
      if (it.DoneAt > now)
        return false;
      Idle.push_back({it.Organisation, now});
      return true;
    });
  }

  bool startStatement(base::BootTime now) {
    auto next = chooseToServe(waitingWork(), uses());
    if (!next)
      return false;
    Request it = Waiting[*next];
    Waiting.erase(Waiting.begin() + static_cast<std::ptrdiff_t>(*next));
    Idle.erase(std::ranges::find(Idle, it.Organisation,
                                 &IdleConnection::Organisation));
    recordTurn(Turns, it.Organisation, shareOf(it.Organisation));
    ++Served[it.Organisation];
    if (it.Organisation != Hot) {
      ++ServedOthers;
      ServedInTime += now - it.Arrived < TargetLatency ? 1 : 0;
    }
    Running.push_back({it.Organisation, now + WorkTime});
    return true;
  }

  bool startOpening(base::BootTime now) {
    auto opening = std::ranges::count(Running, true, &Job::Opens);
    auto all = uses();
    // Connections beyond the statements that can run are not needed.
    auto startable = waitingWork();
    for (std::size_t n = Slots; n < startable.size(); ++n)
      startable[n].MayStart = false;
    auto organisation = chooseToOpenFor(startable, all);
    if (!organisation || opening >= openingLimit(Slots, true, false))
      return false;
    int open = static_cast<int>(Running.size() + Idle.size());
    if (open >=
        openLimitFor(MaxOpen, *organisation, all[*organisation].held())) {
      auto surplus = chooseToClose(Idle, all, *organisation);
      if (!surplus || !mayReplace(all, *organisation, MaxOpen))
        return false;
      Idle.erase(Idle.begin() + static_cast<std::ptrdiff_t>(*surplus));
    }
    Running.push_back({*organisation, now + OpenTime, true});
    return true;
  }

  void step(base::BootTime now) {
    finishJobs(now);
    while (Running.size() < Slots && (startOpening(now) || startStatement(now)))
      continue;
  }
};

TEST_CASE("tens of organisations share the connections of one server") {
  // Guards against slots that are spent on opening connections in turn, and
  // against small organisations that wait behind a large one.
  constexpr int Organisations = 74;
  std::vector<double> weights;
  for (int n = 1; n <= Organisations; ++n)
    weights.push_back(1.0 / n);
  std::mt19937 random(5);
  std::discrete_distribution<int> organisation(weights.begin(), weights.end());
  ServerModel server;
  double average =
      std::accumulate(weights.begin(), weights.end(), 0.0) / Organisations;
  for (int n = 0; n < Organisations; ++n)
    server.Shares["o" + std::to_string(n)] = std::max(weights[n], average);
  server.Shares[ServerModel::Hot] = weights[0];
  constexpr std::chrono::milliseconds Span{30'000};
  SUBCASE("at six tenths of the capacity all are served in time") {
    std::exponential_distribution<double> gap(150);
    base::BootTime next = Now;
    for (auto now = Now; now < Now + Span; now += 1ms) {
      while (next <= now) {
        server.Waiting.push_back(
            {"o" + std::to_string(organisation(random)), now});
        next += std::chrono::nanoseconds(
            static_cast<std::int64_t>(gap(random) * 1e9));
      }
      server.step(now);
    }
    CHECK(server.ServedInTime >= server.ServedOthers * 99 / 100);
  }
  SUBCASE("one that sends many times its usual is the one that waits") {
    std::exponential_distribution<double> gap(100);
    base::BootTime next = Now;
    int offered = 0;
    for (auto now = Now; now < Now + Span; now += 1ms) {
      while (next <= now) {
        server.Waiting.push_back(
            {"o" + std::to_string(organisation(random)), now});
        ++offered;
        next += std::chrono::nanoseconds(
            static_cast<std::int64_t>(gap(random) * 1e9));
      }
      // The largest one always has twenty requests that wait.
      while (std::ranges::count(server.Waiting, ServerModel::Hot,
                                &ServerModel::Request::Organisation) < 20)
        server.Waiting.push_back({ServerModel::Hot, now});
      server.step(now);
    }
    CHECK(server.ServedInTime >= offered * 99 / 100);
    // The hot one gets what the others leave.
    CHECK(server.Served[ServerModel::Hot] > 0);
  }
}

} // namespace
} // namespace baobabpin::pooling
