#include "baobabpin/routing/GroupOwner.h"

#include "baobabpin/base/Hash.h"

#include <algorithm>

namespace baobabpin::routing {
namespace {

/// A candidate with its rendezvous weight for one group.
struct Rank {
  std::uint64_t Weight = 0;
  const OwnerCandidate *Candidate = nullptr;
};

/// Combines two hashes by the finalizer of SplitMix64. This is much cheaper
/// than hashing the names again for each pair of group and host.
std::uint64_t combineHashes(std::uint64_t a, std::uint64_t b) {
  std::uint64_t it = a ^ (b + 0x9e3779b97f4a7c15ULL);
  it = (it ^ (it >> 30)) * 0xbf58476d1ce4e5b9ULL;
  it = (it ^ (it >> 27)) * 0x94d049bb133111ebULL;
  return it ^ (it >> 31);
}

bool isPreferred(const Rank &a, const Rank &b) {
  if (a.Weight != b.Weight)
    return a.Weight > b.Weight;
  return a.Candidate->Node < b.Candidate->Node;
}

/// Appends the up to \p n candidates of one zone that have the highest weight,
/// either only unfit or only fit ones.
void appendZone(std::uint64_t seed, const base::GroupName &group, bool unfit,
                const std::vector<OwnerCandidate> &zone, std::size_t n,
                std::vector<base::NodeId> &out) {
  std::vector<Rank> ranks;
  for (const auto &it : zone) {
    if (it.UnfitGroups.contains(group) == unfit)
      ranks.push_back({combineHashes(seed, it.HostHash), &it});
  }
  n = std::min(n, ranks.size());
  std::partial_sort(ranks.begin(), ranks.begin() + static_cast<long>(n),
                    ranks.end(), isPreferred);
  for (std::size_t i = 0; i < n; ++i)
    out.push_back(ranks[i].Candidate->Node);
}

} // namespace

void addCandidate(OwnerCandidates &candidates, OwnerCandidate candidate) {
  candidate.HostHash = base::hash64(candidate.Host);
  auto &zone = candidates[candidate.Zone];
  zone.push_back(std::move(candidate));
}

OwnerOrder ownerOrder(const base::GroupName &group,
                      const std::vector<base::AvailabilityZone> &zones,
                      const OwnerCandidates &candidates, std::size_t limit) {
  std::uint64_t seed = base::hash64(group);
  std::vector<const std::vector<OwnerCandidate> *> order;
  for (const auto &zone : zones) {
    auto it = candidates.find(zone);
    if (it != candidates.end() &&
        std::find(order.begin(), order.end(), &it->second) == order.end())
      order.push_back(&it->second);
  }
  for (const auto &[zone, members] : candidates) {
    if (std::find(zones.begin(), zones.end(), zone) == zones.end())
      order.push_back(&members);
  }
  OwnerOrder result;
  for (bool unfit : {false, true}) {
    for (const auto *zone : order) {
      if (result.Nodes.size() == limit)
        return result;
      appendZone(seed, group, unfit, *zone, limit - result.Nodes.size(),
                 result.Nodes);
    }
    if (!unfit)
      result.AllUnfit = result.Nodes.empty();
  }
  return result;
}

} // namespace baobabpin::routing
