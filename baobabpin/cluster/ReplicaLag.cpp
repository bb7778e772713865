#include "baobabpin/cluster/ReplicaLag.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace baobabpin::cluster {
namespace {

using std::chrono::nanoseconds;

/// A replica whose lag has fallen below this part of the lag that its refusal
/// showed is catching up.
constexpr double CatchingUpRatio = 0.75;

nanoseconds scaled(nanoseconds it, double factor) {
  return nanoseconds(std::llround(static_cast<double>(it.count()) * factor));
}

double entriesBetween(base::LogPosition from, base::LogPosition to) {
  return static_cast<double>(to.Index) - static_cast<double>(from.Index);
}

/// The time that the primary takes to append the entries between two positions,
/// at the mean rate of the history.
std::optional<nanoseconds> timeToAppend(const PositionHistory &history,
                                        base::LogPosition from,
                                        base::LogPosition to) {
  const auto &first = history.Samples.front();
  const auto &last = history.Samples.back();
  double appended = entriesBetween(first.Position, last.Position);
  if (from.Term != to.Term || first.Position.Term != last.Position.Term ||
      appended <= 0)
    return std::nullopt;
  nanoseconds span = last.SentAt - first.SentAt;
  // Bounded so that a distant position cannot overflow the result.
  double factor = std::min(entriesBetween(from, to) / appended, 1000.0);
  return scaled(span, factor);
}

} // namespace

std::optional<base::BootTime> timeOfPosition(const PositionHistory &history,
                                             base::LogPosition position,
                                             base::BootTime now) {
  const auto &samples = history.Samples;
  if (samples.empty())
    return std::nullopt;
  auto after = std::ranges::lower_bound(samples, position, {},
                                        &PositionSample::Position);
  if (after == samples.end()) {
    const auto &last = samples.back();
    auto more = timeToAppend(history, last.Position, position);
    return std::min(now, last.SentAt + more.value_or(nanoseconds(0)));
  }
  if (after == samples.begin()) {
    if (after->Position == position)
      return after->SentAt;
    auto earlier = timeToAppend(history, position, after->Position);
    if (!earlier)
      return std::nullopt;
    return after->SentAt - *earlier;
  }
  const auto &before = *std::prev(after);
  if (before.Position.Term != after->Position.Term)
    return after->SentAt;
  double part = entriesBetween(before.Position, position) /
                entriesBetween(before.Position, after->Position);
  return before.SentAt + scaled(after->SentAt - before.SentAt, part);
}

void recordReport(ReplicaProgress &progress, const PositionHistory &history,
                  base::LogPosition position, bool refused,
                  base::BootTime sentAt, base::BootTime now) {
  // Replies may arrive out of order.
  if (sentAt < progress.ReportedAt && position < progress.Applied)
    return;
  progress.Applied = position;
  progress.ReportedAt = now;
  auto reachedAt = timeOfPosition(history, position, now);
  progress.Lag = reachedAt ? std::optional<nanoseconds>(
                                 std::max(nanoseconds(0), now - *reachedAt))
                           : std::nullopt;
  bool catchingUp = progress.Lag && *progress.Lag < scaled(progress.RefusedLag,
                                                           CatchingUpRatio);
  if (!refused) {
    if (catchingUp) {
      progress.TrialInterval = FirstTrialInterval;
      progress.NextTrial = std::min(progress.NextTrial, now);
      progress.RefusedLag = *progress.Lag;
    }
    return;
  }
  // Reads that were sent before an earlier refusal arrived show nothing new.
  bool repeated = sentAt < progress.RefusedAt;
  bool recent = now - progress.RefusedAt < RefusalRetention;
  progress.RefusedAt = now;
  if (repeated)
    return;
  bool grows = recent && !catchingUp && progress.TrialInterval > nanoseconds(0);
  progress.TrialInterval =
      grows
          ? std::min<nanoseconds>(2 * progress.TrialInterval, MaxTrialInterval)
          : FirstTrialInterval;
  progress.NextTrial = now + progress.TrialInterval;
  progress.RefusedLag = progress.Lag.value_or(nanoseconds(0));
}

nanoseconds expectedDelay(const ReplicaProgress &progress,
                          const PositionHistory &history,
                          base::LogPosition wanted, base::BootTime now) {
  bool refusedRecently = progress.RefusedAt != base::BootTime{} &&
                         now - progress.RefusedAt < RefusalRetention;
  if (!refusedRecently || progress.Applied >= wanted)
    return nanoseconds(0);
  auto wantedSince = timeOfPosition(history, wanted, now);
  if (!wantedSince)
    return nanoseconds(0);
  // A position older than the history is at least that old.
  nanoseconds lag = progress.Lag.value_or(SampleRetention);
  return std::max(nanoseconds(0), *wantedSince + lag - now);
}

bool isTrialDue(const ReplicaProgress &progress, base::BootTime now) {
  return now >= progress.NextTrial;
}

void claimTrial(ReplicaProgress &progress, base::BootTime now) {
  progress.NextTrial =
      now + std::max<nanoseconds>(progress.TrialInterval, FirstTrialInterval);
}

} // namespace baobabpin::cluster
