#include "baobabpin/routing/ReplicaChooser.h"

#include <vector>

namespace baobabpin::routing {
namespace {

/// Lower limit of the weight, which prevents a division by zero when slow
/// start begins with a weight of 0.
constexpr double MinWeight = 0.01;

double loadOf(const ReplicaLoad &it) {
  double weight = it.Weight < MinWeight ? MinWeight : it.Weight;
  return (it.Pending + 1) / weight;
}

} // namespace

std::size_t chooseLeastPending(std::span<const ReplicaLoad> loads,
                               RandomSource &random) {
  std::size_t best = 0;
  unsigned ties = 1;
  for (std::size_t n = 1; n < loads.size(); ++n) {
    double difference = loadOf(loads[n]) - loadOf(loads[best]);
    if (difference > 0)
      continue;
    ties = difference < 0 ? 1 : ties + 1;
    if (random() % ties == 0)
      best = n;
  }
  return best;
}

std::size_t chooseLessLoadedOfTwo(std::span<const ReplicaLoad> loads,
                                  RandomSource &random) {
  std::size_t a = random() % loads.size();
  std::size_t b = random() % loads.size();
  return loadOf(loads[b]) < loadOf(loads[a]) ? b : a;
}

std::size_t chooseWeightedRandom(std::span<const ReplicaLoad> loads,
                                 RandomSource &random) {
  std::vector<double> weights;
  weights.reserve(loads.size());
  for (const auto &it : loads)
    weights.push_back(1 / loadOf(it));
  std::discrete_distribution<std::size_t> distribution(weights.begin(),
                                                       weights.end());
  return distribution(random);
}

ReplicaChooser findChooser(std::string_view name) {
  if (name == "least_pending")
    return chooseLeastPending;
  if (name == "two_choices")
    return chooseLessLoadedOfTwo;
  if (name == "lottery")
    return chooseWeightedRandom;
  return nullptr;
}

} // namespace baobabpin::routing
