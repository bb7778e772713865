#include "baobabpin/quota/GranterRole.h"

#include "baobabpin/base/Hash.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace baobabpin::quota {
namespace {

/// Weighted rendezvous hashing, as for the owners of connections
/// (cluster/ConnectionPlan.h).
double scoreOf(const base::OrganisationName &organisation,
               const std::string &node, int capacity) {
  constexpr double HashRange = 18446744073709551616.0; // 2^64
  auto hash = static_cast<double>(base::hash64(organisation + "|" + node));
  return -std::log1p(-hash / HashRange) / std::max(capacity, 1);
}

} // namespace

void GranterRanking::rankAll(const base::OrganisationName &organisation,
                             std::vector<Candidate> &ranked) const {
  ranked.clear();
  for (const auto &[node, capacity] : Capacities)
    ranked.push_back({scoreOf(organisation, node, capacity), node});
  auto count = std::min(RankedNodes, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  ranked.resize(count);
  ranked.shrink_to_fit();
}

void GranterRanking::update(
    const std::vector<base::OrganisationName> &organisations,
    const std::map<std::string, int> &capacities) {
  std::map<std::string, int> added;
  std::map<std::string, int> removed;
  auto difference = [](const auto &from, const auto &to, auto &result) {
    std::ranges::set_difference(from, to, std::inserter(result, result.end()));
  };
  difference(capacities, Capacities, added);
  difference(Capacities, capacities, removed);
  Capacities = capacities;
  std::map<base::OrganisationName, std::vector<Candidate>> before;
  before.swap(Ranked);
  for (const auto &name : organisations) {
    auto &list = Ranked[name];
    auto known = before.find(name);
    bool isComplete = known != before.end() &&
                      known->second.size() == RankedNodes &&
                      std::ranges::none_of(known->second, [&](const auto &it) {
                        return removed.contains(it.Node);
                      });
    if (!isComplete) {
      rankAll(name, list);
      continue;
    }
    list = std::move(known->second);
    for (const auto &[node, capacity] : added)
      list.push_back({scoreOf(name, node, capacity), node});
    std::ranges::sort(list);
    list.resize(std::min(list.size(), RankedNodes));
  }
}

const std::vector<GranterRanking::Candidate> &
GranterRanking::ranked(const base::OrganisationName &organisation) const {
  static const std::vector<Candidate> none;
  auto it = Ranked.find(organisation);
  return it == Ranked.end() ? none : it->second;
}

bool GranterRanking::isGranter(const base::OrganisationName &organisation,
                               const std::string &node) const {
  const auto &list = ranked(organisation);
  auto end = list.begin() +
             static_cast<std::ptrdiff_t>(std::min(list.size(), Granters));
  return std::any_of(list.begin(), end,
                     [&](const auto &it) { return it.Node == node; });
}

std::chrono::milliseconds granterDelay(RunStart start) {
  switch (start) {
  case RunStart::Resumed:
    return std::chrono::milliseconds(0);
  case RunStart::FirstStart:
    return FirstStartDelay;
  case RunStart::Ordinary:
    break;
  }
  return GranterDelay;
}

void updateRole(GranterRole &role, const RoleSample &sample,
                base::BootTime now) {
  bool continues = role.EligibleSince && sample.Eligible &&
                   sample.Incarnation == role.Last.Incarnation &&
                   sample.Capacity == role.Last.Capacity &&
                   // The list may have changed and changed back unseen.
                   sample.ConfirmedAt - role.Last.ConfirmedAt <= GranterDelay;
  role.Last = sample;
  if (now - sample.ConfirmedAt > GranterDelay || !sample.Eligible) {
    role.EligibleSince.reset();
    return;
  }
  if (continues)
    return;
  role.EligibleSince = now;
  role.Delay = granterDelay(sample.Start);
}

bool isGranting(const GranterRole &role, base::BootTime confirmedAt,
                base::BootTime now) {
  return role.EligibleSince && now - *role.EligibleSince >= role.Delay &&
         now - confirmedAt <= GranterLease &&
         now - role.Last.ConfirmedAt <= GranterLease;
}

} // namespace baobabpin::quota
