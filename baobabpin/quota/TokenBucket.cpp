#include "baobabpin/quota/TokenBucket.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace baobabpin::quota {
namespace {

using Seconds = std::chrono::duration<double>;
using std::chrono::nanoseconds;

/// The validity of a token in hundredths of the window.
constexpr int ValidityPercent = 8;
constexpr int Percent = 100;
/// With a very short window a token would expire on its way.
constexpr nanoseconds MinValidity = std::chrono::milliseconds(50);
/// A bucket may hold the tokens of this part of the window beyond its burst.
/// Otherwise a bucket that holds one token would overflow while a caller that
/// was refused waits and asks again.
constexpr double FillAllowance = 0.01;
/// The longest time after which a caller asks again.
constexpr nanoseconds MaxRetryDelay = std::chrono::seconds(1);
constexpr nanoseconds MinRetryDelay = std::chrono::milliseconds(1);

double secondsOf(nanoseconds time) { return Seconds(time).count(); }

nanoseconds slotWidth(const GranterShare &share) {
  return std::max(share.UnspentTime / UnspentSlots, nanoseconds(1));
}

/// Drops the tokens that were granted longer than UnspentTime ago.
void advance(TokenBucket &bucket, const GranterShare &share,
             base::BootTime now) {
  std::int64_t slot = now.time_since_epoch() / slotWidth(share);
  auto passed =
      std::clamp<std::int64_t>(slot - bucket.LastSlot, 0, UnspentSlots);
  for (std::int64_t n = 1; n <= passed; ++n)
    bucket
        .Unspent[static_cast<std::size_t>((slot - passed + n) % UnspentSlots)] =
        0;
  bucket.LastSlot = std::max(bucket.LastSlot, slot);
}

double unspent(const TokenBucket &bucket) {
  return std::accumulate(bucket.Unspent.begin(), bucket.Unspent.end(), 0.0);
}

} // namespace

nanoseconds tokenValidity(const Tolerance &tolerance) {
  return std::max(tolerance.Window * ValidityPercent / Percent, MinValidity);
}

GranterShare shareOf(const cluster::RateLimit &limit,
                     const Tolerance &tolerance) {
  // A token that is granted within a slot is counted until the end of the slot
  // UnspentSlots later, so it counts for at least the time of all slots but
  // one.
  auto validity = tokenValidity(tolerance);
  auto counted = validity + validity / (UnspentSlots - 1);
  double window = secondsOf(tolerance.Window);
  double fill = FillAllowance * window;
  double longest = (1 + ClockTolerance) * (window + secondsOf(counted) + fill);
  double factor = std::min(1.0, window * (1 + tolerance.Overage) / longest);
  GranterShare share;
  share.Rate = limit.Rate * factor / Granters;
  share.Capacity = std::max(1.0, limit.Burst / Granters + share.Rate * fill);
  share.UnspentTime = counted;
  return share;
}

TokenBucket emptyBucket(const GranterShare &share, base::BootTime now) {
  TokenBucket bucket;
  bucket.FilledAt = now;
  bucket.LastSlot = now.time_since_epoch() / slotWidth(share);
  return bucket;
}

void refill(TokenBucket &bucket, const GranterShare &share,
            base::BootTime now) {
  advance(bucket, share, now);
  double elapsed = std::max(0.0, secondsOf(now - bucket.FilledAt));
  bucket.FilledAt = std::max(bucket.FilledAt, now);
  double limit = share.Capacity + share.Rate * secondsOf(share.UnspentTime);
  double room = std::max(0.0, limit - unspent(bucket) - bucket.Level);
  bucket.Level = std::min(share.Capacity,
                          bucket.Level + std::min(share.Rate * elapsed, room));
}

int grant(TokenBucket &bucket, const GranterShare &share, int wanted,
          base::BootTime now) {
  refill(bucket, share, now);
  int tokens = std::clamp(static_cast<int>(bucket.Level), 0, wanted);
  bucket.Level -= tokens;
  bucket.Unspent[static_cast<std::size_t>(bucket.LastSlot % UnspentSlots)] +=
      tokens;
  return tokens;
}

void giveBack(TokenBucket &bucket, const GranterShare &share, int tokens,
              base::BootTime now) {
  refill(bucket, share, now);
  double accepted = std::min<double>(std::max(tokens, 0), unspent(bucket));
  bucket.Level = std::min(share.Capacity, bucket.Level + accepted);
  // It is not known when these tokens were granted. Counting the youngest ones
  // for longest keeps the bound.
  for (std::int64_t n = 1; n <= UnspentSlots && accepted > 0; ++n) {
    double &slot = bucket.Unspent[static_cast<std::size_t>(
        (bucket.LastSlot + n) % UnspentSlots)];
    double taken = std::min(slot, accepted);
    slot -= taken;
    accepted -= taken;
  }
}

nanoseconds retryDelay(TokenBucket &bucket, const GranterShare &share,
                       base::BootTime now) {
  auto oneToken = std::chrono::duration_cast<nanoseconds>(
      Seconds(1 / std::max(share.Rate, 1e-3)));
  auto missing = std::max(0.0, 1 - bucket.Level);
  auto filled =
      now + std::chrono::duration_cast<nanoseconds>(oneToken * missing);
  auto at = std::max(bucket.NextRetry, filled);
  bucket.NextRetry = std::min(at, now + MaxRetryDelay) + oneToken;
  return std::clamp(at - now, MinRetryDelay, MaxRetryDelay);
}

} // namespace baobabpin::quota
