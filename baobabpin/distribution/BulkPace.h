/// Limits bulk data to a share of the host's network link.
///
/// Load pattern: several peers fetch a large document at the same time while
/// the same link carries the renewals of leases and clients' statements. Each
/// piece of bulk data waits until the link has had time to send the pieces
/// before it, so that a small message waits for one piece at most.
#pragma once

#include "baobabpin/base/BootClock.h"

#include <chrono>
#include <cstddef>

namespace baobabpin::distribution {

/// The share of the link that bulk data may use, in percent.
inline constexpr std::int64_t BulkSharePercent = 65;
/// The rate that is assumed for a host whose link is not known, in bytes per
/// second.
inline constexpr std::int64_t UnknownLinkBytesPerSecond = 1'250'000;

struct BulkPace {
  /// The rate of bulk data.
  std::int64_t BytesPerSecond =
      UnknownLinkBytesPerSecond * BulkSharePercent / 100;
  /// When the link will have sent all bulk data that was admitted so far.
  base::BootTime FreeAt{};
};

/// Returns the pace for a link of \p linkMegabits Mbit/s; 0 if unknown.
BulkPace paceForLink(std::int64_t linkMegabits);

/// Returns how long to wait before sending \p bytes more.
std::chrono::nanoseconds admitBulk(BulkPace &pace, std::size_t bytes,
                                   base::BootTime now);

} // namespace baobabpin::distribution
