/// Determines which node owns the connections of a server, and keeps the
/// channels to the owners, through which other nodes send their statements.
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

/// This node's role for the connections of one server.
enum class ConnectionRole {
  Direct,   ///< Every node has connections of its own to the server.
  Owner,    ///< This node owns the server's connections.
  Standby,  ///< This node takes over when the owners ranked before it are gone.
  NonOwner, ///< Other nodes are owner and standby.
};

/// Whether a node reaches a server.
enum class Reach {
  Works,   ///< By its own connections, or through an owner.
  Lost,    ///< The channels to its owners were lost.
  Unknown, ///< No channel to an owner has been used yet.
};

class OwnerChannels {
public:
  OwnerChannels(kernel::EventLoop &loop, kernel::LineLog &log,
                control::ClusterService &cluster);

  /// Discards the computed owners and obsolete channels after the list of nodes
  /// changed.
  void refresh();
  /// Closes channels to owners that have stopped replying.
  void tick(base::BootTime now);
  ConnectionRole roleFor(const cluster::ServerRegistration &server);
  /// The channel to the server's owner. Null when this node is the owner, when
  /// all nodes connect directly, or when no owner can be reached.
  ChannelPtr channelFor(const cluster::ServerRegistration &server);
  /// Whether this node may connect to the server to run its clients' statements
  /// if no owner can be reached.
  bool mayConnect(const cluster::ServerRegistration &server);
  /// Returns whether this node reaches the server. A channel works if anything
  /// was received on it; until then, a channel that replaces a lost one says
  /// nothing.
  Reach reachOf(const cluster::ServerRegistration &server);

private:
  struct Peer {
    ChannelPtr Channel;
    base::BootTime RetryAt{};
    /// A channel to the node was lost.
    bool Lost = false;
  };

  const std::vector<std::string> &
  ownersOf(const cluster::ServerRegistration &server);
  ChannelPtr channelTo(const std::string &node, base::BootTime now);

  kernel::EventLoop &Loop;
  kernel::LineLog &Log;
  control::ClusterService &Cluster;
  std::map<base::ServerId, std::vector<std::string>> RankedCandidates;
  std::map<std::string, Peer> Peers;
};

} // namespace baobabpin::frontend
