#include "baobabpin/kernel/EventLog.h"

#include "baobabpin/kernel/internal/LogValue.h"

#include <glog/logging.h>

#include <algorithm>

namespace baobabpin::kernel {

std::string formatEvent(const std::string &process, const LoggedEvent &event) {
  std::string line = "ts=" + std::to_string(event.Stamp.WallUs) + "." +
                     std::to_string(event.Stamp.Counter);
  line += " process=";
  internal::appendLogValue(line, process);
  line += " event=" + event.Name;
  for (const auto &[key, value] : event.Fields) {
    line += " " + key + "=";
    internal::appendLogValue(line, value);
  }
  return line;
}

EventLog::EventLog(std::string process, std::size_t capacity, WallClock clock)
    : Process(std::move(process)), Capacity(capacity), Clock(clock) {}

EventStamp EventLog::stamp() {
  auto us = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          Clock().time_since_epoch())
          .count());
  if (us > LastStamp.WallUs)
    LastStamp = {us, 0};
  else
    ++LastStamp.Counter;
  return LastStamp;
}

void EventLog::observe(EventStamp remote) {
  LastStamp = std::max(LastStamp, remote);
}

EventStamp EventLog::record(std::string name, EventFields fields) {
  LoggedEvent event{stamp(), std::move(name), std::move(fields)};
  LOG(INFO) << formatEvent(Process, event);
  EventStamp at = event.Stamp;
  RecentEvents.push_back(std::move(event));
  if (RecentEvents.size() > Capacity)
    RecentEvents.pop_front();
  return at;
}

std::vector<LoggedEvent> EventLog::eventsSince(EventStamp since,
                                               std::size_t limit) const {
  std::vector<LoggedEvent> events;
  for (const auto &it : RecentEvents) {
    if (it.Stamp <= since)
      continue;
    if (events.size() == limit)
      break;
    events.push_back(it);
  }
  return events;
}

} // namespace baobabpin::kernel
