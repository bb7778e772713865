/// Estimates how long a request that joins a queue will wait, and decides
/// whether to refuse the request instead.
///
/// Refusing prevents an overload from outlasting its cause. When a server gets
/// more work than its slots can do for some seconds and nothing is refused,
/// every request waits almost until its deadline. Its client has given up when
/// the server runs it, and sends it again, so the queue stays full. A short
/// queue serves the same number of requests in time and refuses the others at
/// once.
///
/// \code
///   if (shouldRefuse(expectedWait(rate, ahead), timeLeft))
///     refuse();
///   ...
///   recordGrant(rate, now, !queue.empty()); // A request left the queue.
/// \endcode
#pragma once

#include "baobabpin/base/BootClock.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace baobabpin::admission {

/// The rate at which requests leave a queue.
struct GrantRate {
  /// Moving average of the time between two grants while requests wait.
  std::chrono::nanoseconds MeanInterval{0};
  /// The time of the last grant, if requests were still waiting after it.
  std::optional<base::BootTime> LastGrant;
};

/// Records that a request left the queue at \p now. \p moreWaiting says whether
/// other requests are still waiting.
void recordGrant(GrantRate &rate, base::BootTime now, bool moreWaiting);

/// The expected wait of a new request with \p ahead requests before it.
std::chrono::nanoseconds expectedWait(const GrantRate &rate, std::size_t ahead);

/// Whether a request that has to be finished within \p timeLeft should be
/// refused instead of queued. The wait may use half of that time; the other
/// half is left for the server's work, for a retry elsewhere and for the error
/// of the estimate.
bool shouldRefuse(std::chrono::nanoseconds expectedWait,
                  std::chrono::nanoseconds timeLeft);

/// Whether work that would be done within \p wait misses its target, of which
/// \p targetLeft is left, and should be refused for that. While other work that
/// has missed its target waits, capacity is used by work that can still meet
/// its own, and more late work would wait in vain.
bool shouldRefuseLate(std::chrono::nanoseconds wait,
                      std::chrono::nanoseconds targetLeft, bool lateWorkWaits);

} // namespace baobabpin::admission
