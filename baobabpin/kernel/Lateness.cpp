#include "baobabpin/kernel/Lateness.h"

#include <algorithm>

namespace baobabpin::kernel {
namespace {

using std::chrono::nanoseconds;

struct LateTime {
  nanoseconds Longest{0};
  nanoseconds Total{0};
};

/// Returns the gap that has not ended: the next tick is late already.
LatenessHistory::Gap openGap(const LatenessHistory &history,
                             base::BootTime now) {
  auto due = history.LastTick + LatenessTickPeriod;
  bool late =
      history.LastTick != base::BootTime{} && now - due > LatenessTolerance;
  return {late ? due : now, now};
}

LateTime lateTime(const LatenessHistory &history, base::BootTime since,
                  base::BootTime now) {
  LateTime it;
  auto add = [&](const LatenessHistory::Gap &gap) {
    auto length = std::min(gap.To, now) - std::max(gap.From, since);
    if (length <= nanoseconds(0))
      return;
    it.Longest = std::max<nanoseconds>(it.Longest, length);
    it.Total += length;
  };
  for (const auto &gap : history.Gaps)
    add(gap);
  add(openGap(history, now));
  return it;
}

} // namespace

void noteTick(LatenessHistory &history, base::BootTime now) {
  auto gap = openGap(history, now);
  if (gap.From < gap.To)
    history.Gaps.push_back(gap);
  while (!history.Gaps.empty() && now - history.Gaps.front().To > LatenessKept)
    history.Gaps.pop_front();
  history.LastTick = now;
}

nanoseconds onTimeSilence(const LatenessHistory &history, base::BootTime since,
                          base::BootTime now) {
  auto late = lateTime(history, since, now);
  auto discount = late.Longest +
                  std::min<nanoseconds>(late.Total - late.Longest, MaxDiscount);
  return now - since - discount;
}

bool isUnsure(const LatenessHistory &history, base::BootTime since,
              base::BootTime now, nanoseconds span) {
  bool late = lateTime(history, std::max(since, now - span), now).Total >
              nanoseconds(0);
  if (!late)
    return false;
  auto longest = lateTime(history, since, now).Longest;
  return now - since - longest <= MaxDiscount + span;
}

} // namespace baobabpin::kernel
