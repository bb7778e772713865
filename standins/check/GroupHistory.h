/// The surviving history of one group and what can be asked of it.
///
/// The surviving history is the log that ends at the highest (term, index) of
/// all servers of the group.
///
/// \code
///   GroupHistory group = buildGroupHistory("g", logs);
///   Index needed = indexAt(group, sentUs - ageUs);
///   ReadVerdict verdict = judgeRead(group, "GET k", "v", needed);
/// \endcode
#pragma once

#include "standins/check/ServerLog.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace standins::check {

using Index = std::uint64_t;

/// A value of a key and the index of the entry that set it; it holds until the
/// next change.
struct KeyChange {
  Index From = 0;
  std::string Value;
};

/// Who led the group from a moment on.
struct Leadership {
  MonotonicUs AtUs = 0;
  std::uint64_t Term = 0;
  std::string Server;
};

struct GroupHistory {
  std::string Name;
  std::vector<ServerEntry> Entries;
  /// Indices of the entries of each request ID; more than one means that a
  /// request ran twice.
  std::unordered_map<std::string, std::vector<Index>> ByRequest;
  std::map<std::string, std::vector<KeyChange>> Keys;
  /// Request IDs that some server discarded.
  std::set<std::string> Discarded;
  std::set<std::string> ServersWithDiscards;
  std::vector<Leadership> Leaders; ///< By term.
  /// For each server, when it applied entry i + 1 of the surviving history.
  std::map<std::string, std::vector<MonotonicUs>> Applied;
};

GroupHistory buildGroupHistory(const std::string &name,
                               const std::vector<ServerLog> &logs);

/// The last entry that had been appended at \p at; 0 for none.
Index indexAt(const GroupHistory &group, MonotonicUs at);
/// The last entry of the surviving history that \p server had applied at \p at.
Index appliedAt(const GroupHistory &group, const std::string &server,
                MonotonicUs at);
/// Who led the group at \p at; empty when nobody had been promoted.
std::string primaryAt(const GroupHistory &group, MonotonicUs at);
/// Whether \p server was promoted for a term of at least \p term.
bool ledSince(const GroupHistory &group, const std::string &server,
              std::uint64_t term);
/// The primary of exactly \p term; empty when not known.
std::string primaryOf(const GroupHistory &group, std::uint64_t term);

enum class ReadVerdict {
  Fresh, ///< The state after the needed entry or a later one.
  Stale, ///< Only states before the needed entry look like this.
  /// No state of the surviving history looks like this.
  Foreign,
};

/// Compares the answer of a GET or SCAN with the states of the history.
ReadVerdict judgeRead(const GroupHistory &group, const std::string &statement,
                      const std::string &result, Index needed);

} // namespace standins::check
