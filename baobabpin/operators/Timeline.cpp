#include "baobabpin/operators/Timeline.h"

#include <algorithm>
#include <tuple>

namespace baobabpin::operators {
namespace {

auto sortKey(const ProcessEvent &event) {
  return std::tie(event.Event.Stamp, event.Process, event.Event.Name);
}

} // namespace

std::vector<ProcessEvent> mergeTimelines(std::vector<ProcessEvent> events,
                                         std::size_t limit) {
  std::stable_sort(events.begin(), events.end(),
                   [](const ProcessEvent &a, const ProcessEvent &b) {
                     return sortKey(a) < sortKey(b);
                   });
  auto end = std::unique(events.begin(), events.end(),
                         [](const ProcessEvent &a, const ProcessEvent &b) {
                           return sortKey(a) == sortKey(b);
                         });
  events.erase(end, events.end());
  if (events.size() > limit)
    events.resize(limit);
  return events;
}

std::vector<ProcessEvent> localTimeline(const kernel::EventLog &log,
                                        kernel::EventStamp since,
                                        std::size_t limit) {
  std::vector<ProcessEvent> events;
  for (auto &it : log.eventsSince(since, limit))
    events.push_back({log.process(), std::move(it)});
  return events;
}

void writeTimeline(const std::vector<ProcessEvent> &events,
                   proto::TimelineReply &message) {
  for (const auto &it : events) {
    auto &event = *message.add_events();
    event.set_process(it.Process);
    event.set_wall_us(it.Event.Stamp.WallUs);
    event.set_counter(it.Event.Stamp.Counter);
    event.set_name(it.Event.Name);
    for (const auto &[key, value] : it.Event.Fields) {
      auto &field = *event.add_fields();
      field.set_key(key);
      field.set_value(value);
    }
  }
}

std::vector<ProcessEvent> readTimeline(const proto::TimelineReply &message) {
  std::vector<ProcessEvent> events;
  for (const auto &it : message.events()) {
    ProcessEvent event{it.process(),
                       {{it.wall_us(), it.counter()}, it.name(), {}}};
    for (const auto &field : it.fields())
      event.Event.Fields.emplace_back(field.key(), field.value());
    events.push_back(std::move(event));
  }
  return events;
}

} // namespace baobabpin::operators
