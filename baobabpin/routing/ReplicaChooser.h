/// Strategies for the choice among the replicas that qualify for a read.
///
/// \code
///   ReplicaChooser choose = chooseLeastPending;
///   std::size_t n = choose(loads, random); // index into loads
/// \endcode
#pragma once

#include <cstddef>
#include <random>
#include <span>
#include <string_view>

namespace baobabpin::routing {

/// The load of one replica, as seen by this node.
struct ReplicaLoad {
  /// Statements and transactions that have no answer yet.
  unsigned Pending = 0;
  /// Share of the normal load that the replica may get, 0 to 1. It is below 1
  /// during the slow start of a server that became reachable again.
  double Weight = 1;
};

using RandomSource = std::mt19937_64;

/// Returns the index of the chosen replica. \p loads must not be empty.
using ReplicaChooser = std::size_t (*)(std::span<const ReplicaLoad> loads,
                                       RandomSource &random);

/// Chooses the replica with the fewest pending statements in relation to its
/// weight; breaks ties at random.
std::size_t chooseLeastPending(std::span<const ReplicaLoad> loads,
                               RandomSource &random);
/// Chooses the less loaded of two random replicas.
std::size_t chooseLessLoadedOfTwo(std::span<const ReplicaLoad> loads,
                                  RandomSource &random);
/// Chooses a random replica, with a probability that is inversely proportional
/// to the load.
std::size_t chooseWeightedRandom(std::span<const ReplicaLoad> loads,
                                 RandomSource &random);

/// Returns the strategy with this name ("least_pending", "two_choices" or
/// "lottery"), or null for another name.
ReplicaChooser findChooser(std::string_view name);

} // namespace baobabpin::routing
