/// Which log position a read needs so that it is as fresh as its route asks.
///
/// A position that the primary reported in reply to a request sent at time s
/// covers every commit that was acknowledged before s. A read that may miss the
/// commits of the last M therefore needs any such position with s at or after
/// now - M; the oldest one is met by the most replicas.
///
/// \code
///   recordSample(history, epoch, sentAt, position);
///   auto wanted = requiredPosition(history, {now - 1500ms, sessionCommit});
/// \endcode
#pragma once

#include "baobabpin/base/BootClock.h"
#include "baobabpin/base/LogPosition.h"

#include <deque>
#include <optional>

namespace baobabpin::cluster {

struct PositionSample {
  base::BootTime SentAt{};
  base::LogPosition Position;
};

struct PositionHistory {
  /// The group's epoch in which the samples were taken.
  std::uint64_t Epoch = 0;
  /// Ascending in SentAt and in Position.
  std::deque<PositionSample> Samples;
};

/// Samples are kept this long, which must exceed every route's MaxStaleness
/// that should profit from old samples.
inline constexpr std::chrono::milliseconds SampleRetention{6000};

/// Adds the position that the primary of \p epoch reported in reply to a
/// request sent at \p sentAt. The first sample of a new epoch drops those of
/// earlier ones, whose last commits may be gone.
void recordSample(PositionHistory &history, std::uint64_t epoch,
                  base::BootTime sentAt, base::LogPosition position);

struct FreshnessRequirement {
  /// Commits acknowledged before this time must be visible.
  base::BootTime CoveredSince{};
  /// The session's own last commit, if it must be visible.
  std::optional<base::LogPosition> OwnCommit;
  /// The group's epoch in which OwnCommit was acknowledged.
  std::uint64_t OwnEpoch = 0;
};

/// Empty when no known position proves the need.
std::optional<base::LogPosition>
requiredPosition(const PositionHistory &history,
                 const FreshnessRequirement &need);

} // namespace baobabpin::cluster
