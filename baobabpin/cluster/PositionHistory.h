/// Computes the log position that a read needs for the freshness that its route
/// guarantees.
///
/// A position that the primary reported in reply to a request sent at time s
/// covers every commit that was acknowledged before s. A read that may miss the
/// commits of the last M therefore needs a position with s at or after now - M.
/// The oldest such position is used, because the most replicas have reached it.
///
/// \code
///   recordSample(history, epoch, sentAt, position);
///   auto required = requiredPosition(history, {now - 1500ms, sessionCommit},
///                                    knownTerms(record));
/// \endcode
#pragma once

#include "baobabpin/base/BootClock.h"
#include "baobabpin/base/LogPosition.h"
#include "baobabpin/cluster/Types.h"

#include <deque>
#include <optional>
#include <vector>

namespace baobabpin::cluster {

/// A position that the primary reported in reply to a request sent at SentAt.
struct PositionSample {
  base::BootTime SentAt{};
  base::LogPosition Position;
};

/// The recent samples of one group.
struct PositionHistory {
  /// The epoch of the primary that reported the samples.
  std::uint64_t Epoch = 0;
  /// Sorted by SentAt and by Position, in ascending order.
  std::deque<PositionSample> Samples;
};

/// Samples are kept for this long. It must exceed the MaxStaleness of every
/// route that should benefit from old samples; a route whose MaxStaleness is
/// longer gets the oldest sample that is kept.
inline constexpr std::chrono::milliseconds SampleRetention{6000};

/// Adds the position that the primary of \p epoch reported in reply to a
/// request sent at \p sentAt. The first sample of a new epoch removes those of
/// earlier epochs, whose last commits may have been rolled back.
void recordSample(PositionHistory &history, std::uint64_t epoch,
                  base::BootTime sentAt, base::LogPosition position);

/// The commits that a read must see.
struct FreshnessRequirement {
  /// Commits acknowledged before this time must be visible.
  base::BootTime CoveredUntil{};
  /// The session's own last commit, if it must be visible.
  std::optional<base::LogPosition> OwnCommit;
};

/// Whether a promotion has discarded the log entry at \p position. \p terms are
/// the known beginnings of terms, in ascending order. An entry counts as kept
/// if the beginning of the term that followed it is not known.
bool isDiscarded(base::LogPosition position,
                 const std::vector<TermStart> &terms);

/// Returns the lowest known position that satisfies \p need, or nothing when no
/// sample does. \p terms is the same as for isDiscarded().
///
/// Positions of one log are ordered by term and index. The epoch says nothing
/// about that order: it also grows when the same primary goes on with the same
/// log, and nodes that have not noticed that yet acknowledge commits that the
/// first samples of the new epoch lack. Hence only a discarded commit is not
/// required. The log may never reach its position.
std::optional<base::LogPosition>
requiredPosition(const PositionHistory &history,
                 const FreshnessRequirement &need,
                 const std::vector<TermStart> &terms);

} // namespace baobabpin::cluster
