#include "baobabpin/pooling/OrganisationPolicy.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace baobabpin::pooling {
namespace {

/// One connection in this many is reserved for organisations that hold none.
constexpr int ReserveDivisor = 8;
constexpr double MinShare = 1e-3;

int reserveOf(int maximum) {
  return maximum > 1 ? std::max(1, maximum / ReserveDivisor) : 0;
}

OrganisationUse useOf(const OrganisationUses &uses,
                      const base::OrganisationName &organisation) {
  auto it = uses.find(organisation);
  return it == uses.end() ? OrganisationUse{} : it->second;
}

} // namespace

double turnOf(const FairTurns &turns,
              const base::OrganisationName &organisation) {
  auto it = turns.Next.find(organisation);
  return it == turns.Next.end() ? turns.Present
                                : std::max(turns.Present, it->second);
}

void recordTurn(FairTurns &turns, const base::OrganisationName &organisation,
                double share) {
  turns.Present = turnOf(turns, organisation);
  turns.Next[organisation] = turns.Present + 1 / std::max(share, MinShare);
}

std::optional<std::size_t>
chooseToServe(const std::vector<WaitingWork> &waiting,
              const OrganisationUses &uses) {
  bool anyIdle = std::ranges::any_of(
      uses, [](const auto &it) { return it.second.Idle > 0; });
  std::optional<std::size_t> best;
  std::tuple<int, double, bool> bestTurn;
  for (std::size_t n = 0; n < waiting.size(); ++n) {
    const WaitingWork &it = waiting[n];
    auto use = useOf(uses, it.Organisation);
    bool hasIdle = it.AnyOrganisation ? anyIdle : use.Idle > 0;
    if (!it.MayStart || !hasIdle)
      continue;
    std::tuple turn(it.Priority, use.Turn, it.Late);
    if (best && bestTurn <= turn)
      continue;
    best = n;
    bestTurn = turn;
  }
  return best;
}

std::size_t countAhead(const std::vector<WaitingWork> &waiting,
                       const base::OrganisationName &organisation, int priority,
                       std::size_t position) {
  std::size_t ahead = 0;
  std::size_t own = 0;
  std::map<base::OrganisationName, std::size_t> others;
  for (std::size_t n = 0; n < waiting.size(); ++n) {
    const WaitingWork &it = waiting[n];
    if (it.Priority < priority)
      ++ahead;
    else if (it.Priority == priority && it.Organisation != organisation)
      ++others[it.Organisation];
    else if (it.Priority == priority && n < position)
      ++own;
  }
  // Organisations take turns, so each of the others has at most as many turns
  // as this one until the request is served.
  for (const auto &[name, n] : others)
    ahead += std::min(n, own + 1);
  return ahead + own;
}

std::optional<base::OrganisationName>
chooseToOpenFor(const std::vector<WaitingWork> &waiting,
                const OrganisationUses &uses) {
  std::map<base::OrganisationName, int> needs;
  const WaitingWork *best = nullptr;
  std::pair<int, int> bestTurn;
  for (const auto &it : waiting) {
    auto use = useOf(uses, it.Organisation);
    if (!it.MayStart && use.held() > 0)
      continue;
    if (++needs[it.Organisation] <= use.Idle + use.Opening)
      continue;
    std::pair turn(it.Priority, use.held());
    if (best && bestTurn <= turn)
      continue;
    best = &it;
    bestTurn = turn;
  }
  return best ? std::optional(best->Organisation) : std::nullopt;
}

std::optional<std::size_t>
chooseToClose(const std::vector<IdleConnection> &idle,
              const OrganisationUses &uses,
              const base::OrganisationName &organisation) {
  std::optional<std::size_t> best;
  for (std::size_t n = 0; n < idle.size(); ++n) {
    const IdleConnection &it = idle[n];
    if (it.Organisation == organisation ||
        useOf(uses, it.Organisation).Waiting > 0)
      continue;
    if (!best || it.IdleSince < idle[*best].IdleSince)
      best = n;
  }
  return best;
}

bool mayReplace(const OrganisationUses &uses,
                const base::OrganisationName &organisation, int maximum) {
  if (useOf(uses, organisation).held() == 0)
    return true;
  int additional = 0;
  for (const auto &[name, it] : uses)
    additional += std::max(0, it.held() - 1);
  return additional + 1 < maximum - reserveOf(maximum);
}

bool mustYield(const OrganisationUses &uses,
               const base::OrganisationName &holder,
               const base::OrganisationName &waiting) {
  return useOf(uses, waiting).held() == 0 && useOf(uses, holder).held() > 1;
}

int openLimitFor(int maximum, const base::OrganisationName &organisation,
                 int held) {
  if (organisation.empty() || held == 0)
    return maximum;
  return std::max(1, maximum - reserveOf(maximum));
}

} // namespace baobabpin::pooling
