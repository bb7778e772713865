#include "baobabpin/distribution/BulkPace.h"

#include <algorithm>

namespace baobabpin::distribution {

BulkPace paceForLink(std::int64_t linkMegabits) {
  constexpr std::int64_t BytesPerMegabit = 125'000;
  std::int64_t rate = linkMegabits > 0 ? linkMegabits * BytesPerMegabit
                                       : UnknownLinkBytesPerSecond;
  return {.BytesPerSecond = rate * BulkSharePercent / 100};
}

std::chrono::nanoseconds admitBulk(BulkPace &pace, std::size_t bytes,
                                   base::BootTime now) {
  auto start = std::max(now, pace.FreeAt);
  std::chrono::nanoseconds duration =
      std::chrono::nanoseconds(std::chrono::seconds(1)) *
      static_cast<std::int64_t>(bytes) / pace.BytesPerSecond;
  pace.FreeAt = start + duration;
  return start - now;
}

} // namespace baobabpin::distribution
