/// The token bucket of a granter, and the proof of the fleet-wide bound.
///
/// An organisation with the limit of \a rate and \a burst may run
/// (rate x W + burst) x (1 + overage) + slack operations in any window W. Its
/// limit is split into two fixed halves. A half is granted by one node, the
/// granter, from a bucket that begins empty. Nothing moves between the halves,
/// so no message between the granters is needed, and a partition cannot add to
/// the sum. At any time at most two nodes are granters (GranterRole.h).
///
/// Let r be half of the rate (reduced if the tolerance is narrow), C the
/// capacity of a bucket, and E the time for which a granter counts a token as
/// unspent. E is longer than the validity of the token at the requesting node.
///
///   - The level of a bucket plus the tokens counted as unspent is at most
///     C + r x E. refill() and giveBack() both keep this.
///   - Operations of a window spend tokens that were in the bucket or unspent
///     when the window began, or that were added during the window: at most
///     C + r x (E + W) for one half.
///   - When a half changes hands, the former granter stopped more than E before
///     the new one begins, so that the sum is not greater.
///   - C is at most burst/2 + r x FillAllowance + 1, where 1 is for rounding up
///     to a whole token.
///
/// With W = 5 s, E is 0.085 x W = 425 ms and FillAllowance is 0.01 x W = 50 ms.
/// Clocks may differ by ClockTolerance. Both halves together thus spend at most
///   rate x 1.001 x (5 + 0.425 + 0.05) s + burst + 2,
/// which is rate x 5.481 s + burst + 2, and the bound is
///   rate x 5.5 s + 1.1 x burst + 20.
/// What nodes spend while no granter answers (Allowance.h) is less than
/// slack / 2, so at least slack / 2 - 2 remains.
#pragma once

#include "baobabpin/base/BootClock.h"
#include "baobabpin/cluster/Types.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace baobabpin::quota {

/// The number of granters of an organisation. With more of them, less of a
/// limit would be lost with one node, but small bursts would be cut into
/// useless parts.
inline constexpr std::size_t Granters = 2;
/// The largest relative error of the rate of a host's clock.
inline constexpr double ClockTolerance = 0.001;

/// By how much the operations in a window may exceed a limit.
struct Tolerance {
  std::chrono::nanoseconds Window = std::chrono::seconds(5);
  double Overage = 0;
  double Slack = 0;
};

/// Returns how long a token may be spent, from when it was asked for.
std::chrono::nanoseconds tokenValidity(const Tolerance &tolerance);

/// One half of an organisation's limit.
struct GranterShare {
  /// Tokens per second.
  double Rate = 0;
  double Capacity = 0;
  /// How long a granted token counts as unspent; see tokenValidity().
  std::chrono::nanoseconds UnspentTime{};
};

GranterShare shareOf(const cluster::RateLimit &limit,
                     const Tolerance &tolerance);

/// The number of parts in which the age of granted tokens is measured.
inline constexpr std::int64_t UnspentSlots = 17;

struct TokenBucket {
  double Level = 0;
  base::BootTime FilledAt{};
  /// The tokens granted in each part of the last UnspentTime, by the number of
  /// the part modulo UnspentSlots.
  std::array<double, UnspentSlots> Unspent{};
  std::int64_t LastSlot = 0;
  /// The time at which the next caller that is refused may ask again.
  base::BootTime NextRetry{};
};

/// Returns an empty bucket.
TokenBucket emptyBucket(const GranterShare &share, base::BootTime now);
/// Adds the tokens of the time since the last call, and cuts the bucket to the
/// capacity of \p share, which may have changed.
void refill(TokenBucket &bucket, const GranterShare &share, base::BootTime now);
/// Returns the number of tokens granted, at most \p wanted.
int grant(TokenBucket &bucket, const GranterShare &share, int wanted,
          base::BootTime now);
/// Takes unspent tokens back. No more are accepted than can be outstanding.
void giveBack(TokenBucket &bucket, const GranterShare &share, int tokens,
              base::BootTime now);
/// Returns when a caller that got fewer tokens than it wanted should ask again.
/// Callers that were refused at the same time get different times.
std::chrono::nanoseconds
retryDelay(TokenBucket &bucket, const GranterShare &share, base::BootTime now);

} // namespace baobabpin::quota
