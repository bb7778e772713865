#include "baobabpin/store/Backoff.h"

#include <algorithm>

namespace baobabpin::store {

std::chrono::milliseconds nextDelay(Backoff &backoff, std::mt19937_64 &random) {
  std::chrono::milliseconds whole = backoff.First;
  for (int n = 0; n < backoff.Failures && whole < backoff.Longest; ++n)
    whole *= 2;
  whole = std::min(whole, backoff.Longest);
  ++backoff.Failures;
  std::uniform_int_distribution<std::int64_t> delay(whole.count() / 2,
                                                    whole.count());
  return std::chrono::milliseconds(delay(random));
}

} // namespace baobabpin::store
