/// Decides which nodes read the store, which ones monitor the primaries, and
/// from which nodes the others fetch the shared records.
///
/// In a small fleet, one node reads the store, all others fetch the records
/// from it, and all monitor the primaries. In a large fleet, each availability
/// zone has a few monitors, which are its nodes of highest capacity. The
/// monitors fetch the records from the first monitor, which reads the store, or
/// read the store themselves if there are more than MaxMonitorsPerReader. The
/// other nodes of the zone fetch the records from its monitors. If all nodes
/// did the same as in a small fleet, the load on the reader and on each primary
/// would grow with the number of nodes.
///
///   FleetPlan plan = planFleet(nodes, {"n7", "zone-a", 120});
///   // plan.SyncSources: the nodes to ask for records, the preferred first.
#pragma once

#include "baobabpin/cluster/Types.h"

#include <cstddef>
#include <string>
#include <vector>

namespace baobabpin::cluster {

/// The largest fleet in which one node can answer all others several times a
/// second with an eighth of a core.
inline constexpr std::size_t SmallFleetLimit = 16;
/// A zone has one monitor for this many nodes.
inline constexpr std::size_t NodesPerMonitor = 24;
/// Each zone has a second monitor for the case that the first is lost.
inline constexpr std::size_t MinMonitorsPerZone = 2;
/// With more monitors than this, each monitor reads the store itself.
inline constexpr std::size_t MaxMonitorsPerReader = 40;
/// The number of monitors that confirm the view by asking all nodes while the
/// store is unreachable. The other nodes fetch the confirmation from them.
inline constexpr std::size_t ConfirmingMonitors = 2;

/// The tasks of one node within the fleet.
struct FleetPlan {
  /// The fleet has more than SmallFleetLimit nodes.
  bool Large = false;
  /// The nodes that monitor the primaries, those of highest capacity first. The
  /// first one reads the store for the others, unless there are more than
  /// MaxMonitorsPerReader monitors; then each monitor reads it.
  std::vector<std::string> Monitors;
  /// This node reads the store whenever it renews its view.
  bool ReadsStore = false;
  /// This node is one of Monitors.
  bool IsMonitor = false;
  /// The nodes to ask for records, in the order of preference. Empty when
  /// ReadsStore is set.
  std::vector<std::string> SyncSources;

  /// Returns whether \p node may confirm the view by asking all nodes.
  bool isConfirming(const std::string &node) const;
};

/// Plans the tasks of the node \p self. All nodes with the same list of nodes
/// choose the same monitors. \p nodes includes \p self.
FleetPlan planFleet(std::vector<NodePlacement> nodes,
                    const NodePlacement &self);

} // namespace baobabpin::cluster
