/// Delays between the attempts to reach a service that is unavailable.
#pragma once

#include <chrono>
#include <random>

namespace baobabpin::store {

/// State of an exponential backoff with jitter. The jitter spreads the attempts
/// of all nodes of a fleet that lost the store at the same moment.
struct Backoff {
  std::chrono::milliseconds InitialDelay{100};
  /// A change of the configuration must be in force within 4 s, so a node must
  /// notice well before that time that the store is available again.
  std::chrono::milliseconds MaxDelay{2000};
  int ConsecutiveFailures = 0;
};

/// Counts a failure and returns the delay before the next attempt. Its upper
/// bound is InitialDelay, doubled for each earlier failure, but at most
/// MaxDelay; the delay is random between half of the bound and the bound.
std::chrono::milliseconds nextDelay(Backoff &backoff, std::mt19937_64 &random);

/// Resets the backoff after a successful attempt.
inline void reset(Backoff &backoff) { backoff.ConsecutiveFailures = 0; }

} // namespace baobabpin::store
