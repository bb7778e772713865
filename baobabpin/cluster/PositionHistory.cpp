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

bool isDiscarded(base::LogPosition position,
                 const std::vector<TermStart> &terms) {
  const TermStart *next = termAfter(terms, position.Term);
  return next && next->Position != base::LogPosition{} &&
         position > next->Position;
}

std::optional<base::LogPosition>
requiredPosition(const PositionHistory &history,
                 const FreshnessRequirement &need,
                 const std::vector<TermStart> &terms) {
  const auto &samples = history.Samples;
  auto it = std::ranges::lower_bound(samples, need.CoveredUntil, {},
                                     &PositionSample::SentAt);
  if (it == samples.end())
    return std::nullopt;
  base::LogPosition required = it->Position;
  if (need.OwnCommit && !isDiscarded(*need.OwnCommit, terms))
    required = std::max(required, *need.OwnCommit);
  return required;
}

} // namespace baobabpin::cluster
