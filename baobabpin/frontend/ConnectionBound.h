/// Bounds the client connections that a node accepts.
///
/// The load: a flood of connections that open no session. Without a bound it
/// takes all file descriptors of the process, and the node reaches neither
/// servers nor other nodes.
#pragma once

#include <optional>

namespace baobabpin::frontend {

/// The file descriptors that a process needs for files and event queues.
inline constexpr int FileDescriptors = 200;
/// The connections between a node and each other one: calls and relayed
/// statements in both directions.
inline constexpr int ConnectionsPerNode = 4;
/// The least number of descriptors that are kept for servers.
inline constexpr int ServerDescriptors = 64;

/// Returns how many client connections a node accepts that may have
/// \p maxDescriptors descriptors in a fleet of \p nodes nodes. A quarter of the
/// descriptors for connections, and more in a large fleet, is kept for servers
/// and other nodes, but at most a half. Returns nothing if \p maxDescriptors is
/// not known (0).
std::optional<int> clientConnectionBound(int maxDescriptors, int nodes);

} // namespace baobabpin::frontend
