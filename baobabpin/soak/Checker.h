/// The invariants of the randomised run, checked against what really happened.
///
/// The checker sees every log change of every server, every acknowledgement and
/// every answer, in fake true time. A violation throws.
#pragma once

#include "baobabpin/soak/Simulation.h"
#include "standins/upstream/Database.h"

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace baobabpin::soak {

using standins::upstream::Database;

/// Number of one attempt of a request; every attempt has its own.
using AttemptId = std::uint64_t;

enum class Invariant {
  ReadYourWrites,
  AcknowledgedWriteSurvives,
  AtMostOnce,
  NotRunIsTrue,
  AgeIsTrue,
  StrictReadIsCurrent,
  OnePrimaryPerTerm,
  PositionLostIsTrue,
  Liveness,
};
std::string_view invariantName(Invariant invariant);

class Violation : public std::runtime_error {
public:
  Violation(Invariant which, const std::string &detail);
  Invariant Which;
};

struct AckedWrite {
  base::LogPosition Position;
  TimePoint At;
  unsigned Session = 0;
  /// The term whose majority confirmed it. A term between the write's own and
  /// this one may lack the write, when that term's entries were never confirmed
  /// and a later promotion chose a log that has the write.
  base::TermNumber ConfirmedBy = 0;
  /// When the caller got the answer; only then its session must see the write.
  std::optional<TimePoint> ReceivedAt;
};

/// A copy of what the checker last saw of a server's log.
struct LogMirror {
  std::vector<base::LogPosition> Positions;
  std::vector<AttemptId> Attempts;
  std::vector<std::string> Requests;
  std::unordered_map<std::string, unsigned> Counts;
};

struct PromotedTerm {
  std::string Server;
  std::vector<base::TermStart> Starts;
  base::LogPosition Start;
};

/// The log that a server had when it ran a read.
struct ReadTruth {
  std::vector<base::TermStart> Starts;
  base::LogPosition Position;
};

struct Checker {
  std::vector<AckedWrite> Acked;
  std::vector<LogMirror> Mirrors;
  std::map<base::TermNumber, PromotedTerm> Promoted;
  std::unordered_set<AttemptId> NotRun;
  std::unordered_set<AttemptId> Executed;
  std::vector<base::LogPosition> Lost;
  std::uint64_t Reads = 0;
  std::uint64_t ReplicaReads = 0;
};

/// Call after every event that may have changed the server's log.
void observeLog(Checker &checker, std::size_t server, const Database &db);
void observePromotion(Checker &checker, const Database &db,
                      base::TermNumber term);
/// Returns the index in Checker::Acked.
std::size_t observeAck(Checker &checker, const AckedWrite &write);
void observeNotRun(Checker &checker, AttemptId attempt);

ReadTruth truthOfRead(const Database &db);

struct AnsweredRead {
  ReadTruth Truth;
  unsigned Session = 0;
  /// When the caller sent it, and when it reached the node.
  TimePoint InvokedAt;
  TimePoint ArrivedAt;
  std::optional<Duration> StatedAge;
  std::optional<Duration> MaxAge;
  bool Strict = false;
  bool HasSession = false;
};
void observeRead(Checker &checker, const AnsweredRead &read, TimePoint now);

/// Checks the surviving history at the end of a run.
void checkSurvivingHistory(const Checker &checker, const Database &primary);

/// The attempt that a statement's text names.
AttemptId attemptOf(const std::string &text);
/// The request ID without the suffix that Safeguard::RequestRecord adds.
std::string plainRequest(const std::string &request);

} // namespace baobabpin::soak
