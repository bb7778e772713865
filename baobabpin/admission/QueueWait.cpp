#include "baobabpin/admission/QueueWait.h"

namespace baobabpin::admission {
namespace {

/// Weight of a new interval in the moving average: one part in this many.
constexpr int IntervalWeight = 8;

} // namespace

void noteGrant(QueuePace &pace, base::BootTime now, bool moreWaiting) {
  if (pace.LastGrant) {
    auto interval = now - *pace.LastGrant;
    if (pace.Interval == std::chrono::nanoseconds(0))
      pace.Interval = interval;
    else
      pace.Interval += (interval - pace.Interval) / IntervalWeight;
  }
  // The time until work arrives at an empty queue says nothing about its pace.
  pace.LastGrant = moreWaiting ? std::optional(now) : std::nullopt;
}

std::chrono::nanoseconds expectedWait(const QueuePace &pace,
                                      std::size_t ahead) {
  return pace.Interval * static_cast<std::int64_t>(ahead + 1);
}

bool isHopeless(std::chrono::nanoseconds expectedWait,
                std::chrono::nanoseconds timeLeft) {
  return 2 * expectedWait > timeLeft;
}

} // namespace baobabpin::admission
