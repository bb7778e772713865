/// Compares what callers saw with what the servers hold at the end.
///
/// \code
///   Report report = check({records, servers, faults, 3ms});
/// \endcode
#pragma once

#include "standins/check/GroupHistory.h"
#include "standins/check/Report.h"
#include "standins/history/FaultRecord.h"

#include <chrono>
#include <vector>

namespace standins::check {

struct Evidence {
  std::vector<history::HistoryRecord> Records;
  std::vector<ServerLog> Servers;
  std::vector<history::FaultRecord> Faults;
  /// One way between callers and nodes; a request arrives that long after it
  /// was sent.
  std::chrono::microseconds ClientLatency{};
};

Report check(const Evidence &evidence);

namespace internal {

/// A cut of a server's links, until it was healed.
struct CutSpan {
  std::string Group;
  std::string Server;
  MonotonicUs From = 0;
  MonotonicUs To = 0;
  /// The server led its group when it was cut.
  bool OfPrimary = false;
};

/// Evidence, arranged for the checks.
struct Case {
  const Evidence &Given;
  std::map<std::string, GroupHistory> Groups;
  std::vector<CutSpan> Cuts;
  MonotonicUs StartUs = 0;
  Report Result;
};

Case arrange(const Evidence &evidence);
void noteViolation(Case &it, std::uint64_t &counter, const char *name,
                   const history::HistoryRecord &record,
                   const std::string &detail = "");

void checkReads(Case &it);
void checkWrites(Case &it);
void checkAvailability(Case &it);

} // namespace internal
} // namespace standins::check
