/// What an upstream server says happened to it, as the checker needs it.
#pragma once

#include "standins/history/HistoryRecord.h"

#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <vector>

namespace standins::check {

using history::MonotonicUs;

/// One change in a server's final log.
struct ServerEntry {
  std::uint64_t Term = 0;
  std::uint64_t Index = 0;
  std::string RequestId; ///< Empty for the entry that starts a term.
  std::string Text;      ///< Statements separated by "; ".
  std::string Result;
  MonotonicUs AppendedUs = 0; ///< On the primary that took the write.
  MonotonicUs AppliedUs = 0;  ///< On this server.
};

/// An entry that a server dropped because the surviving history has another.
struct DiscardedEntry {
  std::uint64_t Term = 0;
  std::uint64_t Index = 0;
  std::string RequestId;
};

/// This server became the primary of a term.
struct Promotion {
  MonotonicUs AtUs = 0;
  std::uint64_t Term = 0;
};

struct ServerLog {
  std::string Group;
  std::string Server;
  std::vector<ServerEntry> Entries; ///< Entry i has index i + 1.
  std::vector<DiscardedEntry> Discarded;
  std::vector<Promotion> Promotions;
};

/// Reads JSON lines: {"type": "server", "group", "server", "initial_primary"}
/// begins a server, the lines of its GET /admin/history follow. Empty when a
/// line is malformed.
std::optional<std::vector<ServerLog>> parseServerLogs(std::istream &lines);

} // namespace standins::check
