#include "baobabpin/admission/QueueWait.h"

namespace baobabpin::admission {
namespace {

/// Weight of a new interval in the moving average: one part in this many.
constexpr int IntervalWeight = 8;

} // namespace

void recordGrant(GrantRate &rate, base::BootTime now, bool moreWaiting) {
  if (rate.LastGrant) {
    auto interval = now - *rate.LastGrant;
    if (rate.MeanInterval == std::chrono::nanoseconds(0))
      rate.MeanInterval = interval;
    else
      rate.MeanInterval += (interval - rate.MeanInterval) / IntervalWeight;
  }
  // While the queue is empty, the time until the next grant depends on arrivals
  // and does not measure the grant rate.
  rate.LastGrant = moreWaiting ? std::optional(now) : std::nullopt;
}

std::chrono::nanoseconds expectedWait(const GrantRate &rate,
                                      std::size_t ahead) {
  return rate.MeanInterval * static_cast<std::int64_t>(ahead + 1);
}

bool shouldRefuse(std::chrono::nanoseconds expectedWait,
                  std::chrono::nanoseconds timeLeft) {
  return 2 * expectedWait > timeLeft;
}

bool shouldRefuseLate(std::chrono::nanoseconds wait,
                      std::chrono::nanoseconds targetLeft, bool lateWorkWaits) {
  return lateWorkWaits && wait > targetLeft;
}

} // namespace baobabpin::admission
