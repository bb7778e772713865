#include "baobabpin/frontend/Owners.h"

#include <algorithm>
#include <utility>

namespace baobabpin::frontend {
namespace {

/// An owner that failed is tried again after this.
constexpr std::chrono::milliseconds OwnerRetryDelay{700};

} // namespace

Owners::Owners(kernel::EventLoop &loop, kernel::LineLog &log,
               control::ClusterService &cluster)
    : Loop(loop), Log(log), Cluster(cluster) {}

void Owners::refresh() {
  Ranked.clear();
  std::erase_if(Peers, [&](const auto &it) {
    return !Cluster.view().Nodes.contains(it.first);
  });
}

void Owners::tick(base::BootTime now) {
  for (auto &[node, it] : Peers) {
    if (it.Channel)
      it.Channel->checkLiveness(now);
  }
}

const std::vector<std::string> &
Owners::ownersOf(const cluster::ServerRegistration &server) {
  auto [it, added] = Ranked.emplace(server.Id, std::vector<std::string>());
  if (!added)
    return it->second;
  it->second = cluster::rankOwners(server, Cluster.nodePlacements());
  return it->second;
}

ServerReach Owners::reach(const cluster::ServerRegistration &server) {
  const auto *config = Cluster.configuration();
  auto group = config ? config->Groups.find(server.Group)
                      : decltype(config->Groups.end()){};
  if (!config || group == config->Groups.end())
    return ServerReach::Direct;
  int nodes = static_cast<int>(Cluster.view().Nodes.size());
  if (cluster::usesDirectConnections(group->second.MaxConnections, nodes))
    return ServerReach::Direct;
  const auto &owners = ownersOf(server);
  auto rank = std::ranges::find(owners, Cluster.self().Node);
  if (rank == owners.begin())
    return ServerReach::Owner;
  return rank == owners.end() ? ServerReach::Guest : ServerReach::Standby;
}

bool Owners::mayConnect(const cluster::ServerRegistration &server) {
  return !Cluster.plan().Large || reach(server) != ServerReach::Guest;
}

ChannelPtr Owners::channelFor(const cluster::ServerRegistration &server) {
  auto own = reach(server);
  if (own == ServerReach::Direct || own == ServerReach::Owner)
    return nullptr;
  auto now = base::BootClock::now();
  for (const auto &node : ownersOf(server)) {
    if (node == Cluster.self().Node)
      return nullptr;
    if (ChannelPtr channel = channelTo(node, now))
      return channel;
  }
  return nullptr;
}

ChannelPtr Owners::channelTo(const std::string &node, base::BootTime now) {
  Peer &peer = Peers[node];
  if (peer.Channel && peer.Channel->isLeaving())
    return nullptr;
  if (peer.Channel && peer.Channel->isOpen())
    return peer.Channel;
  if (peer.Channel) {
    Log.line("owner_lost").add("node", node);
    peer.Channel.reset();
    peer.RetryAt = now + OwnerRetryDelay;
  }
  auto record = Cluster.view().Nodes.find(node);
  if (now < peer.RetryAt || record == Cluster.view().Nodes.end())
    return nullptr;
  peer.Channel = relay::Channel::open(Loop, record->second.Value.Relay);
  return peer.Channel;
}

} // namespace baobabpin::frontend
