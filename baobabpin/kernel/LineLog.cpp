#include "baobabpin/kernel/LineLog.h"

#include "baobabpin/kernel/internal/LogValue.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>

namespace baobabpin::kernel {
namespace {

/// Maximum number of lines that are accepted per second. It exceeds the
/// statement rate of one node on a full day, which is about 200 per second.
constexpr std::uint64_t MaxLinesPerSecond = 500;
/// Limits the lines that are waiting to be written.
constexpr std::size_t MaxBufferBytes = std::size_t{256} * 1024;
constexpr std::chrono::milliseconds FlushPeriod{100};

} // namespace

LineLog::Line::Line(LineLog &log, std::string_view event) : Log(log) {
  Text.reserve(256);
  auto us = std::chrono::duration_cast<std::chrono::microseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
  Text += "ts=";
  Text += std::to_string(us);
  Text += " process=";
  Text += log.Process;
  Text += " event=";
  Text += event;
}

LineLog::Line::~Line() {
  Text += '\n';
  Log.append(Text);
}

LineLog::Line &LineLog::Line::add(std::string_view key,
                                  std::string_view value) {
  Text += ' ';
  Text += key;
  Text += '=';
  internal::appendLogValue(Text, value);
  return *this;
}

LineLog::Line &LineLog::Line::add(std::string_view key, std::int64_t value) {
  return add(key, std::to_string(value));
}

LineLog::Line &LineLog::Line::add(std::string_view key,
                                  std::chrono::nanoseconds value) {
  char buf[32];
  std::snprintf(buf, sizeof buf, "%.3f",
                static_cast<double>(value.count()) / 1e6);
  return add(key, buf);
}

LineLog::LineLog(EventLoop &loop, std::string process, int fd)
    : Process(std::move(process)), Fd(fd),
      SecondStart(std::chrono::steady_clock::now()) {
  int flags = fcntl(Fd, F_GETFL);
  fcntl(Fd, F_SETFL, flags | O_NONBLOCK);
  FlushTimer = loop.runEvery(FlushPeriod, [this] { flush(); });
}

LineLog::~LineLog() { flush(); }

void LineLog::append(const std::string &text) {
  auto now = std::chrono::steady_clock::now();
  if (now - SecondStart >= std::chrono::seconds(1)) {
    SecondStart = now;
    LinesThisSecond = 0;
  }
  bool isFull = Buffer.size() + text.size() > MaxBufferBytes;
  if (isFull || ++LinesThisSecond > MaxLinesPerSecond) {
    ++UnreportedDrops;
    ++DroppedTotal;
    return;
  }
  if (UnreportedDrops > 0) {
    Buffer += "process=" + Process + " event=log_lines_dropped lines=" +
              std::to_string(UnreportedDrops) + "\n";
    UnreportedDrops = 0;
  }
  Buffer += text;
}

void LineLog::flush() {
  if (Buffer.empty())
    return;
  ssize_t n = write(Fd, Buffer.data(), Buffer.size());
  if (n > 0)
    Buffer.erase(0, static_cast<std::size_t>(n));
}

} // namespace baobabpin::kernel
