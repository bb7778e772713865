#include "baobabpin/cluster/ConnectionPlan.h"

#include "baobabpin/base/Hash.h"
#include "baobabpin/cluster/FleetPlan.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace baobabpin::cluster {

namespace {

/// Weighted rendezvous hashing: the probability of the lowest score grows with
/// the capacity of a node, and a node that joins or leaves does not change the
/// order of the others.
double ownerScore(const ServerRegistration &server, const NodePlacement &node) {
  constexpr double HashRange = 18446744073709551616.0; // 2^64
  auto hash = static_cast<double>(base::hash64(server.Id + "|" + node.Name));
  return -std::log1p(-hash / HashRange) / std::max(node.Capacity, 1);
}

} // namespace

bool usesDirectConnections(int serverLimit, int slots, int nodes) {
  return serverLimit >= (slots + 1) * nodes;
}

std::vector<std::string> rankOwners(const ServerRegistration &server,
                                    const std::vector<NodePlacement> &nodes) {
  std::vector<std::tuple<bool, double, std::string>> ranked;
  ranked.reserve(nodes.size());
  for (const auto &it : nodes)
    ranked.emplace_back(it.Zone != server.Zone, ownerScore(server, it),
                        it.Name);
  std::ranges::sort(ranked);
  std::size_t candidates = nodes.size() > SmallFleetLimit
                               ? LargeFleetOwnerCandidates
                               : OwnerCandidates;
  std::vector<std::string> owners;
  for (const auto &it : ranked) {
    if (owners.size() == candidates)
      break;
    owners.push_back(std::get<2>(it));
  }
  return owners;
}

} // namespace baobabpin::cluster
