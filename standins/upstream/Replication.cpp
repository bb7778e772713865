#include "standins/upstream/Replication.h"

#include "standins/upstream/internal/Changes.h"

#include <algorithm>
#include <utility>

namespace standins::upstream {

namespace {

void noteRoleChange(Database &db, TimePoint now, DatabaseEvent::Kind kind,
                    const std::string &subject) {
  internal::note(db, {.What = kind,
                      .At = now,
                      .Term = db.Term,
                      .Position = lastPosition(db),
                      .Subject = subject});
}

void stepDown(Database &db, TimePoint now) {
  if (db.CurrentRole != Role::Primary)
    return;
  db.CurrentRole = Role::Replica;
  db.Primary.clear();
  db.PrimaryAddress.clear();
  internal::rollbackAll(db, now);
  noteRoleChange(db, now, DatabaseEvent::Kind::SteppedDown, "");
}

bool hasPosition(const LogSummary &summary, LogPosition position) {
  return checkPosition(summary.TermStarts, summary.Last, position) ==
         baobabpin::base::PositionCheck::Contained;
}

void undo(Database &db, const AppliedEntry &applied) {
  for (const auto &[key, value] : applied.Before) {
    if (value)
      db.Table.insert_or_assign(key, *value);
    else
      db.Table.erase(key);
  }
  auto record = db.Records.find(applied.Entry.Request);
  bool isOwn = record != db.Records.end() &&
               record->second == applied.Entry.Position.Index;
  if (isOwn)
    db.Records.erase(record);
}

/// Removes the entries from \p first on.
void truncate(Database &db, TimePoint now, LogIndex first) {
  while (lastPosition(db).Index >= first) {
    const AppliedEntry &last = db.Log.back();
    undo(db, last);
    internal::note(db, {.What = DatabaseEvent::Kind::Truncated,
                        .At = now,
                        .Term = db.PromisedTerm,
                        .Position = last.Entry.Position,
                        .Subject = last.Entry.Request});
    db.Log.pop_back();
  }
  std::erase_if(db.TermStarts,
                [&](const TermStart &it) { return it.Index >= first; });
}

/// The end of term number \p i in a log.
LogIndex termEnd(const LogSummary &summary, std::size_t i) {
  if (i + 1 < summary.TermStarts.size())
    return summary.TermStarts[i + 1].Index - 1;
  return summary.Last.Index;
}

/// The last position that both logs hold. Two logs that start a term at the
/// same index are equal up to the end of that term in the shorter one, because
/// a term has one primary.
LogPosition commonPosition(const LogSummary &a, const LogSummary &b) {
  LogPosition common;
  auto n = std::min(a.TermStarts.size(), b.TermStarts.size());
  for (std::size_t i = 0; i < n && a.TermStarts[i] == b.TermStarts[i]; ++i)
    common = {a.TermStarts[i].Term, std::min(termEnd(a, i), termEnd(b, i))};
  return common;
}

void adoptTerm(Database &db, TimePoint now, TermNumber term) {
  if (term > db.Term)
    stepDown(db, now);
  db.Term = term;
  db.PromisedTerm = term;
}

} // namespace

PrepareAnswer prepare(Database &db, TimePoint now, TermNumber term,
                      const std::string &candidate) {
  PrepareAnswer answer;
  if (term > db.PromisedTerm) {
    stepDown(db, now);
    db.PromisedTerm = term;
    db.PromisedBy = candidate;
    answer.Granted = true;
  } else {
    answer.Granted = term == db.PromisedTerm && candidate == db.PromisedBy;
  }
  answer.PromisedTerm = db.PromisedTerm;
  answer.PromisedBy = db.PromisedBy;
  answer.Position = lastPosition(db);
  answer.TermStarts = db.TermStarts;
  return answer;
}

Answer promote(Database &db, TimePoint now, TermNumber term,
               const std::string &candidate) {
  Answer answer;
  bool isPromised = term == db.PromisedTerm && candidate == db.PromisedBy &&
                    !candidate.empty();
  if (!isPromised)
    return internal::refuse(db, Problem::StaleTerm,
                            "promised " + std::to_string(db.PromisedTerm) +
                                " to " + db.PromisedBy);
  bool follows = db.Term == term && db.CurrentRole != Role::Primary;
  if (follows)
    return internal::refuse(db, Problem::StaleTerm,
                            "follows " + db.Primary + " in this term");
  if (db.CurrentRole != Role::Primary) {
    db.CurrentRole = Role::Primary;
    db.Term = term;
    db.Primary = db.Server;
    db.PrimaryAddress.clear();
    internal::appendOwn(db, now, {});
    noteRoleChange(db, now, DatabaseEvent::Kind::Promoted, candidate);
  }
  answer.Position = lastPosition(db);
  return answer;
}

Answer follow(Database &db, TimePoint now, TermNumber term,
              const ServerId &primary, const std::string &address) {
  if (term < db.PromisedTerm)
    return internal::refuse(db, Problem::StaleTerm,
                            "promised " + std::to_string(db.PromisedTerm));
  bool leads = db.CurrentRole == Role::Primary && db.Term == term;
  if (leads || primary == db.Server)
    return internal::refuse(db, Problem::BadRequest,
                            "a primary cannot follow in its own term");
  if (term > db.PromisedTerm)
    db.PromisedBy.clear();
  adoptTerm(db, now, term);
  bool isNew = db.Primary != primary || db.PrimaryAddress != address;
  db.Primary = primary;
  db.PrimaryAddress = address;
  if (isNew) {
    // The new primary gets the full detection time before it counts as silent.
    db.PrimaryHeard = now;
    noteRoleChange(db, now, DatabaseEvent::Kind::Followed, primary);
  }
  Answer answer;
  answer.Position = lastPosition(db);
  return answer;
}

LogSummary summarize(const Database &db) {
  return {lastPosition(db), db.TermStarts};
}

Batch entriesFor(const Database &db, const LogSummary &follower,
                 std::size_t limit) {
  Batch batch;
  if (db.CurrentRole != Role::Primary)
    return batch;
  batch.Term = db.Term;
  batch.PromisedBy = db.PromisedBy;
  batch.Primary = db.Server;
  batch.Previous = commonPosition(summarize(db), follower);
  auto n = std::min<std::size_t>(limit, db.Log.size() - batch.Previous.Index);
  batch.Entries.reserve(n);
  for (std::size_t i = 0; i < n; ++i)
    batch.Entries.push_back(db.Log[batch.Previous.Index + i].Entry);
  return batch;
}

LogSummary summaryAfter(LogSummary summary, const Batch &batch) {
  if (!hasPosition(summary, batch.Previous) || batch.Entries.empty())
    return summary;
  summary.Last = batch.Previous;
  std::erase_if(summary.TermStarts, [&](const TermStart &it) {
    return it.Index > batch.Previous.Index;
  });
  for (const auto &it : batch.Entries) {
    if (summary.TermStarts.empty() ||
        summary.TermStarts.back().Term != it.Position.Term)
      summary.TermStarts.push_back({it.Position.Term, it.Position.Index});
    summary.Last = it.Position;
  }
  return summary;
}

Answer appendBatch(Database &db, TimePoint now, const Batch &batch) {
  bool leads = db.CurrentRole == Role::Primary && db.Term == batch.Term;
  if (batch.Term < db.PromisedTerm || leads)
    return internal::refuse(db, Problem::StaleTerm,
                            "promised " + std::to_string(db.PromisedTerm));
  if (!hasPosition(summarize(db), batch.Previous))
    return internal::refuse(db, Problem::NotCaughtUp,
                            "previous position " +
                                formatPosition(batch.Previous) +
                                " is not in the log");
  adoptTerm(db, now, batch.Term);
  db.PromisedBy = batch.PromisedBy;
  for (const auto &it : batch.Entries) {
    auto index = it.Position.Index;
    if (index <= db.Log.size()) {
      if (db.Log[index - 1].Entry.Position == it.Position)
        continue;
      truncate(db, now, index);
    }
    internal::appendEntry(db, now, it);
  }
  Answer answer;
  answer.Position = lastPosition(db);
  return answer;
}

void notePrimaryContact(Database &db, TimePoint now, const ServerId &primary) {
  if (db.CurrentRole == Role::Replica && db.Primary == primary)
    db.PrimaryHeard = now;
}

} // namespace standins::upstream
