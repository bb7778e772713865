/// CPU time and resident memory of another process, from /proc.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>

namespace standins::load {

struct ProcessUsage {
  /// User and system time; the kernel counts in steps of usually 10 ms.
  std::chrono::microseconds CpuTime{};
  std::uint64_t ResidentKb = 0;
};

/// Empty when there is no such process.
std::optional<ProcessUsage> readProcessUsage(pid_t pid);

/// CPU time from the text of /proc/PID/stat, in clock ticks.
std::optional<std::uint64_t> parseCpuTicks(const std::string &stat);

} // namespace standins::load
