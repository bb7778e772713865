#include "baobabpin/cluster/ConnectionPlan.h"

#include "baobabpin/base/Hash.h"

#include <algorithm>
#include <tuple>

namespace baobabpin::cluster {

bool isDirect(int serverLimit, int nodes) {
  return serverLimit >= DirectConnectionsPerNode * nodes;
}

std::vector<std::string> rankOwners(const ServerRegistration &server,
                                    const std::vector<NodePlace> &nodes) {
  std::vector<std::tuple<bool, std::uint64_t, std::string>> ranked;
  ranked.reserve(nodes.size());
  for (const auto &it : nodes)
    ranked.emplace_back(it.Zone != server.Zone,
                        base::hash64(server.Id + "|" + it.Name), it.Name);
  std::ranges::sort(ranked);
  std::vector<std::string> owners;
  for (const auto &it : ranked) {
    if (owners.size() == OwnerCandidates)
      break;
    owners.push_back(std::get<2>(it));
  }
  return owners;
}

} // namespace baobabpin::cluster
