/// Decisions of a connection pool, apart from its connections.
#pragma once

#include "baobabpin/base/BootClock.h"

#include <chrono>
#include <cstddef>
#include <limits>

namespace baobabpin::pooling {

/// How many connections to one server a node may hold. All nodes together share
/// the server's limit: each is sure of Guaranteed, and borrows up to Most while
/// the server accepts more.
struct ConnectionShare {
  int Guaranteed = 1;
  int Most = 1;
  /// Single statements that run at the same time. More would wait at the
  /// server, which knows no priorities, and would need connections for it.
  int Statements = std::numeric_limits<int>::max();
  /// Connections that transactions leave to single statements. A transaction
  /// keeps its connection through the pauses of its client.
  int Reserved = 0;

  bool operator==(const ConnectionShare &) const = default;
};

/// The share of each of \p nodes nodes that all connect to the server.
ConnectionShare shareConnections(int serverLimit, int nodes);

/// The share of the node that owns the connections of a server with \p slots
/// slots. The rest is for nodes that do not reach the owner, and for the
/// owner's own connections that the server still counts after the owner's host
/// lost power.
ConnectionShare ownerShare(int serverLimit, int slots);

/// The share of a node that only asks the server for its state.
inline constexpr ConnectionShare ProbeShare{.Guaranteed = 0, .Most = 1};

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

/// What a connection is wanted for.
enum class Work {
  Statement,   ///< One statement outside of a transaction.
  Transaction, ///< A transaction, until it ends.
  Probe,       ///< A short statement of the proxy's own; never made to wait.
};

/// How the open connections of a pool are used.
struct PoolUse {
  int Open = 0;
  int Statements = 0;
  int Transactions = 0;
};

/// Whether an idle connection may be given to such work now.
bool mayGrant(const PoolUse &use, const ConnectionShare &share, Work work);

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
