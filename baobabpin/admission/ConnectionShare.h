/// How many connections one group owner may hold to one upstream server.
#pragma once

namespace baobabpin::admission {

struct ServerLimits {
  unsigned Slots = 2;        ///< Statements that run at once.
  unsigned Connections = 15; ///< Connections the server accepts in all.
};

/// At most a third of the server's limit: while membership views diverge, up to
/// three nodes may consider themselves the owner. At least 2, one of them for
/// control calls.
unsigned connectionShare(const ServerLimits &limits);

} // namespace baobabpin::admission
