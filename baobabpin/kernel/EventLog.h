/// Structured event log: one key=value line an event, through glog, and a
/// bounded ring of recent events for the time line over all processes.
///
/// Events carry a hybrid logical clock: a message that one process sends and
/// another receives carries the stamp, and the receiver observes it, so that
/// stamps order cause before effect across processes.
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

/// Hybrid logical clock stamp: wall time in microseconds, then a counter for
/// events of the same microsecond.
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

/// Source of wall time, replaceable in tests.
using WallClock = std::chrono::system_clock::time_point (*)();

class EventLog {
public:
  /// \p process names this process in every line.
  explicit EventLog(std::string process, std::size_t capacity = 4096,
                    WallClock clock = std::chrono::system_clock::now);

  /// Logs one line and keeps the event in the ring.
  EventStamp record(std::string name, EventFields fields = {});
  /// Advances the clock to send it along with a message.
  EventStamp stamp();
  /// Merges the stamp of a received message.
  void observe(EventStamp remote);
  /// Events after \p since in stamp order, at most \p limit.
  std::vector<LoggedEvent> eventsSince(EventStamp since,
                                       std::size_t limit) const;
  const std::string &process() const { return Process; }

private:
  std::string Process;
  std::size_t Capacity;
  WallClock Now;
  EventStamp Last;
  std::deque<LoggedEvent> Ring;
};

/// Renders "event=name k=v ..."; values with spaces or quotes are quoted.
std::string formatEvent(const std::string &process, const LoggedEvent &event);

} // namespace baobabpin::kernel
