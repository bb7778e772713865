#include "baobabpin/soak/World.h"

#include <algorithm>

namespace baobabpin::soak {
namespace {

using FaultStart = void (*)(World &world, Duration length);

/// Ends a fault after \p length; healAll() ends all that are left.
void endLater(World &world, Duration length, const Task &end) {
  schedule(world.Sim, length, end);
}

FakeServer &anyServer(World &world) {
  auto &servers = world.Fleet.Servers;
  // The primary is the most interesting victim.
  for (auto &it : servers) {
    bool leads = it.Db.CurrentRole == standins::upstream::Role::Primary &&
                 it.Db.Term == it.Db.PromisedTerm;
    if (leads && chance(world.Sim, 0.4))
      return it;
  }
  auto last = static_cast<std::int64_t>(servers.size()) - 1;
  return servers[static_cast<std::size_t>(pick(world.Sim, 0, last))];
}

OwnerNode &anyNode(World &world) {
  auto *preferred = preferredNode(world);
  if (preferred && chance(world.Sim, 0.4))
    return *preferred;
  auto last = static_cast<std::int64_t>(world.Nodes.size()) - 1;
  return world.Nodes[static_cast<std::size_t>(pick(world.Sim, 0, last))];
}

std::size_t endPoints(const World &world) {
  return world.Fleet.Servers.size() + world.Nodes.size();
}

void cut(World &world, std::size_t from, std::size_t to, Duration length) {
  auto link = std::make_pair(from, to);
  if (!world.Sim.Network.Cuts.insert(link).second)
    return;
  endLater(world, length,
           [&world, link] { world.Sim.Network.Cuts.erase(link); });
}

void cutOneWay(World &world, Duration length) {
  auto last = static_cast<std::int64_t>(endPoints(world)) - 1;
  auto from = static_cast<std::size_t>(pick(world.Sim, 0, last));
  auto to = static_cast<std::size_t>(pick(world.Sim, 0, last));
  if (from != to)
    cut(world, from, to, length);
}

void isolateServer(World &world, Duration length) {
  auto victim = anyServer(world).Proc.Index;
  for (std::size_t n = 0; n < endPoints(world); ++n) {
    if (n == victim)
      continue;
    cut(world, n, victim, length);
    cut(world, victim, n, length);
  }
}

/// Servers cannot reach each other's primary, but nodes can, or the reverse.
void cutPrimaryPartly(World &world, Duration length) {
  auto victim = anyServer(world).Proc.Index;
  bool fromServers = chance(world.Sim, 0.5);
  for (std::size_t n = 0; n < endPoints(world); ++n) {
    bool isServer = n < world.Fleet.Servers.size();
    if (n == victim || isServer != fromServers)
      continue;
    cut(world, n, victim, length);
    cut(world, victim, n, length);
  }
}

void partitionZones(World &world, Duration length) {
  std::vector<bool> side;
  auto all = endPoints(world) + world.Callers.size();
  for (std::size_t n = 0; n < all; ++n)
    side.push_back(chance(world.Sim, 0.5));
  for (std::size_t a = 0; a < all; ++a) {
    for (std::size_t b = 0; b < all; ++b) {
      if (side[a] != side[b])
        cut(world, a, b, length);
    }
  }
}

void dropMessages(World &world, Duration length) {
  world.Sim.Network.Drop = 0.01 * static_cast<double>(pick(world.Sim, 1, 30));
  endLater(world, length, [&world] { world.Sim.Network.Drop = 0; });
}

void loseAnswers(World &world, Duration length) {
  world.Sim.Network.LoseAnswer =
      0.01 * static_cast<double>(pick(world.Sim, 5, 50));
  endLater(world, length, [&world] { world.Sim.Network.LoseAnswer = 0; });
}

void delayMessages(World &world, Duration length) {
  auto &network = world.Sim.Network;
  network.Spike = 0.01 * static_cast<double>(pick(world.Sim, 1, 30));
  network.SpikeLength = ms(pick(world.Sim, 20, 1200));
  endLater(world, length, [&world] { world.Sim.Network.Spike = 0; });
}

void pauseFor(World &world, Process &process, Duration length) {
  if (!process.Alive || process.Paused)
    return;
  pauseProcess(process);
  auto epoch = process.Epoch;
  endLater(world, length, [&process, epoch] {
    if (process.Epoch == epoch && process.Paused)
      resumeProcess(process);
  });
}

void pauseNode(World &world, Duration length) {
  pauseFor(world, anyNode(world).Proc, length);
}

void pauseServer(World &world, Duration length) {
  pauseFor(world, anyServer(world).Proc, length);
}

void restartNode(World &world, OwnerNode &node) {
  if (node.Proc.Alive)
    return;
  startNode(world.Context, node);
  startMembership(world, node);
}

void crashOneNode(World &world, Duration length) {
  auto &node = anyNode(world);
  if (!node.Proc.Alive)
    return;
  crashNode(node);
  endLater(world, length, [&world, &node] { restartNode(world, node); });
}

void crashOneServer(World &world, Duration length) {
  auto &server = anyServer(world);
  if (!server.Proc.Alive)
    return;
  crashServer(server);
  endLater(world, length, [&world, &server] {
    if (!server.Proc.Alive)
      restartServer(world.Fleet, server);
  });
}

void lagReplica(World &world, Duration length) {
  auto &server = anyServer(world);
  server.Lag = ms(pick(world.Sim, 5, 1500));
  endLater(world, length, [&server] { server.Lag = {}; });
}

void stopStore(World &world, Duration length) {
  world.StoreDown = true;
  endLater(world, length, [&world] { world.StoreDown = false; });
}

/// Not a fault: a planned stop, which reaches the owner through the store.
void planHandover(World &world, Duration) {
  auto *node = preferredNode(world);
  if (world.StoreDown || !node || !node->Proc.Alive || node->Proc.Paused)
    return;
  requestHandover(world.Context, *node);
}

struct FaultKind {
  const char *Name;
  FaultStart Start;
};

constexpr std::array Kinds{
    FaultKind{"cut_one_way", cutOneWay},
    FaultKind{"isolate_server", isolateServer},
    FaultKind{"cut_primary_partly", cutPrimaryPartly},
    FaultKind{"partition", partitionZones},
    FaultKind{"drop_messages", dropMessages},
    FaultKind{"lose_answers", loseAnswers},
    FaultKind{"delay_messages", delayMessages},
    FaultKind{"node_pause", pauseNode},
    FaultKind{"server_pause", pauseServer},
    FaultKind{"node_crash", crashOneNode},
    FaultKind{"server_crash", crashOneServer},
    FaultKind{"replica_lag", lagReplica},
    FaultKind{"store_outage", stopStore},
    FaultKind{"planned_handover", planHandover},
};

void scheduleNext(World &world);

void startOne(World &world) {
  if (world.Sim.Now >= world.FaultEnd)
    return;
  auto last = static_cast<std::int64_t>(Kinds.size()) - 1;
  const auto &kind = Kinds[static_cast<std::size_t>(pick(world.Sim, 0, last))];
  auto length = pickDuration(world.Sim, ms(30), ms(2500));
  ++world.FaultCounts[kind.Name];
  trace(world.Sim, [&] {
    return std::string("fault ") + kind.Name + " for " +
           std::to_string(length / ms(1)) + "ms";
  });
  kind.Start(world, length);
  scheduleNext(world);
}

void scheduleNext(World &world) {
  auto gap = pickDuration(world.Sim, ms(10), ms(600));
  schedule(world.Sim, gap, [&world] { startOne(world); });
}

} // namespace

void startFaults(World &world) { scheduleNext(world); }

void healAll(World &world) {
  world.Sim.Network = NetworkFaults{};
  world.StoreDown = false;
  for (auto &it : world.Fleet.Servers) {
    it.Lag = {};
    if (it.Proc.Paused)
      resumeProcess(it.Proc);
    if (!it.Proc.Alive)
      restartServer(world.Fleet, it);
  }
  for (auto &it : world.Nodes) {
    if (it.Proc.Paused)
      resumeProcess(it.Proc);
    restartNode(world, it);
  }
}

} // namespace baobabpin::soak
