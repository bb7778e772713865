/// Decisions of a connection pool, apart from its connections.
#pragma once

#include "baobabpin/base/BootClock.h"

#include <chrono>
#include <cstddef>

namespace baobabpin::pooling {

/// How many connections to one server a node may hold. All nodes together share
/// the server's limit: each is sure of Guaranteed, and borrows up to Most while
/// the server accepts more.
struct ConnectionShare {
  int Guaranteed = 1;
  int Most = 1;

  bool operator==(const ConnectionShare &) const = default;
};

/// The share of each of \p nodes nodes that all connect to the server.
ConnectionShare shareConnections(int serverLimit, int nodes);

/// The share of the node that owns the server's connections. The rest is for
/// nodes that do not reach the owner, and for the owner's own connections that
/// the server still counts after the owner's host lost power.
ConnectionShare ownerShare(int serverLimit);

/// The share of a node that only asks the server for its state.
inline constexpr ConnectionShare ProbeShare{0, 1};

/// The share of a node that sends its work through the owner while it can.
ConnectionShare guestShare(int serverLimit);

/// After the server refused a connection for its limit, no node has one to
/// spare for about as long as a transaction lasts.
inline constexpr std::chrono::milliseconds LimitBackoff{250};
/// After a connection could not be made.
inline constexpr std::chrono::milliseconds FailureBackoff{200};
/// A borrowed connection that is idle for this long is given back. Opening one
/// costs the server 12 ms of a slot.
inline constexpr std::chrono::milliseconds BorrowedIdleLimit{1500};

struct PoolCounts {
  int Open = 0;
  int Opening = 0;
  int Waiting = 0;
};

/// Whether to open one more connection for waiting work.
bool shouldOpen(const PoolCounts &counts, const ConnectionShare &share,
                base::BootTime backoffUntil, base::BootTime now);

/// Whether an idle connection should be closed.
bool shouldGiveBack(const PoolCounts &counts, const ConnectionShare &share,
                    std::chrono::nanoseconds idleFor);

} // namespace baobabpin::pooling
