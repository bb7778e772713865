/// Positions in a group's replicated log.
///
/// \code
///   LogPosition p{.Term = 3, .Index = 120};
///   bool readable = historyContains(starts, last, p);
/// \endcode
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace baobabpin::base {

/// Leadership term of a group; 0 is before any primary.
using TermNumber = std::uint64_t;
/// Index of a log entry; the first entry is 1, 0 is the empty log.
using LogIndex = std::uint64_t;

/// One entry of a log, ordered by term, then index.
struct LogPosition {
  TermNumber Term = 0;
  LogIndex Index = 0;

  auto operator<=>(const LogPosition &) const = default;
};

/// The first entry that a term's primary appended.
struct TermStart {
  TermNumber Term = 0;
  LogIndex Index = 0;

  bool operator==(const TermStart &) const = default;
};

/// Whether a position belongs to a log, given the log's term starts.
enum class PositionCheck {
  Contained,  ///< The log holds this very entry.
  NotYet,     ///< The log may still receive it.
  Superseded, ///< Another term's history replaced it; it can never arrive.
};

/// Compares \p wanted with a log that ends at \p last and whose terms began at
/// \p starts (ascending). The empty position is contained in every log.
PositionCheck checkPosition(const std::vector<TermStart> &starts,
                            LogPosition last, LogPosition wanted);

/// "term:index".
std::string formatPosition(LogPosition position);

} // namespace baobabpin::base
