/// Decides which nodes hold connections to a server.
///
/// When a server accepts enough connections, every node holds its own.
/// Otherwise one node owns the connections of the server, in the server's zone
/// where possible, and the other nodes relay their statements through the
/// owner. The owner thus sees all work for the slots of the server. It also
/// leaves some connections unused: a server still counts the connections of a
/// host that lost power, and the host needs others after its restart.
#pragma once

#include "baobabpin/cluster/Types.h"

#include <string>
#include <vector>

namespace baobabpin::cluster {

/// The number of owners that a node tries before it connects to the server
/// itself. In a large fleet only the owners connect, because otherwise all
/// nodes would connect at once, and a refused connection costs the server as
/// much as an accepted one. More owners are tried there instead.
inline constexpr std::size_t OwnerCandidates = 2;
inline constexpr std::size_t LargeFleetOwnerCandidates = 4;

/// Returns whether every node holds its own connections to a server that
/// accepts \p serverLimit connections and runs \p slots statements at the same
/// time. \p nodes counts all nodes, this one included. A node needs one
/// connection for each slot, and one more because a transaction keeps its
/// connection while its client pauses.
bool usesDirectConnections(int serverLimit, int slots, int nodes);

/// Returns the nodes that may own the connections of \p server, in the order of
/// preference: nodes of the server's zone first. A node of higher capacity is
/// more often the first, because an owner runs all work of its server. The
/// result is the same on every node with the same list of nodes.
std::vector<std::string> rankOwners(const ServerRegistration &server,
                                    const std::vector<NodePlacement> &nodes);

} // namespace baobabpin::cluster
