/// Structured log lines on a file descriptor such as standard output. Logging
/// never blocks and uses a bounded amount of memory.
///
/// Lines are buffered and written in batches. Lines are dropped when more than
/// MaxLinesPerSecond arrive, or when the buffer is full because the reader of
/// the descriptor is too slow. The next line that is accepted is preceded by a
/// line with the number of dropped lines.
///
/// \code
///   log.line("statement").add("id", id).add("outcome", "answered");
/// \endcode
#pragma once

#include "baobabpin/kernel/EventLoop.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace baobabpin::kernel {

class LineLog {
public:
  /// Builds one line, which is logged when the object is destroyed.
  class Line {
  public:
    Line(LineLog &log, std::string_view event);
    ~Line();
    Line(const Line &) = delete;
    Line &operator=(const Line &) = delete;
    Line &add(std::string_view key, std::string_view value);
    Line &add(std::string_view key, std::int64_t value);
    /// Adds a duration in milliseconds with three decimals.
    Line &add(std::string_view key, std::chrono::nanoseconds value);

  private:
    LineLog &Log;
    std::string Text;
  };

  /// \p process is the name of this process in each line. Sets \p fd to
  /// non-blocking mode and writes to it.
  LineLog(EventLoop &loop, std::string process, int fd);
  /// Writes as much of the buffer as is possible without blocking.
  ~LineLog();
  LineLog(const LineLog &) = delete;
  LineLog &operator=(const LineLog &) = delete;

  /// Starts a line for an event of the given name.
  Line line(std::string_view event) { return {*this, event}; }
  /// Writes as much of the buffer as is possible without blocking.
  void flush();
  std::uint64_t droppedLines() const { return DroppedTotal; }

private:
  void append(const std::string &text);

  std::string Process;
  int Fd;
  std::string Buffer;
  /// Lines dropped since the last line that reported the number.
  std::uint64_t UnreportedDrops = 0;
  std::uint64_t DroppedTotal = 0;
  std::uint64_t LinesThisSecond = 0;
  std::chrono::steady_clock::time_point SecondStart;
  Timer FlushTimer;
};

} // namespace baobabpin::kernel
