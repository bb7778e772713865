/// Decides when a node asks the store for a newer configuration.
///
/// Load pattern: the configuration is large, and the node that reads it for all
/// others is lost or slow. If every node then read the store at once, the
/// transfers would fill the links on which leases are renewed. The first
/// monitor of each availability zone reads first, so that the loss of a whole
/// zone delays a change by one step only; the others follow if that does not
/// help.
#pragma once

#include <chrono>

namespace baobabpin::cluster {

/// A configuration is in force within about 3 s of its acknowledgement, also
/// when the node that reads the store is lost.
inline constexpr std::chrono::milliseconds ConfigRenewAge{700};
inline constexpr std::chrono::milliseconds ConfigFallbackAge{1300};
/// Nodes that are not the first monitor of their zone wait this much longer.
inline constexpr std::chrono::milliseconds ConfigFallbackStep{900};
/// A node that starts in a large fleet waits this long for a peer that has the
/// configuration.
inline constexpr std::chrono::milliseconds ConfigStartupWait{250};

/// What a node knows about its configuration and its place in the fleet.
struct ConfigReadState {
  /// A configuration is known.
  bool Known = false;
  /// A transfer from a peer makes progress.
  bool Fetching = false;
  /// The time since the configuration was known to be the newest one.
  std::chrono::nanoseconds Age{0};
  /// The time since the start of this process.
  std::chrono::nanoseconds Uptime{0};
  /// The fleet plan makes this node read the store for others.
  bool ReadsStore = false;
  /// This node is the first monitor of its zone.
  bool FirstOfZone = false;
  /// The fleet is large and this node is not a monitor.
  bool IsLeaf = false;
};

bool isConfigReadDue(const ConfigReadState &state);

} // namespace baobabpin::cluster
