#include "baobabpin/admission/WaitHints.h"

#include "baobabpin/admission/QueueWait.h"

#include <algorithm>
#include <cmath>

namespace baobabpin::admission {

void recordWait(WaitHints &hints, int priority, std::chrono::nanoseconds wait,
                base::BootTime now) {
  hints[priority] = {wait, now};
}

std::chrono::nanoseconds rememberedWait(const WaitHints &hints, int priority,
                                        base::BootTime now) {
  using Duration = std::chrono::duration<double, std::nano>;
  std::chrono::nanoseconds longest{0};
  for (const auto &[level, it] : hints) {
    if (level > priority)
      break;
    double halvings = Duration(now - it.At) / Duration(HintHalfLife);
    auto left = Duration(it.Wait) * std::exp2(-std::max(0.0, halvings));
    longest = std::max(
        longest, std::chrono::duration_cast<std::chrono::nanoseconds>(left));
  }
  return longest;
}

bool willBeRefused(std::chrono::nanoseconds wait, const TimeBudget &budget) {
  if (wait <= std::chrono::nanoseconds(0))
    return false;
  if (shouldRefuse(wait, budget.TimeLeft))
    return true;
  return budget.TargetLeft && wait > std::max<std::chrono::nanoseconds>(
                                         *budget.TargetLeft, MinLateWait);
}

} // namespace baobabpin::admission
