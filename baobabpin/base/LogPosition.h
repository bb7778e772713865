/// Positions in the replicated log of a database group.
///
/// \code
///   LogPosition p{.Term = 3, .Index = 120};
///   bool isReadable =
///       checkPosition(starts, last, p) == PositionCheck::Contained;
/// \endcode
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace baobabpin::base {

/// Number of a leadership term of a group; 0 means that there was no primary
/// yet.
using TermNumber = std::uint64_t;
/// Index of a log entry. The first entry has index 1; 0 stands for the empty
/// log.
using LogIndex = std::uint64_t;

/// The position of a log entry. Positions are ordered by term, then by index.
struct LogPosition {
  TermNumber Term = 0;
  LogIndex Index = 0;

  auto operator<=>(const LogPosition &) const = default;
};

/// The position of the first entry that the primary of a term appended.
struct TermStart {
  TermNumber Term = 0;
  LogIndex Index = 0;

  bool operator==(const TermStart &) const = default;
};

/// Whether a log contains the entry at a position.
enum class PositionCheck {
  Contained,  ///< The log contains the entry.
  NotYet,     ///< The log does not contain the entry but may receive it.
  Superseded, ///< Entries of another term replaced the entry, so the log can
              ///< never receive it.
};

/// Checks the position \p wanted against a log that ends at \p last and whose
/// terms began at \p starts, in ascending order. Every log contains the
/// position with index 0.
PositionCheck checkPosition(const std::vector<TermStart> &starts,
                            LogPosition last, LogPosition wanted);

/// Returns "term:index".
std::string formatPosition(LogPosition position);

} // namespace baobabpin::base
