#include "baobabpin/store/Backoff.h"

#include <algorithm>

namespace baobabpin::store {

std::chrono::milliseconds nextDelay(Backoff &backoff, std::mt19937_64 &random) {
  std::chrono::milliseconds upperBound = backoff.InitialDelay;
  for (int n = 0;
       n < backoff.ConsecutiveFailures && upperBound < backoff.MaxDelay; ++n)
    upperBound *= 2;
  upperBound = std::min(upperBound, backoff.MaxDelay);
  ++backoff.ConsecutiveFailures;
  std::uniform_int_distribution<std::int64_t> distribution(
      upperBound.count() / 2, upperBound.count());
  return std::chrono::milliseconds(distribution(random));
}

} // namespace baobabpin::store
