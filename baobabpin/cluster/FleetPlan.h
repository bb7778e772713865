/// From whom each node learns the shared records, and which nodes watch the
/// primaries.
///
/// In a small fleet one node reads the store, all others ask it, and all watch
/// the primaries. In a large one each availability zone has a few watchers, its
/// strongest nodes: they ask the store reader, and the rest of the zone asks
/// them. What all nodes did there, asking one node or probing every primary,
/// would grow with the number of nodes at a single place.
///
///   FleetPlan plan = planFleet(nodes, {"n7", "zone-a", 120});
///   // plan.Sources: ask these for records, the first one first
#pragma once

#include "baobabpin/cluster/Types.h"

#include <cstddef>
#include <string>
#include <vector>

namespace baobabpin::cluster {

/// Up to this many nodes, one node answers all others several times a second
/// on an eighth of a core.
inline constexpr std::size_t SmallFleetLimit = 16;
/// Nodes of a zone for each watcher.
inline constexpr std::size_t NodesPerWatcher = 24;
/// Two watchers, so that a zone whose first watcher is lost has another.
inline constexpr std::size_t MinWatchersPerZone = 2;
/// With more watchers than this, each reads the store itself.
inline constexpr std::size_t MaxWatchersPerReader = 40;
/// Watchers that confirm the view by asking all nodes while the store is away;
/// the rest learns from them.
inline constexpr std::size_t ConfirmingWatchers = 2;

struct FleetPlan {
  bool Large = false;
  /// The strongest node first, which reads the store for all.
  std::vector<std::string> Watchers;
  /// This node reads the store at each renewal of its view.
  bool ReadsStore = false;
  /// This node is among Watchers.
  bool Watches = false;
  /// The nodes to ask for records, best first. Empty when ReadsStore is set.
  std::vector<std::string> Sources;

  /// Whether \p node may confirm the view by asking all nodes.
  bool isConfirming(const std::string &node) const;
};

/// Every node with the same list of nodes comes to the same watchers. \p nodes
/// includes \p self.
FleetPlan planFleet(std::vector<NodePlacement> nodes,
                    const NodePlacement &self);

} // namespace baobabpin::cluster
