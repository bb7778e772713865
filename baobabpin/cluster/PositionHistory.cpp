#include "baobabpin/cluster/PositionHistory.h"

#include <algorithm>

namespace baobabpin::cluster {

void recordSample(PositionHistory &history, std::uint64_t epoch,
                  base::BootTime sentAt, base::LogPosition position) {
  if (epoch < history.Epoch)
    return;
  auto &samples = history.Samples;
  if (epoch > history.Epoch) {
    samples.clear();
    history.Epoch = epoch;
  }
  while (!samples.empty() && samples.front().SentAt < sentAt - SampleRetention)
    samples.pop_front();
  if (samples.empty()) {
    samples.push_back({sentAt, position});
    return;
  }
  PositionSample &last = samples.back();
  // Replies may arrive out of order. A reply to an older request adds no
  // information.
  if (sentAt <= last.SentAt || position < last.Position)
    return;
  if (position == last.Position)
    last.SentAt = sentAt;
  else
    samples.push_back({sentAt, position});
}

std::optional<base::LogPosition>
requiredPosition(const PositionHistory &history,
                 const FreshnessRequirement &need) {
  const auto &samples = history.Samples;
  auto it = std::ranges::lower_bound(samples, need.CoveredUntil, {},
                                     &PositionSample::SentAt);
  if (it == samples.end())
    return std::nullopt;
  base::LogPosition required = it->Position;
  // A commit of an earlier epoch is either covered by every position that the
  // current primary reports, or was rolled back and can never be reached.
  if (need.OwnCommit && need.OwnEpoch >= history.Epoch)
    required = std::max(required, *need.OwnCommit);
  return required;
}

} // namespace baobabpin::cluster
