/// Structured log lines on standard output: bounded and never blocking.
///
/// Lines are buffered and written in batches. Beyond MaxLinesPerSecond, and
/// while the reader does not take them, lines are dropped and counted; the next
/// batch reports how many.
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
  /// A line that is logged when the object dies.
  class Line {
  public:
    Line(LineLog &log, std::string_view event);
    ~Line();
    Line(const Line &) = delete;
    Line &operator=(const Line &) = delete;
    Line &add(std::string_view key, std::string_view value);
    Line &add(std::string_view key, std::int64_t value);
    /// In milliseconds with three decimals.
    Line &add(std::string_view key, std::chrono::nanoseconds value);

  private:
    LineLog &Log;
    std::string Text;
  };

  /// \p process names this process in every line. Writes to \p fd.
  LineLog(EventLoop &loop, std::string process, int fd);
  /// Writes what the reader takes at once.
  ~LineLog();
  LineLog(const LineLog &) = delete;
  LineLog &operator=(const LineLog &) = delete;

  Line line(std::string_view event) { return {*this, event}; }
  void flush();
  std::uint64_t droppedLines() const { return DroppedTotal; }

private:
  void append(const std::string &text);

  std::string Process;
  int Fd;
  std::string Buffer;
  std::uint64_t Dropped = 0;
  std::uint64_t DroppedTotal = 0;
  std::uint64_t LinesThisSecond = 0;
  std::chrono::steady_clock::time_point SecondStart;
  Timer FlushTimer;
};

} // namespace baobabpin::kernel
