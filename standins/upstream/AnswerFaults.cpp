#include "standins/upstream/AnswerFaults.h"

#include <algorithm>
#include <utility>

namespace standins::upstream {

using baobabpin::base::Duration;
using baobabpin::base::TimePoint;

namespace {

bool use(std::uint64_t &count) {
  if (count == 0)
    return false;
  --count;
  return true;
}

} // namespace

Delivery decideDelivery(AnswerFaults &faults, TimePoint now,
                        OutgoingAnswer answer) {
  TimePoint due = std::max({now, answer.NotBefore, faults.PausedUntil});
  Delivery delivery{.Delay = due - now, .Body = std::move(answer.Body)};
  if (!answer.IsStatement)
    return delivery;
  std::string own = delivery.Body;
  if (use(faults.DropCount))
    delivery.IsDropped = true;
  else if (!faults.LastStatementBody.empty() && use(faults.CrossCount))
    delivery.Body = faults.LastStatementBody;
  if (use(faults.LateCount))
    delivery.Delay = std::max(delivery.Delay, faults.LateBy);
  faults.LastStatementBody = std::move(own);
  return delivery;
}

} // namespace standins::upstream
