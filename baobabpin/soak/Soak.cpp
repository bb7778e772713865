#include "baobabpin/soak/Soak.h"

#include "baobabpin/soak/World.h"

#include <algorithm>

namespace baobabpin::soak {
namespace {

constexpr Duration LivenessBound = std::chrono::seconds(30);
constexpr Duration LivenessStep = ms(100);
/// Answered writes after the faults that count as recovery.
constexpr std::uint64_t WritesAfterFaults = 5;
/// Clock rates of nodes differ from true time by at most this, in ppm.
constexpr std::int64_t RatePpm = 1000;

void addServers(World &world, std::size_t count) {
  auto &fleet = world.Fleet;
  fleet.Sim = &world.Sim;
  fleet.Check = &world.Check;
  fleet.Disabled = world.Options.Disabled;
  for (std::size_t n = 0; n < count; ++n) {
    auto &server = fleet.Servers.emplace_back();
    server.Proc.Name = std::string(1, static_cast<char>('a' + n));
    server.Proc.Index = n;
    standins::upstream::OpenOptions options{.Server = server.Proc.Name};
    server.Db = standins::upstream::openDatabase(options, world.Sim.Now);
    world.Context.Config.Servers.push_back(
        {server.Proc.Name, "zone-" + std::to_string(n % 3)});
  }
  world.Check.Mirrors.resize(count);
}

void addNodes(World &world, std::size_t count) {
  for (std::size_t n = 0; n < count; ++n) {
    auto &node = world.Nodes.emplace_back();
    node.Proc.Name = "n" + std::to_string(n);
    node.Proc.Index = world.Fleet.Servers.size() + n;
    auto ppm = static_cast<double>(pick(world.Sim, -RatePpm, RatePpm));
    node.Rate = 1 + ppm / 1e6;
    node.Offset = ms(pick(world.Sim, 0, 100000));
  }
}

void addCallers(World &world, unsigned count) {
  for (unsigned n = 0; n < count; ++n) {
    auto &caller = world.Callers.emplace_back();
    caller.Proc.Name = "c" + std::to_string(n);
    caller.Proc.Index = world.Fleet.Servers.size() + world.Nodes.size() + n;
    caller.Session = n;
  }
}

void build(World &world) {
  auto &sim = world.Sim;
  sim.Rng.seed(world.Options.Seed);
  sim.Tracing = world.Options.Tracing;
  sim.Network.Jitter = ms(pick(sim, 1, 5));
  auto &context = world.Context;
  context.Sim = &sim;
  context.Fleet = &world.Fleet;
  context.Check = &world.Check;
  context.Disabled = world.Options.Disabled;
  context.Config.Group = "group-" + std::to_string(world.Options.Seed % 7);
  context.Config.Policy = world.Options.Policy;
  addServers(world, chance(sim, 0.7) ? 3 : 5);
  addNodes(world, static_cast<std::size_t>(pick(sim, 2, 4)));
  addCallers(world, static_cast<unsigned>(pick(sim, 2, 6)));
  world.FaultEnd = sim.Now + ms(world.Options.Steps);
}

void start(World &world) {
  for (auto &it : world.Fleet.Servers)
    startReplication(world.Fleet, it);
  for (auto &it : world.Nodes) {
    startNode(world.Context, it);
    startMembership(world, it);
  }
  for (auto &it : world.Callers)
    startCaller(world, it);
  startFaults(world);
}

FakeServer *leadingServer(World &world) {
  FakeServer *best = nullptr;
  for (auto &it : world.Fleet.Servers) {
    if (it.Db.CurrentRole != standins::upstream::Role::Primary)
      continue;
    if (!best || it.Db.Term > best->Db.Term)
      best = &it;
  }
  return best;
}

/// Whether the group accepts writes and every server follows again.
bool hasRecovered(World &world) {
  auto *leader = leadingServer(world);
  if (!leader || world.AckedAfterFaults < WritesAfterFaults)
    return false;
  return std::ranges::all_of(world.Fleet.Servers, [&](const FakeServer &it) {
    return it.Db.Term == leader->Db.Term &&
           standins::upstream::lastPosition(it.Db) >= world.LastAck;
  });
}

Duration awaitRecovery(World &world) {
  auto end = world.Sim.Now + LivenessBound;
  auto begun = world.Sim.Now;
  while (!hasRecovered(world)) {
    if (world.Sim.Now >= end)
      throw Violation(Invariant::Liveness,
                      "30 s after the faults " +
                          std::to_string(world.AckedAfterFaults) +
                          " writes were acknowledged, or a server is behind");
    runUntil(world.Sim, world.Sim.Now + LivenessStep);
  }
  return world.Sim.Now - begun;
}

Duration runPhases(World &world) {
  start(world);
  runUntil(world.Sim, world.FaultEnd);
  healAll(world);
  trace(world.Sim, [] { return std::string("all faults ended"); });
  auto recovery = awaitRecovery(world);
  world.CallersStopped = true;
  checkSurvivingHistory(world.Check, leadingServer(world)->Db);
  return recovery;
}

void collect(const World &world, SoakResult &result) {
  result.Counters = world.Context.Counters;
  result.Faults = world.FaultCounts;
  result.Acked = world.Check.Acked.size();
  result.Reads = world.Check.Reads;
  result.ReplicaReads = world.Check.ReplicaReads;
  result.PositionsLost = world.Check.Lost.size();
  result.NotRun = world.NotRun;
  result.Unknown = world.Unknown;
  result.Messages = world.Sim.Delivered;
  for (const auto &it : world.Fleet.Servers)
    result.Truncations += it.Truncations;
  result.Faults["messages_dropped"] = world.Sim.Dropped;
  result.Faults["answers_lost_after_effect"] = world.Sim.AnswersLost;
  result.Trace.assign(world.Sim.Trace.begin(), world.Sim.Trace.end());
}

} // namespace

SoakResult runSoak(const SoakOptions &options) {
  World world;
  world.Options = options;
  SoakResult result;
  try {
    build(world);
    result.Recovery = runPhases(world);
  } catch (const Violation &violation) {
    result.Violation = violation.what();
    result.Which = violation.Which;
  }
  collect(world, result);
  return result;
}

void addResult(SoakResult &sum, const SoakResult &one) {
  for (std::size_t n = 0; n < std::size(sum.Counters.Promotions); ++n)
    sum.Counters.Promotions[n] += one.Counters.Promotions[n];
  sum.Counters.PromotionsFinished += one.Counters.PromotionsFinished;
  sum.Counters.PromotionsFailed += one.Counters.PromotionsFailed;
  sum.Counters.FalsePromotions += one.Counters.FalsePromotions;
  sum.Counters.HandoversDone += one.Counters.HandoversDone;
  sum.Counters.HandoversFailed += one.Counters.HandoversFailed;
  sum.Counters.OwnPauses += one.Counters.OwnPauses;
  sum.Counters.Unfit += one.Counters.Unfit;
  sum.Counters.Requests += one.Counters.Requests;
  for (const auto &[name, count] : one.Faults)
    sum.Faults[name] += count;
  sum.Acked += one.Acked;
  sum.Reads += one.Reads;
  sum.ReplicaReads += one.ReplicaReads;
  sum.PositionsLost += one.PositionsLost;
  sum.NotRun += one.NotRun;
  sum.Unknown += one.Unknown;
  sum.Truncations += one.Truncations;
  sum.Messages += one.Messages;
  sum.Recovery = std::max(sum.Recovery, one.Recovery);
}

} // namespace baobabpin::soak
