/// Predicts whether a replica has applied the position that a read needs, from
/// the positions that it reported and the history of the primary.
///
/// Load pattern: two of a group's three servers lag by seconds for ten seconds.
/// Asking a lagging replica costs the read a round trip and the replica work it
/// cannot spare, so a read is sent only to a replica that is expected to have
/// the position. Because a prediction can be too high for long, for example
/// when a replica catches up at once, single trial reads are sent at growing
/// intervals.
///
/// Predictions are made only for a replica that has recently refused a read. A
/// replica that has not is taken to be fresh enough.
///
/// \code
///   recordReport(progress, history, *reply.Position, refused, sentAt, now);
///   ...
///   bool behind = expectedDelay(progress, history, wanted, now) > 0ns;
///   if (!behind || isTrialDue(progress, now)) {
///     if (behind)
///       claimTrial(progress, now);
///     send();
///   }
/// \endcode
#pragma once

#include "baobabpin/cluster/PositionHistory.h"

#include <chrono>
#include <optional>

namespace baobabpin::cluster {

/// What is known of the log position of one replica.
struct ReplicaProgress {
  /// The last reported position, and when the report arrived.
  base::LogPosition Applied;
  base::BootTime ReportedAt{};
  /// How long before ReportedAt the primary had the position Applied. Empty if
  /// the history did not show it.
  std::optional<std::chrono::nanoseconds> Lag;
  /// When the replica last refused a read for lack of a position.
  base::BootTime RefusedAt{};
  /// The lag that the first of the latest refusals showed.
  std::chrono::nanoseconds RefusedLag{0};
  /// The interval between two trial reads, and when the next one is due.
  std::chrono::nanoseconds TrialInterval{0};
  base::BootTime NextTrial{};
};

/// The first interval between two trial reads of a replica, which doubles with
/// each refusal.
inline constexpr std::chrono::milliseconds FirstTrialInterval{100};
/// The longest one. A replica that has caught up has to be used again within a
/// second.
inline constexpr std::chrono::milliseconds MaxTrialInterval{800};
/// A replica that has refused no read for this long is taken to be fresh
/// enough.
inline constexpr std::chrono::milliseconds RefusalRetention = SampleRetention;

/// Returns when the primary reached \p position, interpolated between samples
/// and extrapolated at their mean rate, or nothing if the history does not show
/// it.
std::optional<base::BootTime> timeOfPosition(const PositionHistory &history,
                                             base::LogPosition position,
                                             base::BootTime now);

/// Records the position that a replica reported at \p now in its reply to a
/// request sent at \p sentAt. \p refused: the reply refused a read because the
/// replica lacked the position.
void recordReport(ReplicaProgress &progress, const PositionHistory &history,
                  base::LogPosition position, bool refused,
                  base::BootTime sentAt, base::BootTime now);

/// Returns the time until the replica is expected to have applied \p wanted; 0
/// if it is expected to have it or nothing speaks against it.
std::chrono::nanoseconds expectedDelay(const ReplicaProgress &progress,
                                       const PositionHistory &history,
                                       base::LogPosition wanted,
                                       base::BootTime now);

/// Whether a trial read may be sent to a replica that is expected to lag.
bool isTrialDue(const ReplicaProgress &progress, base::BootTime now);

/// Makes the next trial wait for the trial interval, because one is sent now.
void claimTrial(ReplicaProgress &progress, base::BootTime now);

} // namespace baobabpin::cluster
