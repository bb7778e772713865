#include "standins/load/ProcessUsage.h"

#include <fstream>
#include <iterator>
#include <sstream>
#include <unistd.h>

namespace standins::load {

std::optional<std::uint64_t> parseCpuTicks(const std::string &stat) {
  // The command name is in parentheses and may itself hold spaces.
  auto end = stat.rfind(')');
  if (end == std::string::npos)
    return std::nullopt;
  std::istringstream fields(stat.substr(end + 1));
  // utime and stime are the 12th and 13th field after the name.
  std::string skipped;
  for (int i = 0; i < 11; ++i)
    fields >> skipped;
  std::uint64_t user = 0;
  std::uint64_t system = 0;
  if (!(fields >> user >> system))
    return std::nullopt;
  return user + system;
}

std::optional<ProcessUsage> readProcessUsage(pid_t pid) {
  const std::string folder = "/proc/" + std::to_string(pid);
  std::ifstream statFile(folder + "/stat");
  std::string stat{std::istreambuf_iterator<char>(statFile), {}};
  auto ticks = parseCpuTicks(stat);
  if (!ticks)
    return std::nullopt;
  ProcessUsage usage;
  auto perSecond = static_cast<std::uint64_t>(sysconf(_SC_CLK_TCK));
  usage.CpuTime = std::chrono::microseconds(*ticks * 1'000'000 / perSecond);
  std::ifstream status(folder + "/status");
  std::string name;
  while (status >> name) {
    if (name == "VmRSS:")
      status >> usage.ResidentKb;
  }
  return usage;
}

} // namespace standins::load
