#include "baobabpin/soak/Checker.h"

#include <algorithm>

namespace baobabpin::soak {
namespace {

using base::formatPosition;
using base::LogPosition;

std::string ageText(Duration age) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::microseconds>(age)
                 .count()) +
         "us";
}

bool holds(const Database &db, LogPosition position) {
  return position.Index == 0 ||
         (position.Index <= db.Log.size() &&
          db.Log[position.Index - 1].Entry.Position == position);
}

bool holds(const ReadTruth &log, LogPosition position) {
  return base::checkPosition(log.Starts, log.Position, position) ==
         base::PositionCheck::Contained;
}

void popEntry(LogMirror &mirror) {
  --mirror.Counts[mirror.Requests.back()];
  mirror.Positions.pop_back();
  mirror.Attempts.pop_back();
  mirror.Requests.pop_back();
}

void pushEntry(Checker &checker, LogMirror &mirror,
               const standins::upstream::LogEntry &entry) {
  auto request = plainRequest(entry.Request);
  auto attempt = attemptOf(entry.Text);
  mirror.Positions.push_back(entry.Position);
  mirror.Attempts.push_back(attempt);
  mirror.Requests.push_back(request);
  if (request.empty())
    return;
  checker.Executed.insert(attempt);
  if (++mirror.Counts[request] > 1)
    throw Violation(Invariant::AtMostOnce, request +
                                               " twice in one log, again at " +
                                               formatPosition(entry.Position));
  if (checker.NotRun.contains(attempt))
    throw Violation(Invariant::NotRunIsTrue,
                    request + " ran at " + formatPosition(entry.Position) +
                        " after it was reported not run");
}

} // namespace

std::string_view invariantName(Invariant invariant) {
  switch (invariant) {
  case Invariant::ReadYourWrites:
    return "read_your_writes";
  case Invariant::AcknowledgedWriteSurvives:
    return "acknowledged_write_survives";
  case Invariant::AtMostOnce:
    return "at_most_once";
  case Invariant::NotRunIsTrue:
    return "not_run_is_true";
  case Invariant::AgeIsTrue:
    return "age_is_true";
  case Invariant::StrictReadIsCurrent:
    return "strict_read_is_current";
  case Invariant::OnePrimaryPerTerm:
    return "one_primary_per_term";
  case Invariant::PositionLostIsTrue:
    return "position_lost_is_true";
  case Invariant::Liveness:
    return "liveness";
  }
  return "unknown";
}

Violation::Violation(Invariant which, const std::string &detail)
    : std::runtime_error(std::string(invariantName(which)) + ": " + detail),
      Which(which) {}

AttemptId attemptOf(const std::string &text) {
  auto space = text.rfind(' ');
  if (space == std::string::npos)
    return 0;
  return std::stoull(text.substr(space + 1));
}

std::string plainRequest(const std::string &request) {
  return request.substr(0, request.find('#'));
}

void observeLog(Checker &checker, std::size_t server, const Database &db) {
  auto &mirror = checker.Mirrors[server];
  while (!mirror.Positions.empty() && !holds(db, mirror.Positions.back()))
    popEntry(mirror);
  for (auto n = mirror.Positions.size(); n < db.Log.size(); ++n)
    pushEntry(checker, mirror, db.Log[n].Entry);
}

void observePromotion(Checker &checker, const Database &db,
                      base::TermNumber term) {
  auto known = checker.Promoted.find(term);
  if (known != checker.Promoted.end()) {
    if (known->second.Server != db.Server)
      throw Violation(Invariant::OnePrimaryPerTerm,
                      db.Server + " and " + known->second.Server + " in term " +
                          std::to_string(term));
    return;
  }
  checker.Promoted[term] = {db.Server, db.TermStarts,
                            standins::upstream::lastPosition(db)};
  for (const auto &it : checker.Acked) {
    if (it.ConfirmedBy < term && !holds(db, it.Position))
      throw Violation(Invariant::AcknowledgedWriteSurvives,
                      "primary " + db.Server + " of term " +
                          std::to_string(term) + " lacks " +
                          formatPosition(it.Position));
  }
}

std::size_t observeAck(Checker &checker, const AckedWrite &write) {
  auto newest = checker.Promoted.empty() ? 0 : checker.Promoted.rbegin()->first;
  // Whatever the node claims, the newest history must have the write.
  auto from = std::min(write.ConfirmedBy, newest);
  for (const auto &[term, promoted] : checker.Promoted) {
    bool contained =
        base::checkPosition(promoted.Starts, promoted.Start, write.Position) ==
        base::PositionCheck::Contained;
    if (term >= from && term > write.Position.Term && !contained)
      throw Violation(Invariant::AcknowledgedWriteSurvives,
                      "acknowledged " + formatPosition(write.Position) +
                          " by term " + std::to_string(write.ConfirmedBy) +
                          " although term " + std::to_string(term) +
                          " had replaced it");
  }
  checker.Acked.push_back(write);
  return checker.Acked.size() - 1;
}

void observeNotRun(Checker &checker, AttemptId attempt) {
  if (checker.Executed.contains(attempt))
    throw Violation(Invariant::NotRunIsTrue,
                    "attempt " + std::to_string(attempt) +
                        " had run when it was reported not run");
  checker.NotRun.insert(attempt);
}

ReadTruth truthOfRead(const Database &db) {
  return {db.TermStarts, standins::upstream::lastPosition(db)};
}

void observeRead(Checker &checker, const AnsweredRead &read, TimePoint now) {
  ++checker.Reads;
  auto position = formatPosition(read.Truth.Position);
  // The data is as old as the first acknowledgement that it misses.
  auto freshAsOf = now;
  for (const auto &it : checker.Acked) {
    if (holds(read.Truth, it.Position))
      continue;
    freshAsOf = std::min(freshAsOf, it.At);
    bool known = it.ReceivedAt && *it.ReceivedAt <= read.InvokedAt;
    if (read.HasSession && it.Session == read.Session && known)
      throw Violation(Invariant::ReadYourWrites,
                      "read at " + position + " misses the session's write " +
                          formatPosition(it.Position));
  }
  auto age = now - freshAsOf;
  if (read.MaxAge && age > *read.MaxAge)
    throw Violation(Invariant::AgeIsTrue, "read at " + position + " is " +
                                              ageText(age) + " old, allowed " +
                                              ageText(*read.MaxAge));
  if (read.StatedAge && age > *read.StatedAge)
    throw Violation(Invariant::AgeIsTrue, "read at " + position + " is " +
                                              ageText(age) + " old, stated " +
                                              ageText(*read.StatedAge));
  if (read.Strict && freshAsOf < read.ArrivedAt)
    throw Violation(Invariant::StrictReadIsCurrent,
                    "strict read at " + position +
                        " misses a write acknowledged before it began");
}

void checkSurvivingHistory(const Checker &checker, const Database &primary) {
  for (const auto &it : checker.Acked) {
    if (!holds(primary, it.Position))
      throw Violation(Invariant::AcknowledgedWriteSurvives,
                      "surviving history lacks " + formatPosition(it.Position));
  }
  for (const auto &it : checker.Lost) {
    if (holds(primary, it))
      throw Violation(Invariant::PositionLostIsTrue,
                      formatPosition(it) + " is in the surviving history");
  }
}

} // namespace baobabpin::soak
