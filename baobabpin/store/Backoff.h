/// Delays between attempts against a service that is away.
#pragma once

#include <chrono>
#include <random>

namespace baobabpin::store {

/// Doubling delays with jitter. Watchers of a fleet that lost the store at the
/// same moment spread their attempts over the whole delay.
struct Backoff {
  std::chrono::milliseconds First{100};
  /// A change is in force within 4 s, so a store that is back must be noticed
  /// well before that.
  std::chrono::milliseconds Longest{2000};
  int Failures = 0;
};

/// Counts a failure and gives the delay before the next attempt: between half
/// and the whole of First doubled for each earlier failure, at most Longest.
std::chrono::milliseconds nextDelay(Backoff &backoff, std::mt19937_64 &random);

/// After a success.
inline void reset(Backoff &backoff) { backoff.Failures = 0; }

} // namespace baobabpin::store
