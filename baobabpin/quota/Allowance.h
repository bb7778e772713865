/// What a node that requests tokens keeps for one organisation: the tokens that
/// it may spend, its measured demand, and which granter it asks.
///
/// A token is spent before the time at which it expires, which counts from when
/// it was asked for. So a token that was delayed on its way, or that a
/// suspended host kept, is never spent late.
#pragma once

#include "baobabpin/base/BootClock.h"
#include "baobabpin/quota/TokenBucket.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace baobabpin::quota {

/// The right to run one operation.
struct Token {
  base::BootTime ValidUntil{};
  /// The node that granted the token.
  std::string Granter;
};

/// Tokens of one grant.
struct TokenBatch {
  int Tokens = 0;
  base::BootTime ValidUntil{};
  std::string Granter;
};

struct Allowance {
  std::deque<TokenBatch> Batches;
  int Available = 0;
  /// Operations per second, a moving average.
  double Demand = 0;
  base::BootTime DemandAt{};
};

/// Counts an operation that arrives at \p now.
void noteDemand(Allowance &allowance, base::BootTime now);
void addTokens(Allowance &allowance, const TokenBatch &batch,
               base::BootTime now);
/// Returns a token that is valid at \p now, if there is one.
std::optional<Token> spendToken(Allowance &allowance, base::BootTime now);
/// Puts a token back whose operation reached no server.
void unspendToken(Allowance &allowance, const Token &token, base::BootTime now);
/// Returns the number of tokens to ask for when \p waiting operations have
/// none. Beyond these, the tokens of a quarter of \p validity are fetched in
/// advance.
int tokensWanted(Allowance &allowance, int waiting,
                 std::chrono::nanoseconds validity, base::BootTime now);
/// Removes and returns the tokens of one granter that the present demand will
/// not use before they expire. The result has no tokens if there are none.
TokenBatch takeSurplus(Allowance &allowance, std::chrono::nanoseconds validity,
                       base::BootTime now);

/// What a node knows about one granter of an organisation.
struct GranterState {
  /// The granter did not reply to the last call. It is tried again with calls
  /// for which no operation waits.
  bool Silent = false;
  /// The granter has replied that it has no tokens before this time.
  base::BootTime EmptyUntil{};
  /// The granter has replied that it does not grant for this organisation, and
  /// is asked again at this time. Zero if its last reply was a grant.
  base::BootTime NotGrantingUntil{};
};

using GranterStates = std::array<GranterState, Granters>;

/// Returns the granter to ask. \p last is the one that was asked last: granters
/// take turns, so that both buckets are used alike.
std::optional<std::size_t> chooseGranter(const GranterStates &states,
                                         std::size_t count, std::size_t last,
                                         base::BootTime now);

/// Why an operation is refused while chooseGranter() returns nothing.
struct Refusal {
  /// The limit is reached. Otherwise no granter replies or grants.
  bool LimitReached = false;
  std::chrono::milliseconds RetryDelay{0};
};

Refusal refusalOf(const GranterStates &states, std::size_t count,
                  base::BootTime now);
/// Returns the text of the reply to a refused operation.
std::string refusalText(const Refusal &refusal);

/// The operations that a node runs while no granter replies. Only the first
/// nodes in the rank of an organisation may run any, each one in a window. All
/// together thus run slack / 4 as long as the nodes have the same list. The
/// bound allows slack / 2, for nodes whose list is not the same.
struct FallbackQuota {
  base::BootTime NextAt{};
};

/// Returns the number of nodes that may run operations without a granter.
std::size_t fallbackNodes(const Tolerance &tolerance);
/// Returns the state of a node that may have run an operation until \p now, in
/// an earlier run of its process.
FallbackQuota startFallback(const Tolerance &tolerance, base::BootTime now);
/// Returns whether an operation may run. \p rank is the position of this node
/// in the rank of the organisation, from 0.
bool spendFallback(FallbackQuota &fallback, std::size_t rank,
                   const Tolerance &tolerance, base::BootTime now);

} // namespace baobabpin::quota
