/// Terms, promises and the asynchronous replication of one upstream server.
///
/// A follower pulls: it asks its primary for what comes after its own log
/// (entriesFor) and applies the batch when its replication delay has passed
/// (appendBatch).
///
/// \code
///   Batch batch = entriesFor(primary, positionOf(follower), 256);
///   appendBatch(follower, now, batch);
/// \endcode
#pragma once

#include "standins/upstream/Database.h"

namespace standins::upstream {

struct PrepareAnswer {
  bool Granted = false;
  TermNumber PromisedTerm = 0;
  std::string PromisedBy;
  LogPosition Position;
  std::vector<TermStart> TermStarts;
};

/// Grants \p term to \p candidate when it is higher than any promise, or when
/// the same promise was given before. A primary steps down.
PrepareAnswer prepare(Database &db, TimePoint now, TermNumber term,
                      const std::string &candidate);

/// Makes this server the primary when its promise is exactly (\p term, \p
/// candidate), and appends the entry that starts the term. Repeating it is
/// harmless. Refused with StaleTerm.
Answer promote(Database &db, TimePoint now, TermNumber term,
               const std::string &candidate);

/// Follows \p primary from now on. Refused with StaleTerm below the promise.
Answer follow(Database &db, TimePoint now, TermNumber term,
              const ServerId &primary, const std::string &address);

/// Where a follower's log stands.
struct LogSummary {
  LogPosition Last;
  std::vector<TermStart> TermStarts;
};

LogSummary summarize(const Database &db);

/// What a primary sends: the entries that follow the last common position.
struct Batch {
  TermNumber Term = 0;
  std::string PromisedBy;
  ServerId Primary;
  LogPosition Previous;
  std::vector<LogEntry> Entries;
};

/// The entries after the last position that both logs hold; empty of Term 0
/// when \p db is no primary.
Batch entriesFor(const Database &db, const LogSummary &follower,
                 std::size_t limit);

/// The follower's log after \p batch, without applying it, so that the next
/// batch can be asked for before a delayed one is applied. Unchanged when the
/// batch does not fit.
LogSummary summaryAfter(LogSummary summary, const Batch &batch);

/// Applies a batch: refused with StaleTerm when its term is lower than the
/// promise, with NotCaughtUp when its previous position is not in the log.
/// Entries that contradict the batch are truncated, with an event each.
Answer appendBatch(Database &db, TimePoint now, const Batch &batch);

/// Notes that the known primary was heard, whether or not it sent entries.
void notePrimaryContact(Database &db, TimePoint now, const ServerId &primary);

} // namespace standins::upstream
