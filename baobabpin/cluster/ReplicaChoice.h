/// Which server runs a read that any sufficiently fresh server may run.
#pragma once

#include "baobabpin/base/BootClock.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace baobabpin::cluster {

/// A server as the chooser sees it.
struct ReadCandidate {
  bool SameZone = false;
  /// The group's primary, which alone can run writes.
  bool Primary = false;
  bool Unreachable = false;
  /// Its log is known to hold the wanted position.
  bool CoversPosition = false;
  /// Time since it last lacked a wanted position.
  std::chrono::nanoseconds SinceLagging{0};
  /// Moving average of the time to a reply.
  std::chrono::nanoseconds Latency{0};
  /// Statements of this node that it runs or that wait for it.
  std::size_t Load = 0;
  std::size_t Connections = 0;
};

/// Added for a server in another zone: the way there and back, and the price of
/// the bytes.
inline constexpr std::chrono::microseconds OtherZoneCost{3000};
/// Added for the primary, whose slots writes and strict reads need.
inline constexpr std::chrono::milliseconds PrimaryCost{40};
/// Added for a server that lagged within LaggingMemory and is not known to have
/// caught up.
inline constexpr std::chrono::milliseconds LaggingCost{200};
inline constexpr std::chrono::milliseconds LaggingMemory{150};

/// Index of the cheapest candidate; empty when none is reachable.
std::optional<std::size_t>
chooseReadServer(const std::vector<ReadCandidate> &candidates);

} // namespace baobabpin::cluster
