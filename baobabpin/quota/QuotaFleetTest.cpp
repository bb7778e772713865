/// Runs the decisions of a whole fleet about one organisation in simulated
/// time, with faults drawn from a seed.
///
/// A fault is a partition, a lost call or reply, a store that is down, a node
/// that dies, restarts or is suspended, a clock that runs too fast or too slow,
/// or a node that is retired while it runs.

#include "baobabpin/quota/Allowance.h"
#include "baobabpin/quota/GranterRole.h"
#include "baobabpin/quota/TokenBucket.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace baobabpin::quota {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

const Tolerance Usual{5s, 0.1, 20};
const std::string Name = "org";
constexpr milliseconds Step{1};
constexpr milliseconds CallTimeout{250};
constexpr milliseconds SyncPeriod{250};
/// A node that has not reached the store for this long is retired.
constexpr milliseconds RetirementDelay{5000};

struct Record {
  std::uint64_t Incarnation = 0;
  int Capacity = 0;
  bool Retired = false;

  bool operator==(const Record &) const = default;
};

struct View {
  std::uint64_t Version = 0;
  std::map<std::string, Record> Nodes;
  base::BootTime ConfirmedAt{};
};

struct Operation {
  base::BootTime JoinedAt{};
  std::size_t Attempts = 0;
};

struct Node {
  std::string Name;
  bool Alive = true;
  std::uint64_t Incarnation = 1;
  nanoseconds SuspendedUntil{};
  double ClockRate = 1;
  nanoseconds ClockOffset{};
  int Partition = 0;
  bool ReachesStore = true;
  nanoseconds LastStoreContact{};
  nanoseconds NextSync{};
  std::vector<std::function<void()>> Inbox;

  View Known;
  GranterRanking Ranking;
  GranterRole Role;
  GranterRole OnlyNode;
  bool ListRead = false;
  bool Resumes = false;
  GranterShare Share;
  std::optional<TokenBucket> Bucket;
  Allowance Tokens;
  FallbackQuota Fallback;
  std::vector<std::string> Granters;
  GranterStates States;
  std::array<nanoseconds, quota::Granters> SilentUntil{};
  std::size_t LastAsked = 0;
  bool IsAsking = false;
  std::deque<Operation> Waiting;
  double Demand = 0;
};

