/// Finds the node through which statements reach a server, and keeps the
/// channels to those nodes.
#pragma once

#include "baobabpin/cluster/ConnectionPlan.h"
#include "baobabpin/control/ClusterService.h"
#include "baobabpin/relay/Channel.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace baobabpin::frontend {

using ChannelPtr = std::shared_ptr<relay::Channel>;

enum class ServerReach {
  Direct,  ///< All nodes connect to the server.
  Owner,   ///< This node owns the server's connections.
  Standby, ///< This node takes over when the owners before it are gone.
  Guest,   ///< Other nodes own them.
};

class Owners {
public:
  Owners(kernel::EventLoop &loop, kernel::LineLog &log,
         control::ClusterService &cluster);

  /// Forgets what was derived from the list of nodes.
  void refresh();
  /// Gives up owners that are silent.
  void tick(base::BootTime now);
  ServerReach reach(const cluster::ServerRegistration &server);
  /// The channel to the server's owner. Null when this node is the owner, or no
  /// owner can be reached.
  ChannelPtr channelFor(const cluster::ServerRegistration &server);
  /// Whether this node may connect for its clients' work if no owner can be
  /// reached.
  bool mayConnect(const cluster::ServerRegistration &server);

private:
  struct Peer {
    ChannelPtr Channel;
    base::BootTime RetryAt{};
  };

  const std::vector<std::string> &
  ownersOf(const cluster::ServerRegistration &server);
  ChannelPtr channelTo(const std::string &node, base::BootTime now);

  kernel::EventLoop &Loop;
  kernel::LineLog &Log;
  control::ClusterService &Cluster;
  std::map<base::ServerId, std::vector<std::string>> Ranked;
  std::map<std::string, Peer> Peers;
};

} // namespace baobabpin::frontend
