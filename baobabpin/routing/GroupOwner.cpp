#include "baobabpin/routing/GroupOwner.h"

#include "baobabpin/base/Hash.h"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace baobabpin::routing {
namespace {

struct Rank {
  bool Unfit = false;
  std::size_t ZoneDistance = 0;
  std::uint64_t Weight = 0;
  const OwnerCandidate *Candidate = nullptr;
};

bool isPreferred(const Rank &a, const Rank &b) {
  if (a.Unfit != b.Unfit)
    return !a.Unfit;
  if (a.ZoneDistance != b.ZoneDistance)
    return a.ZoneDistance < b.ZoneDistance;
  if (a.Weight != b.Weight)
    return a.Weight > b.Weight;
  return a.Candidate->Node < b.Candidate->Node;
}

} // namespace

std::vector<base::NodeId>
ownerOrder(const base::GroupName &group,
           const std::vector<base::AvailabilityZone> &zones,
           const std::vector<OwnerCandidate> &candidates, std::size_t limit) {
  std::uint64_t seed = base::hash64(group);
  std::vector<Rank> ranks;
  ranks.reserve(candidates.size());
  for (const auto &it : candidates) {
    auto zone = std::find(zones.begin(), zones.end(), it.Zone);
    ranks.push_back({!it.Fit, static_cast<std::size_t>(zone - zones.begin()),
                     base::hash64(it.Host, seed), &it});
  }
  std::size_t n = std::min(limit, ranks.size());
  std::partial_sort(ranks.begin(), ranks.begin() + static_cast<long>(n),
                    ranks.end(), isPreferred);
  std::vector<base::NodeId> order;
  order.reserve(n);
  for (std::size_t i = 0; i < n; ++i)
    order.push_back(ranks[i].Candidate->Node);
  return order;
}

} // namespace baobabpin::routing