class Fleet {
public:
  Fleet(int nodes, cluster::RateLimit limit, unsigned seed)
      : Limit(limit), Random(seed) {
    Ranking0.setRankedNodes(std::max(quota::Granters, fallbackNodes(Usual)));
    for (int n = 0; n < nodes; ++n) {
      auto node = std::make_unique<Node>();
      node->Name = "n" + std::to_string(n);
      node->NextSync = milliseconds(draw(250));
      node->ClockOffset = milliseconds(draw(100'000));
      node->ClockRate = 1 + (draw(1001) - 500) * 1e-6;
      Nodes.push_back(std::move(node));
      reset(*Nodes.back());
    }
  }

  int draw(int below) {
    return static_cast<int>(Random() % static_cast<unsigned>(below));
  }
  bool chance(double p) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < p;
  }
  base::BootTime clock(const Node &it) const {
    return base::BootTime(1000s) + it.ClockOffset +
           nanoseconds(static_cast<std::int64_t>(
               static_cast<double>(Now.count()) * it.ClockRate));
  }
  bool runs(const Node &it) const {
    return it.Alive && Now >= it.SuspendedUntil;
  }

  void reset(Node &it) {
    it.Known = {};
    it.Ranking = Ranking0;
    it.Role = {};
    it.OnlyNode = {};
    it.ListRead = false;
    it.Resumes = false;
    it.Bucket.reset();
    it.Tokens = {};
    it.Fallback = startFallback(Usual, clock(it));
    it.Granters.clear();
    it.States = {};
    it.SilentUntil = {};
    it.IsAsking = false;
    it.Waiting.clear();
    it.Inbox.clear();
  }

  void kill(Node &it) { it.Alive = false; }
  void restart(Node &it) {
    if (it.Alive)
      return;
    it.Alive = true;
    ++it.Incarnation;
    reset(it);
  }

  /// Delivers \p message to a node after the latency of the network, unless it
  /// is lost. A suspended node handles it when it resumes.
  void send(const Node &from, Node &to, std::function<void()> message) {
    if (from.Partition != to.Partition || chance(LossShare))
      return;
    Later.emplace(
        Now + nanoseconds(500'000 + draw(1'500'000)),
        [&to, incarnation = to.Incarnation, message = std::move(message)] {
          if (to.Alive && to.Incarnation == incarnation)
            to.Inbox.push_back(message);
        });
  }

  void sync(Node &it) {
    it.NextSync = Now + SyncPeriod;
    auto sentAt = clock(it);
    if (StoreUp && it.ReachesStore) {
      it.LastStoreContact = Now;
      auto &record = Store[it.Name];
      Record own{it.Incarnation, 120, false};
      if (record != own) {
        record = own;
        ++StoreVersion;
      }
      View view{StoreVersion, Store, sentAt};
      send(it, it, [this, &it, view] { adopt(it, view); });
      return;
    }
    auto &peer =
        *Nodes[static_cast<std::size_t>(draw(static_cast<int>(Nodes.size())))];
    if (&peer == &it)
      return;
    send(it, peer, [this, &it, &peer, sentAt] {
      View view = peer.Known;
      if (view.Version == 0)
        return;
      view.ConfirmedAt = sentAt - (clock(peer) - peer.Known.ConfirmedAt);
      send(peer, it, [this, &it, view] { adopt(it, view); });
    });
  }

  void adopt(Node &it, const View &view) {
    if (view.Version < it.Known.Version)
      return;
    auto confirmed = view.Version == it.Known.Version
                         ? std::max(view.ConfirmedAt, it.Known.ConfirmedAt)
                         : view.ConfirmedAt;
    it.Known = view;
    it.Known.ConfirmedAt = confirmed;
    std::map<std::string, int> capacities;
    for (const auto &[name, record] : view.Nodes) {
      if (!record.Retired)
        capacities.emplace(name, record.Capacity);
    }
    it.Ranking.update({quota::Name}, capacities);
    std::vector<std::string> granters;
    for (const auto &candidate : it.Ranking.ranked(quota::Name)) {
      if (granters.size() < quota::Granters)
        granters.push_back(candidate.Node);
    }
    if (granters != it.Granters) {
      it.Granters = granters;
      it.States = {};
      it.SilentUntil = {};
    }
    updateRole(it);
  }

  void updateRole(Node &it) {
    auto now = clock(it);
    RoleSample sample;
    auto record = it.Known.Nodes.find(it.Name);
    if (record != it.Known.Nodes.end()) {
      sample.Incarnation = record->second.Incarnation;
      sample.Eligible = !record->second.Retired &&
                        sample.Incarnation == it.Incarnation &&
                        it.Ranking.isGranter(quota::Name, it.Name);
    }
    if (!it.ListRead && !it.Known.Nodes.empty()) {
      it.ListRead = true;
      it.Resumes = record != it.Known.Nodes.end() && !record->second.Retired &&
                   record->second.Incarnation != it.Incarnation;
    }
    it.Resumes = it.Resumes && it.Ranking.isGranter(quota::Name, it.Name);
    if (it.Resumes)
      sample.Start = RunStart::Resumed;
    else if (Now < FirstStartDelay)
      sample.Start = RunStart::FirstStart;
    sample.ConfirmedAt = it.Known.ConfirmedAt;
    quota::updateRole(it.Role, sample, now);
    sample.Eligible = sample.Eligible && it.Granters.size() == 1;
    quota::updateRole(it.OnlyNode, sample, now);
    if (it.Role.EligibleSince)
      it.Resumes = false;
    bool grants = isGranting(it.Role, it.Known.ConfirmedAt, now);
    it.Share = shareOf(Limit, Usual);
    if (isGranting(it.OnlyNode, it.Known.ConfirmedAt, now)) {
      it.Share.Rate *= 2;
      it.Share.Capacity *= 2;
    }
    if (grants && !it.Bucket)
      it.Bucket = emptyBucket(it.Share, now);
    else if (!grants)
      it.Bucket.reset();
  }

  struct Granted {
    bool Grants = false;
    int Tokens = 0;
    nanoseconds Retry{};
  };

  Granted answer(Node &granter, int wanted, int returned) {
    updateRole(granter);
    if (!granter.Bucket)
      return {};
    auto now = clock(granter);
    if (returned > 0)
      giveBack(*granter.Bucket, granter.Share, returned, now);
    Granted it{true, grant(*granter.Bucket, granter.Share, wanted, now), {}};
    if (it.Tokens < wanted)
      it.Retry = retryDelay(*granter.Bucket, granter.Share, now);
    return it;
  }

  Node *find(const std::string &name) {
    for (auto &it : Nodes) {
      if (it->Name == name)
        return it.get();
    }
    return nullptr;
  }

  void ask(Node &it) {
    if (it.IsAsking)
      return;
    auto now = clock(it);
    for (std::size_t n = 0; n < it.States.size(); ++n) {
      if (it.States[n].Silent && Now >= it.SilentUntil[n])
        it.States[n].Silent = false;
    }
    int wanted = tokensWanted(it.Tokens, static_cast<int>(it.Waiting.size()),
                              tokenValidity(Usual), now);
    if (wanted == 0)
      return;
    auto index =
        chooseGranter(it.States, it.Granters.size(), it.LastAsked, now);
    if (!index)
      return;
    it.LastAsked = *index;
    it.IsAsking = true;
    Node *granter = find(it.Granters[*index]);
    ++Calls;
    auto call = std::make_shared<bool>(false);
    auto done =
        [this, &it, call, granters = it.Granters, index = *index, sentAt = now,
         incarnation = it.Incarnation](const std::optional<Granted> &granted) {
          if (std::exchange(*call, true) || incarnation != it.Incarnation)
            return;
          onReply(it, granters == it.Granters, index, granters[index], sentAt,
                  granted);
        };
    Later.emplace(Now + CallTimeout, [&it, done, incarnation = it.Incarnation] {
      if (it.Alive && it.Incarnation == incarnation)
        it.Inbox.push_back([done] { done(std::nullopt); });
    });
    send(it, *granter, [this, &it, granter, wanted, done] {
      auto granted = answer(*granter, wanted, 0);
      send(*granter, it, [done, granted] { done(granted); });
    });
  }

  void onReply(Node &it, bool sameGranters, std::size_t index,
               const std::string &granter, base::BootTime sentAt,
               const std::optional<Granted> &granted) {
    it.IsAsking = false;
    auto now = clock(it);
    if (granted && granted->Tokens > 0)
      addTokens(it.Tokens,
                {granted->Tokens, sentAt + tokenValidity(Usual), granter}, now);
    if (sameGranters) {
      auto &state = it.States[index];
      if (!granted) {
        state.Silent = true;
        it.SilentUntil[index] = Now + 1s;
      } else if (!granted->Grants) {
        state.NotGrantingUntil = now + 250ms;
      } else {
        state.NotGrantingUntil = {};
        if (granted->Retry > 0ns)
          state.EmptyUntil = now + granted->Retry;
      }
    }
    for (auto &operation : it.Waiting) {
      if (operation.JoinedAt <= sentAt)
        ++operation.Attempts;
    }
    serve(it);
  }

  void serve(Node &it) {
    auto now = clock(it);
    while (!it.Waiting.empty() && spendToken(it.Tokens, now)) {
      it.Waiting.pop_front();
      run();
    }
    ask(it);
    std::deque<Operation> waiting;
    for (const auto &operation : std::exchange(it.Waiting, {})) {
      if (it.IsAsking && operation.Attempts < quota::Granters)
        waiting.push_back(operation);
      else
        refuse(it);
    }
    it.Waiting = std::move(waiting);
  }

  void refuse(Node &it) {
    auto now = clock(it);
    if (refusalOf(it.States, it.Granters.size(), now).LimitReached)
      return;
    const auto &ranked = it.Ranking.ranked(quota::Name);
    auto self =
        std::ranges::find(ranked, it.Name, &GranterRanking::Candidate::Node);
    if (self != ranked.end() &&
        spendFallback(it.Fallback,
                      static_cast<std::size_t>(self - ranked.begin()), Usual,
                      now))
      run();
  }

  void run() { RunAt.push_back(Now); }

  void arrive(Node &it) {
    ++Arrived;
    auto now = clock(it);
    noteDemand(it.Tokens, now);
    if (it.Waiting.empty() && spendToken(it.Tokens, now)) {
      run();
      ask(it);
      return;
    }
    it.Waiting.push_back({now, 0});
    ask(it);
    if (!it.IsAsking) {
      it.Waiting.pop_back();
      refuse(it);
    }
  }

  void returnSurplus(Node &it) {
    for (;;) {
      auto surplus = takeSurplus(it.Tokens, tokenValidity(Usual), clock(it));
      if (surplus.Tokens == 0)
        return;
      Node *granter = find(surplus.Granter);
      send(it, *granter, [this, granter, surplus] {
        (void)answer(*granter, 0, surplus.Tokens);
      });
    }
  }

  /// Advances the simulated time by one step.
  void step() {
    Now += Step;
    while (!Later.empty() && Later.begin()->first <= Now) {
      auto first = Later.extract(Later.begin());
      first.mapped()();
    }
    for (auto &node : Nodes) {
      auto &it = *node;
      if (!runs(it))
        continue;
      for (const auto &message : std::exchange(it.Inbox, {}))
        message();
      if (Now >= it.NextSync)
        sync(it);
      if (Now % 50ms == 0ns) {
        updateRole(it);
        returnSurplus(it);
      }
      if (it.Demand <= 0)
        continue;
      std::poisson_distribution<int> arrivals(
          it.Demand * std::chrono::duration<double>(Step).count());
      for (int n = arrivals(Random); n > 0; --n)
        arrive(it);
    }
  }

  void runFor(nanoseconds time) {
    for (auto end = Now + time; Now < end;)
      step();
  }

  /// Retires the nodes that have not reached the store for a while.
  void retire() {
    if (!StoreUp)
      return;
    for (auto &it : Nodes) {
      auto record = Store.find(it->Name);
      if (record != Store.end() && !record->second.Retired &&
          Now - it->LastStoreContact > RetirementDelay) {
        record->second.Retired = true;
        ++StoreVersion;
      }
    }
  }

  /// Spreads \p rate over \p count nodes from the node \p first.
  void setDemand(double rate, std::size_t first, std::size_t count) {
    for (auto &it : Nodes)
      it->Demand = 0;
    for (std::size_t n = 0; n < count; ++n)
      Nodes[(first + n) % Nodes.size()]->Demand =
          rate / static_cast<double>(count);
  }

  /// Returns how many shares of the limit are granted now.
  std::size_t countShares() const {
    std::size_t shares = 0;
    for (const auto &it : Nodes) {
      auto confirmed = it->Known.ConfirmedAt;
      if (!runs(*it) || !isGranting(it->Role, confirmed, clock(*it)))
        continue;
      shares +=
          isGranting(it->OnlyNode, confirmed, clock(*it)) ? quota::Granters : 1;
    }
    return shares;
  }

  int countRun(nanoseconds from, nanoseconds to) const {
    auto begin = std::ranges::lower_bound(RunAt, from);
    return static_cast<int>(std::ranges::lower_bound(RunAt, to) - begin);
  }

  cluster::RateLimit Limit;
  std::mt19937 Random;
  nanoseconds Now{};
  GranterRanking Ranking0;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::multimap<nanoseconds, std::function<void()>> Later;
  bool StoreUp = true;
  std::uint64_t StoreVersion = 1;
  std::map<std::string, Record> Store;
  double LossShare = 0;
  std::vector<nanoseconds> RunAt;
  std::uint64_t Arrived = 0;
  std::uint64_t Calls = 0;
};

/// Draws one fault, or the end of one.
void drawFault(Fleet &fleet) {
  auto &node = *fleet.Nodes[static_cast<std::size_t>(
      fleet.draw(static_cast<int>(fleet.Nodes.size())))];
  switch (fleet.draw(10)) {
  case 0:
    fleet.kill(node);
    break;
  case 1:
    fleet.kill(node);
    fleet.restart(node);
    break;
  case 2:
    node.SuspendedUntil = fleet.Now + milliseconds(fleet.draw(4000));
    break;
  case 3:
    fleet.StoreUp = !fleet.StoreUp;
    break;
  case 4:
    // A part of the nodes is cut off, with or without the store.
    for (auto &it : fleet.Nodes) {
      it->Partition = fleet.draw(2);
      it->ReachesStore = it->Partition == 0;
    }
    break;
  case 5:
    for (auto &it : fleet.Nodes)
      it->Partition = fleet.draw(3);
    break;
  case 6:
    node.ReachesStore = !node.ReachesStore;
    break;
  case 7:
    fleet.LossShare = fleet.chance(0.5) ? 0.2 : 0;
    break;
  case 8:
    if (auto it = fleet.Store.find(node.Name);
        it != fleet.Store.end() && fleet.StoreUp) {
      it->second.Retired = true;
      ++fleet.StoreVersion;
    }
    break;
  default:
    fleet.StoreUp = true;
    fleet.LossShare = 0;
    for (auto &it : fleet.Nodes) {
      it->Partition = 0;
      it->ReachesStore = true;
      fleet.restart(*it);
    }
  }
}

TEST_CASE("no window exceeds the limit, whatever fails") {
  constexpr unsigned Seeds = 40;
  constexpr auto RunTime = 45s;
  constexpr auto WindowStep = 10ms;
  int windows = 0;
  int over = 0;
  double fullest = 0;
  std::size_t operations = 0;
  std::size_t mostShares = 0;
  for (unsigned seed = 1; seed <= Seeds; ++seed) {
    std::mt19937 setup(seed);
    cluster::RateLimit limit{std::array{8.0, 60.0, 400.0}[setup() % 3],
                             std::array{0.0, 10.0, 150.0}[setup() % 3]};
    Fleet fleet(3 + static_cast<int>(setup() % 10), limit, seed);
    fleet.runFor(5s);
    auto nextFault = fleet.Now;
    auto nextMove = fleet.Now;
    while (fleet.Now < RunTime) {
      if (fleet.Now >= nextFault) {
        nextFault = fleet.Now + milliseconds(50 + fleet.draw(2500));
        drawFault(fleet);
      }
      if (fleet.Now >= nextMove) {
        nextMove = fleet.Now + milliseconds(100 + fleet.draw(3000));
        fleet.setDemand(limit.Rate * (1 + fleet.draw(4)),
                        static_cast<std::size_t>(fleet.draw(100)),
                        1 + static_cast<std::size_t>(fleet.draw(
                                static_cast<int>(fleet.Nodes.size()))));
      }
      if (fleet.Now % 500ms == 0ns)
        fleet.retire();
      fleet.step();
      mostShares = std::max(mostShares, fleet.countShares());
    }
    double bound =
        (limit.Rate * 5 + limit.Burst) * (1 + Usual.Overage) + Usual.Slack;
    operations += fleet.RunAt.size();
    for (nanoseconds from = 0s; from + 5s <= RunTime; from += WindowStep) {
      int run = fleet.countRun(from, from + 5s);
      ++windows;
      over += run > bound ? 1 : 0;
      fullest = std::max(fullest, run / bound);
    }
  }
  MESSAGE(windows << " windows, " << operations
                  << " operations, fullest window " << fullest
                  << " of its bound");
  CHECK(windows >= 100'000);
  CHECK(over == 0);
  // Guards against a third granter, which a window may not show because the
  // demand at that node is low.
  CHECK(mostShares == Granters);
  // Guards against faults that are so frequent that nothing is granted.
  CHECK(fullest > 0.7);
}

TEST_CASE("what is due is granted to one node of 64") {
  for (cluster::RateLimit limit :
       {cluster::RateLimit{10, 5}, cluster::RateLimit{100, 20},
        cluster::RateLimit{1000, 100}}) {
    CAPTURE(limit.Rate);
    Fleet fleet(64, limit, 7);
    fleet.runFor(5s);
    fleet.setDemand(3 * limit.Rate, 3, 1);
    fleet.runFor(5s);
    auto from = fleet.Now;
    fleet.runFor(20s);
    double granted = fleet.countRun(from, fleet.Now) / (limit.Rate * 20);
    MESSAGE("rate " << limit.Rate << ": " << granted << " granted");
    CHECK(granted >= 0.98);
  }
}

TEST_CASE("what is due is granted in the second after the demand has moved") {
  for (cluster::RateLimit limit :
       {cluster::RateLimit{100, 20}, cluster::RateLimit{1000, 100}}) {
    CAPTURE(limit.Rate);
    Fleet fleet(64, limit, 8);
    fleet.runFor(5s);
    fleet.setDemand(2 * limit.Rate, 0, 1);
    fleet.runFor(5s);
    double least = 1;
    for (std::size_t n = 1; n <= 10; ++n) {
      fleet.setDemand(2 * limit.Rate, 7 * n, 1);
      auto from = fleet.Now;
      fleet.runFor(1s);
      least = std::min(least, fleet.countRun(from, fleet.Now) / limit.Rate);
      fleet.runFor(1s);
    }
    MESSAGE("rate " << limit.Rate << ": " << least
                    << " granted in the worst second");
    CHECK(least >= 0.95);
  }
}

TEST_CASE("demand below the limit is served in full") {
  // The burst covers the variation of the arrivals.
  for (std::size_t entry : {1U, 8U, 64U}) {
    CAPTURE(entry);
    Fleet fleet(64, {200, 100}, 9);
    fleet.runFor(8s);
    fleet.setDemand(160, 0, entry);
    fleet.runFor(1s);
    auto arrived = fleet.Arrived;
    auto from = fleet.Now;
    auto calls = fleet.Calls;
    fleet.runFor(20s);
    auto offered = static_cast<double>(fleet.Arrived - arrived);
    double served = fleet.countRun(from, fleet.Now) / offered;
    MESSAGE(entry << " nodes: " << served << " served, "
                  << static_cast<double>(fleet.Calls - calls) / offered
                  << " calls per operation");
    CHECK(served >= 0.999);
  }
}

TEST_CASE("with one granter lost, half of the limit is granted at once") {
  Fleet fleet(25, {200, 20}, 10);
  fleet.runFor(6s);
  fleet.setDemand(400, 0, 25);
  fleet.runFor(2s);
  Node *lost = fleet.find(fleet.Nodes[0]->Granters.front());
  fleet.kill(*lost);
  fleet.runFor(500ms);
  auto from = fleet.Now;
  fleet.runFor(2s);
  CHECK(fleet.countRun(from, fleet.Now) >= 0.9 * 200);
  SUBCASE("and all of it after another node has taken the place") {
    for (auto end = fleet.Now + GranterDelay + 4s; fleet.Now < end;) {
      fleet.retire();
      fleet.runFor(1s);
    }
    from = fleet.Now;
    fleet.runFor(5s);
    CHECK(fleet.countRun(from, fleet.Now) >= 0.98 * 200 * 5);
  }
}

TEST_CASE("a limit that is lowered or raised takes effect at once") {
  Fleet fleet(25, {400, 40}, 11);
  fleet.runFor(6s);
  fleet.setDemand(800, 0, 25);
  fleet.runFor(2s);
  fleet.Limit = {50, 5};
  fleet.runFor(500ms);
  auto from = fleet.Now;
  fleet.runFor(2s);
  int run = fleet.countRun(from, fleet.Now);
  CHECK(run <= 50 * 2 + 5 + 2);
  CHECK(run >= 0.9 * 50 * 2);
  fleet.Limit = {400, 40};
  fleet.runFor(500ms);
  from = fleet.Now;
  fleet.runFor(2s);
  CHECK(fleet.countRun(from, fleet.Now) >= 0.95 * 400 * 2);
}

} // namespace
} // namespace baobabpin::quota
