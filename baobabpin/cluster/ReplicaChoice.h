/// Chooses the server for a read that any sufficiently fresh server may run.
#pragma once

#include "baobabpin/base/BootClock.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace baobabpin::cluster {

/// A server that may run the read, and what this node knows about it.
struct ReadCandidate {
  /// The server is in the availability zone of this node.
  bool SameZone = false;
  /// The server is the primary of the group, which alone can run writes.
  bool Primary = false;
  bool Unreachable = false;
  /// The log of the server is known to include the required position.
  bool CoversPosition = false;
  /// The time since the server last lacked a required position.
  std::chrono::nanoseconds SinceLagging{0};
  /// The moving average of the time until a reply, or 0 if none is known. The
  /// server is then taken to be as fast as the median of the others.
  std::chrono::nanoseconds Latency{0};
  /// The statements of this node that the server runs or that wait for it.
  std::size_t Load = 0;
  /// The connections of this node to the server.
  std::size_t Connections = 0;
};

/// The cost that is added to a server in another zone: the round trip, and the
/// price of the traffic.
inline constexpr std::chrono::microseconds OtherZoneCost{3000};
/// The cost that is added to the primary, whose slots are needed for writes and
/// strict reads.
inline constexpr std::chrono::milliseconds PrimaryCost{40};
/// The cost that is added to a server that lagged within RecentLagPeriod and is
/// not known to have caught up.
inline constexpr std::chrono::milliseconds LaggingCost{200};
inline constexpr std::chrono::milliseconds RecentLagPeriod{150};

/// Returns the index of the candidate with the lowest cost, or nothing when
/// none is reachable.
std::optional<std::size_t>
chooseReadServer(const std::vector<ReadCandidate> &candidates);

} // namespace baobabpin::cluster
