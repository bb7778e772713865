/// How many connections one group owner may hold to one upstream server.
#pragma once

namespace baobabpin::admission {

struct ServerLimits {
  unsigned Slots = 2;        ///< Statements that run at the same time.
  unsigned Connections = 15; ///< Connections that the server accepts in total.
};

/// Returns at most a third of the server's limit, because up to three nodes may
/// consider themselves the owner while membership views diverge. It is never
/// less than 2, one of them for control calls.
unsigned connectionShare(const ServerLimits &limits);

} // namespace baobabpin::admission
