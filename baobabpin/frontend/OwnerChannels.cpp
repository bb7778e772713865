#include "baobabpin/frontend/OwnerChannels.h"

#include <algorithm>
#include <utility>

namespace baobabpin::frontend {
namespace {

/// How long a node whose channel failed is not tried again.
constexpr std::chrono::milliseconds OwnerRetryDelay{700};

} // namespace

OwnerChannels::OwnerChannels(kernel::EventLoop &loop, kernel::LineLog &log,
                             control::ClusterService &cluster)
    : Loop(loop), Log(log), Cluster(cluster) {}

void OwnerChannels::refresh() {
  RankedCandidates.clear();
  std::erase_if(Peers, [&](const auto &it) {
    return !Cluster.view().Nodes.contains(it.first);
  });
}

void OwnerChannels::tick(base::BootTime now) {
  for (auto &[node, it] : Peers) {
    if (it.Channel)
      it.Channel->checkLiveness(now);
  }
}

const std::vector<std::string> &
OwnerChannels::ownersOf(const cluster::ServerRegistration &server) {
  auto [it, added] =
      RankedCandidates.emplace(server.Id, std::vector<std::string>());
  if (!added)
    return it->second;
  it->second = cluster::rankOwners(server, Cluster.nodePlacements());
  return it->second;
}

ConnectionRole
OwnerChannels::roleFor(const cluster::ServerRegistration &server) {
  const auto *config = Cluster.configuration();
  auto group = config ? config->Groups.find(server.Group)
                      : decltype(config->Groups.end()){};
  if (!config || group == config->Groups.end())
    return ConnectionRole::Direct;
  int nodes = static_cast<int>(Cluster.view().Nodes.size());
  if (cluster::usesDirectConnections(group->second.MaxConnections, server.Slots,
                                     nodes))
    return ConnectionRole::Direct;
  const auto &owners = ownersOf(server);
  auto rank = std::ranges::find(owners, Cluster.self().Node);
  if (rank == owners.begin())
    return ConnectionRole::Owner;
  return rank == owners.end() ? ConnectionRole::NonOwner
                              : ConnectionRole::Standby;
}

Reach OwnerChannels::reachOf(const cluster::ServerRegistration &server) {
  if (roleFor(server) != ConnectionRole::NonOwner)
    return Reach::Works;
  bool lost = false;
  for (const auto &node : ownersOf(server)) {
    auto it = Peers.find(node);
    if (it == Peers.end())
      continue;
    const Peer &peer = it->second;
    bool open = peer.Channel && peer.Channel->isOpen();
    if (open && peer.Channel->hasReceived())
      return Reach::Works;
    lost = lost || peer.Lost || (peer.Channel && !open);
  }
  return lost ? Reach::Lost : Reach::Unknown;
}

bool OwnerChannels::mayConnect(const cluster::ServerRegistration &server) {
  return !Cluster.plan().Large || roleFor(server) != ConnectionRole::NonOwner;
}

ChannelPtr
OwnerChannels::channelFor(const cluster::ServerRegistration &server) {
  auto role = roleFor(server);
  if (role == ConnectionRole::Direct || role == ConnectionRole::Owner)
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

ChannelPtr OwnerChannels::channelTo(const std::string &node,
                                    base::BootTime now) {
  Peer &peer = Peers[node];
  if (peer.Channel && peer.Channel->isOpen())
    return peer.Channel->isLeaving() ? nullptr : peer.Channel;
  if (peer.Channel) {
    Log.line("owner_lost").add("node", node);
    peer.Channel.reset();
    peer.Lost = true;
    peer.RetryAt = now + OwnerRetryDelay;
  }
  auto record = Cluster.view().Nodes.find(node);
  if (now < peer.RetryAt || record == Cluster.view().Nodes.end())
    return nullptr;
  peer.Channel = relay::Channel::open(Loop, record->second.Value.Relay);
  return peer.Channel;
}

} // namespace baobabpin::frontend
