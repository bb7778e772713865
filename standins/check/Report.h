/// What the checker counts.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace standins::check {

struct Report {
  std::uint64_t Requests = 0; ///< Attempts, repeats included.

  // Reads outside transactions.
  std::uint64_t Reads = 0; ///< Answered.
  std::uint64_t ReadsServedByReplicas = 0;
  /// Answered reads for which some replica qualified on arrival.
  std::uint64_t ReadsReplicaCouldServe = 0;

  // Violations; every one of these must be 0.
  std::uint64_t AcknowledgedByOldPrimary = 0;
  std::uint64_t RanTwice = 0;
  std::uint64_t FalseNotRun = 0;
  std::uint64_t FalseFailed = 0;
  std::uint64_t StaleReads = 0;
  std::uint64_t LostAcknowledgedWrites = 0;
  std::uint64_t MixedAnswers = 0;
  std::uint64_t CutInFlight = 0;
  std::uint64_t FalsePromotions = 0;

  /// Reads that saw data which the surviving history lacks. The contract allows
  /// them: only the session's own position and the stated age are promised.
  std::uint64_t ReadsOfDiscardedWrites = 0;
  std::uint64_t UnknownAttempts = 0;
  std::uint64_t Unknown = 0; ///< Writes that stayed unknown to the end.
  std::uint64_t TimedOut = 0;
  /// Attempts that were not run, by error type.
  std::map<std::string, std::uint64_t> Refused;

  std::uint64_t Cuts = 0; ///< Of a server that led its group.
  std::uint64_t Failovers = 0;
  std::uint64_t FailoversMissing = 0;
  /// From the cut to the receipt of the first acknowledgement by a new primary.
  std::vector<std::int64_t> GapsUs;

  /// One line for each of the first violations, for the trace.
  std::vector<std::string> Examples;
};

std::uint64_t violationCount(const Report &report);

/// Key and value of every count, in a fixed order.
std::vector<std::pair<std::string, std::string>>
listCounts(const Report &report);

/// key=value lines, each key behind \p prefix.
std::string formatLines(const Report &report, const std::string &prefix);
std::string formatJson(const Report &report);

} // namespace standins::check
