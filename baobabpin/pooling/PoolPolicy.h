/// The rules by which a connection pool opens, grants and closes connections,
/// as functions of its counts.
#pragma once

#include "baobabpin/base/BootClock.h"

#include <chrono>
#include <cstddef>
#include <limits>

namespace baobabpin::pooling {

/// How many connections to one server a node may hold. All nodes share the
/// server's limit: each node may always hold Guaranteed connections. It may
/// borrow more, up to Maximum in total, as long as the server accepts them.
struct ConnectionShare {
  int Guaranteed = 1;
  int Maximum = 1;
  /// Single statements that may be in flight at the same time. More of them
  /// would wait at the server, which has no priorities, and each would occupy a
  /// connection while waiting.
  int Statements = std::numeric_limits<int>::max();
  /// Connections reserved for single statements. Transactions must not use all
  /// connections, because each keeps its connection while its client pauses.
  int Reserved = 0;

  bool operator==(const ConnectionShare &) const = default;
};

/// The share of each node when all of \p nodes nodes connect to the server.
ConnectionShare shareConnections(int serverLimit, int nodes);

/// The share of the node that owns the connections of a server that runs
/// \p slots statements at the same time. The remaining connections are left to
/// nodes that cannot reach the owner, and to old connections of the owner that
/// the server still counts after the owner's host lost power.
ConnectionShare ownerShare(int serverLimit, int slots);

/// The share of a node that connects to the server only for probes.
inline constexpr ConnectionShare ProbeShare{.Guaranteed = 0, .Maximum = 1};

/// The share of a node that sends its statements through the owner as long as
/// an owner can be reached.
ConnectionShare nonOwnerShare(int serverLimit);

/// Delay before the next connection after the server refused \p refusals of
/// them in a row because of its limit. Another node frees a connection after
/// about the duration of a transaction. Until one succeeds, they are opened one
/// at a time, because a refused connection costs the server as much as an
/// accepted one.
std::chrono::milliseconds limitBackoff(int refusals);
/// Delay before the next connection after one could not be opened for another
/// reason.
inline constexpr std::chrono::milliseconds FailureBackoff{200};
/// A borrowed connection that has been idle for longer than this is closed,
/// unless it belongs to an organisation. Closing earlier would cost too much,
/// because opening a connection occupies a slot of the server.
inline constexpr std::chrono::milliseconds BorrowedIdleLimit{1500};

/// What a connection is requested for.
enum class WorkKind {
  Statement,   ///< One statement outside of a transaction.
  Transaction, ///< A transaction, until it ends.
  Probe, ///< A short statement of the proxy itself; gets any idle connection.
};

/// The number of open connections of a pool, and of those in use by single
/// statements and by transactions.
struct PoolUse {
  int Open = 0;
  int Statements = 0;
  int Transactions = 0;
};

/// Whether an idle connection may be granted to work of this kind now.
bool mayGrant(const PoolUse &use, const ConnectionShare &share, WorkKind work);

/// The same where connections belong to organisations. Those of others are idle
/// without being of use to this work, so transactions are limited by the number
/// of connections that could be open.
bool mayGrantToOrganisation(const PoolUse &use, const ConnectionShare &share,
                            WorkKind work);

/// The number of connections that may be opened at the same time to a server
/// with \p slots slots. \p byOrganisation: the connections belong to
/// organisations, so that many may be needed at once after an outage. \p
/// refused: the server has refused the latest connection because of its limit.
int openingLimit(int slots, bool byOrganisation, bool refused);

/// Whether to abort a transaction whose client has run no statement for \p
/// rest, because other work waits for a connection and none can be opened. \p
/// usualRest is the average time between two statements of a transaction.
bool mayReclaim(std::chrono::nanoseconds rest,
                std::chrono::nanoseconds usualRest);

/// The number of connections of a pool that are open or being opened, and the
/// number of waiting requests that one more connection would help.
struct PoolCounts {
  int Open = 0;
  int Opening = 0;
  int Waiting = 0;
};

/// Whether to open one more connection for the waiting requests.
bool shouldOpen(const PoolCounts &counts, const ConnectionShare &share,
                base::BootTime backoffUntil, base::BootTime now);

/// Whether to close a connection that has been idle for \p idleFor.
bool shouldCloseIdle(const PoolCounts &counts, const ConnectionShare &share,
                     std::chrono::nanoseconds idleFor);

} // namespace baobabpin::pooling
