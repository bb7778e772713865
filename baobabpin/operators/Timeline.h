/// Merges the events of several processes into one order.
#pragma once

#include "baobabpin/operators/ResourceBackend.h"
#include "baobabpin/proto/operators.pb.h"

#include <vector>

namespace baobabpin::operators {

/// Used when a request states no limit, and the greatest that is served.
inline constexpr std::size_t DefaultTimelineLimit = 1'000;
inline constexpr std::size_t MaxTimelineLimit = 20'000;

/// Sorted by stamp, then process; an event that two nodes reported appears
/// once. Keeps the first \p limit, so that a reader can continue after the
/// last stamp.
std::vector<ProcessEvent> mergeTimelines(std::vector<ProcessEvent> events,
                                         std::size_t limit);

/// The events that \p log holds.
std::vector<ProcessEvent> localTimeline(const kernel::EventLog &log,
                                        kernel::EventStamp since,
                                        std::size_t limit);

void writeTimeline(const std::vector<ProcessEvent> &events,
                   proto::TimelineReply &message);
std::vector<ProcessEvent> readTimeline(const proto::TimelineReply &message);

} // namespace baobabpin::operators
