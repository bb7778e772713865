/// Which nodes hold connections to a server.
///
/// With plenty of connections each node has its own. With few, a server has an
/// owner among the nodes, in the server's own zone where possible; the others
/// send their statements through it. The owner sees all work for the server's
/// slots, and the connections that a server still counts for a host that lost
/// power leave room for those that the host opens after its restart.
#pragma once

#include "baobabpin/cluster/Types.h"

#include <string>
#include <vector>

namespace baobabpin::cluster {

/// A server with at least this many connections for each node is used directly.
inline constexpr int DirectConnectionsPerNode = 3;
/// Owners that are tried before a node connects by itself. In a large fleet no
/// other node does, because all would at once, and a refused connection costs
/// the server as much as an accepted one; more owners are tried there.
inline constexpr std::size_t OwnerCandidates = 2;
inline constexpr std::size_t LargeFleetOwnerCandidates = 4;

/// \p nodes includes this node.
bool usesDirectConnections(int serverLimit, int nodes);

/// The nodes that may own the server's connections, best first: nodes of the
/// server's zone, more often the stronger ones, because an owner carries all
/// work of its server. Every node with the same list of nodes comes to the same
/// result.
std::vector<std::string> rankOwners(const ServerRegistration &server,
                                    const std::vector<NodePlacement> &nodes);

} // namespace baobabpin::cluster
