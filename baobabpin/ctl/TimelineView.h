/// Renders the events of all processes for the terminal and as a page.
#pragma once

#include "baobabpin/operators/ResourceBackend.h"

#include <string>
#include <vector>

namespace baobabpin::ctl {

struct TimelineSource {
  /// In stamp order.
  std::vector<operators::ProcessEvent> Events;
  /// Nodes that did not answer.
  std::vector<std::string> Missing;
};

/// Two events of different processes that a message links.
struct EventLink {
  std::size_t From = 0; ///< Index of the earlier event.
  std::size_t To = 0;

  bool operator==(const EventLink &) const = default;
};

/// Links the first event that carries a message ID, request ID, correlation or
/// store revision to the first event of each other process that carries the
/// same one. Stamps order cause before effect, so the earliest is the origin.
std::vector<EventLink>
findLinks(const std::vector<operators::ProcessEvent> &events);

/// "2026-01-31T12:00:00.000000Z".
std::string formatWallTime(std::uint64_t wallUs);

/// One line an event: UTC time, process, name and fields.
std::string renderTimelineText(const TimelineSource &source);
std::string renderTimelineJson(const TimelineSource &source);

/// One HTML page without references to other files: a lane for each process,
/// time downwards, and an arrow for each link.
std::string renderTimelineHtml(const TimelineSource &source);

} // namespace baobabpin::ctl
