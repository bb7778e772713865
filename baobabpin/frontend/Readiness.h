/// Decides whether a node reports that it accepts new clients.
///
/// Load pattern: an availability zone without servers of its own is cut off.
/// Its clients still reach its nodes, which can serve none of them. The sooner
/// the nodes report not ready, the sooner new connections go to other zones.
#pragma once

#include <chrono>
#include <cstddef>

namespace baobabpin::frontend {

struct ReadinessState {
  bool Draining = false;
  /// A configuration with at least one group is known.
  bool Configured = false;
  /// This run of the node is registered. Otherwise it may use no primary.
  bool Registered = false;
  bool LargeFleet = false;
  std::chrono::nanoseconds ViewAge{0};
  std::size_t Groups = 0;
  /// The groups of which no server can be reached, directly or through another
  /// node.
  std::size_t UnreachableGroups = 0;
  /// The time for which more than half of the groups have been unreachable.
  std::chrono::nanoseconds UnreachableFor{0};
};

/// Whether more than half of the groups cannot be reached.
bool isIsolated(const ReadinessState &state);
bool isReady(const ReadinessState &state);

} // namespace baobabpin::frontend
