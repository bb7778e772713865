/// Choice among the replicas that qualify for a read.
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

struct ReplicaLoad {
  /// Statements sent and not answered yet.
  unsigned Pending = 0;
  /// Share of full load that a returned server gets during slow start, 0 to 1.
  double Weight = 1;
};

using RandomSource = std::mt19937_64;

/// Index of the chosen one; \p loads must not be empty.
using ReplicaChooser = std::size_t (*)(std::span<const ReplicaLoad> loads,
                                       RandomSource &random);

/// The lowest pending count per weight; ties are broken at random.
std::size_t chooseLeastPending(std::span<const ReplicaLoad> loads,
                               RandomSource &random);
/// The less loaded of two random ones.
std::size_t chooseOfTwo(std::span<const ReplicaLoad> loads,
                        RandomSource &random);
/// A lottery with tickets in inverse proportion to the load.
std::size_t chooseByLottery(std::span<const ReplicaLoad> loads,
                            RandomSource &random);

/// "least_pending", "two_choices" or "lottery"; null for another name.
ReplicaChooser findChooser(std::string_view name);

} // namespace baobabpin::routing
