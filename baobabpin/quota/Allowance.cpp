#include "baobabpin/quota/Allowance.h"

#include <algorithm>
#include <cmath>

namespace baobabpin::quota {
namespace {

using Seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// The time over which demand is averaged. Demand that moves to another node
/// must be seen to end well within a second.
constexpr Seconds DemandTime{0.2};
/// Demand has ended when no operation has arrived for this many times the mean
/// interval between operations, plus MinIdleTime. The tokens fetched in advance
/// are then returned while they can still be used elsewhere. Random arrivals
/// pause for as long once in e^10 (22,000) times.
constexpr double IdleIntervals = 10;
constexpr Seconds MinIdleTime{0.01};
/// The part of the validity for which tokens are fetched in advance. A token is
/// thus far from its expiry when it is spent.
constexpr int PrefetchParts = 4;
constexpr int MaxWanted = 10'000;
/// How long a refused caller waits at least.
constexpr milliseconds MinRetryDelay{1};
/// How long a caller waits while no granter replies; they are tried as often.
constexpr milliseconds UnavailableRetryDelay{1000};

double demandAt(const Allowance &allowance, base::BootTime now) {
  Seconds idle = std::max(nanoseconds(0), now - allowance.DemandAt);
  if (allowance.Demand > 0 &&
      idle > Seconds(IdleIntervals / allowance.Demand) + MinIdleTime)
    return 0;
  return allowance.Demand * std::exp(-(idle / DemandTime));
}

double prefetchTarget(const Allowance &allowance, nanoseconds validity,
                      base::BootTime now) {
  return demandAt(allowance, now) * Seconds(validity / PrefetchParts).count();
}

void dropExpired(Allowance &allowance, base::BootTime now) {
  auto &batches = allowance.Batches;
  while (!batches.empty() &&
         (batches.front().Tokens == 0 || batches.front().ValidUntil <= now)) {
    allowance.Available -= batches.front().Tokens;
    batches.pop_front();
  }
}

bool isUsable(const GranterState &state, base::BootTime now) {
  return !state.Silent && state.EmptyUntil <= now &&
         state.NotGrantingUntil <= now;
}

} // namespace

void noteDemand(Allowance &allowance, base::BootTime now) {
  allowance.Demand = demandAt(allowance, now) + 1 / DemandTime.count();
  allowance.DemandAt = std::max(allowance.DemandAt, now);
}

void addTokens(Allowance &allowance, const TokenBatch &batch,
               base::BootTime now) {
  if (batch.Tokens <= 0 || batch.ValidUntil <= now)
    return;
  // The batch that expires first is spent first.
  auto at = std::ranges::upper_bound(allowance.Batches, batch.ValidUntil, {},
                                     &TokenBatch::ValidUntil);
  allowance.Batches.insert(at, batch);
  allowance.Available += batch.Tokens;
}

std::optional<Token> spendToken(Allowance &allowance, base::BootTime now) {
  dropExpired(allowance, now);
  if (allowance.Available == 0)
    return std::nullopt;
  auto &first = allowance.Batches.front();
  Token token{first.ValidUntil, first.Granter};
  --first.Tokens;
  --allowance.Available;
  if (first.Tokens == 0)
    allowance.Batches.pop_front();
  return token;
}

void unspendToken(Allowance &allowance, const Token &token,
                  base::BootTime now) {
  addTokens(allowance, {1, token.ValidUntil, token.Granter}, now);
}

int tokensWanted(Allowance &allowance, int waiting, nanoseconds validity,
                 base::BootTime now) {
  dropExpired(allowance, now);
  double target = prefetchTarget(allowance, validity, now);
  // Without waiting operations a call is worthwhile only when half of the
  // tokens are used up.
  if (waiting == 0 && allowance.Available * 2 > target)
    return 0;
  double wanted = waiting + std::floor(target) - allowance.Available;
  return static_cast<int>(std::clamp<double>(wanted, 0, MaxWanted));
}

TokenBatch takeSurplus(Allowance &allowance, nanoseconds validity,
                       base::BootTime now) {
  dropExpired(allowance, now);
  double target = prefetchTarget(allowance, validity, now);
  if (allowance.Available <= std::max(1.0, 2 * target))
    return {};
  // Those that expire last are of most use to others.
  auto &last = allowance.Batches.back();
  int excess = allowance.Available - static_cast<int>(std::ceil(target));
  TokenBatch surplus = last;
  surplus.Tokens = std::min(last.Tokens, excess);
  last.Tokens -= surplus.Tokens;
  allowance.Available -= surplus.Tokens;
  if (last.Tokens == 0)
    allowance.Batches.pop_back();
  return surplus;
}

std::optional<std::size_t> chooseGranter(const GranterStates &states,
                                         std::size_t count, std::size_t last,
                                         base::BootTime now) {
  for (std::size_t n = 1; n <= count; ++n) {
    std::size_t index = (last + n) % count;
    if (isUsable(states[index], now))
      return index;
  }
  return std::nullopt;
}

Refusal refusalOf(const GranterStates &states, std::size_t count,
                  base::BootTime now) {
  Refusal refusal;
  std::optional<base::BootTime> retryAt;
  for (std::size_t n = 0; n < count; ++n) {
    const auto &it = states[n];
    if (it.Silent || it.NotGrantingUntil > base::BootTime{})
      continue;
    refusal.LimitReached = true;
    retryAt = std::min(retryAt.value_or(it.EmptyUntil), it.EmptyUntil);
  }
  refusal.RetryDelay = retryAt ? std::chrono::ceil<milliseconds>(*retryAt - now)
                               : UnavailableRetryDelay;
  refusal.RetryDelay = std::max(refusal.RetryDelay, MinRetryDelay);
  return refusal;
}

std::string refusalText(const Refusal &refusal) {
  return std::string(refusal.LimitReached ? "rate_limit"
                                          : "quota_unavailable") +
         " retry_ms=" + std::to_string(refusal.RetryDelay.count());
}

std::size_t fallbackNodes(const Tolerance &tolerance) {
  constexpr double Part = 4;
  constexpr double MaxNodes = 100;
  return static_cast<std::size_t>(
      std::clamp(tolerance.Slack / Part, 0.0, MaxNodes));
}

FallbackQuota startFallback(const Tolerance &tolerance, base::BootTime now) {
  constexpr int ClockParts = 100;
  return {now + tolerance.Window + tolerance.Window / ClockParts};
}

bool spendFallback(FallbackQuota &fallback, std::size_t rank,
                   const Tolerance &tolerance, base::BootTime now) {
  if (rank >= fallbackNodes(tolerance) || now < fallback.NextAt)
    return false;
  fallback = startFallback(tolerance, now);
  return true;
}

} // namespace baobabpin::quota
