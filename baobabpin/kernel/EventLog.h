/// Structured event log. Each event is written through glog as one line of
/// key=value fields. The most recent events are kept in memory for the timeline
/// that operators request over all processes.
///
/// Events are stamped by a hybrid logical clock. Messages between processes
/// carry the sender's stamp, and the receiver merges it into its own clock.
/// Therefore an event that caused another one always has the lower stamp, even
/// if the processes' wall clocks differ.
///
/// \code
///   log.record("promotion_started", {{"group", name}, {"term", "7"}});
/// \endcode
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace baobabpin::kernel {

/// Stamp of a hybrid logical clock: the wall time in microseconds and a counter
/// that orders stamps with the same time.
struct EventStamp {
  std::uint64_t WallUs = 0;
  std::uint32_t Counter = 0;

  auto operator<=>(const EventStamp &) const = default;
};

using EventFields = std::vector<std::pair<std::string, std::string>>;

struct LoggedEvent {
  EventStamp Stamp;
  std::string Name;
  EventFields Fields;
};

/// Source of wall time; tests pass a fixed one.
using WallClock = std::chrono::system_clock::time_point (*)();

class EventLog {
public:
  /// \p process is the name of this process in each line. The log keeps the
  /// last \p capacity events.
  explicit EventLog(std::string process, std::size_t capacity = 4096,
                    WallClock clock = std::chrono::system_clock::now);

  /// Writes one line, keeps the event and returns its stamp.
  EventStamp record(std::string name, EventFields fields = {});
  /// Advances the clock and returns a stamp, to be sent with a message.
  EventStamp stamp();
  /// Merges the stamp of a received message into the clock, so that later
  /// stamps are greater.
  void observe(EventStamp remote);
  /// Returns the kept events with a stamp after \p since, oldest first, at most
  /// \p limit of them.
  std::vector<LoggedEvent> eventsSince(EventStamp since,
                                       std::size_t limit) const;
  const std::string &process() const { return Process; }

private:
  std::string Process;
  std::size_t Capacity;
  WallClock Clock;
  EventStamp LastStamp;
  std::deque<LoggedEvent> RecentEvents;
};

/// Returns the log line of \p event: "ts=... process=... event=name key=value
/// ...". Empty values and values with spaces, quotes, equals signs or newlines
/// are quoted.
std::string formatEvent(const std::string &process, const LoggedEvent &event);

} // namespace baobabpin::kernel
