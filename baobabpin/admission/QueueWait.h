/// How long work that joins a queue will wait, and whether that is too long.
///
/// Load pattern: a server gets more work than its slots can do, for seconds.
/// Without a refusal every request waits almost until its deadline, is then
/// worked on for nobody, and is asked again by its client: the queue stays full
/// after the cause is gone. A short queue serves the same number of requests,
/// early enough, and tells the others at once.
///
/// \code
///   if (isHopeless(expectedWait(pace, ahead), timeLeft))
///     refuse();
///   ...
///   noteGrant(pace, now, !queue.empty());
/// \endcode
#pragma once

#include "baobabpin/base/BootClock.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace baobabpin::admission {

/// How fast a queue advances.
struct QueuePace {
  /// Moving average of the time between two grants while work waits.
  std::chrono::nanoseconds Interval{0};
  /// The last grant, if work was left waiting then.
  std::optional<base::BootTime> LastGrant;
};

/// Notes that work left the queue; \p moreWaiting: there is more.
void noteGrant(QueuePace &pace, base::BootTime now, bool moreWaiting);

/// Of new work with \p ahead requests before it.
std::chrono::nanoseconds expectedWait(const QueuePace &pace, std::size_t ahead);

/// Whether work that may take \p timeLeft should be refused rather than wait.
/// Half of the time is left for the server, for another try elsewhere and for
/// the error of the estimate.
bool isHopeless(std::chrono::nanoseconds expectedWait,
                std::chrono::nanoseconds timeLeft);

} // namespace baobabpin::admission
