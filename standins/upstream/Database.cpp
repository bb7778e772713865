#include "standins/upstream/Database.h"

#include "standins/upstream/internal/Changes.h"

#include <charconv>
#include <utility>

namespace standins::upstream {

using baobabpin::base::checkPosition;
using baobabpin::base::PositionCheck;

namespace {

/// The time in a request ID of the form "<unix ms>-<anything>".
std::optional<std::chrono::milliseconds> requestTime(const RequestId &id) {
  auto dash = id.find('-');
  if (dash == std::string::npos || dash + 1 == id.size())
    return std::nullopt;
  std::int64_t ms = 0;
  const char *end = id.data() + dash;
  auto [ptr, ec] = std::from_chars(id.data(), end, ms);
  if (ec != std::errc() || ptr != end)
    return std::nullopt;
  return std::chrono::milliseconds(ms);
}

Answer checkPositionGuard(const Database &db, LogPosition wanted) {
  switch (checkPosition(db.TermStarts, lastPosition(db), wanted)) {
  case PositionCheck::Contained:
    return {};
  case PositionCheck::NotYet:
    return internal::refuse(db, Problem::NotCaughtUp, "log is too short");
  case PositionCheck::Superseded:
    break;
  }
  return internal::refuse(db, Problem::PositionLost,
                          "position " + formatPosition(wanted) +
                              " is not in the history");
}

Answer checkKind(const Database &db, const ExecuteCall &call) {
  auto statement = parseStatement(call.Text);
  if (!statement)
    return internal::refuse(db, Problem::BadRequest, "unknown statement");
  if (statement->isWrite() != call.IsWrite)
    return internal::refuse(db, Problem::BadRequest,
                            "kind and statement disagree");
  bool isAlone = call.Transaction.empty();
  if (call.IsWrite && isAlone && call.Request.empty())
    return internal::refuse(db, Problem::BadRequest, "request_id is missing");
  return {};
}

Answer runWrite(Database &db, TimePoint now, const ExecuteCall &call) {
  Evaluation evaluation =
      evaluate(*parseStatement(call.Text), internal::tableView(db));
  if (!evaluation.Error.empty())
    return internal::refuse(db, Problem::StatementError, evaluation.Error);
  LogEntry entry{.Request = call.Request,
                 .Text = call.Text,
                 .Result = evaluation.Result,
                 .Changes = std::move(evaluation.Changes)};
  internal::appendOwn(db, now, std::move(entry));
  Answer answer;
  answer.Result = std::move(evaluation.Result);
  answer.Position = lastPosition(db);
  return answer;
}

} // namespace

std::string_view problemName(Problem problem) {
  switch (problem) {
  case Problem::None:
    return "";
  case Problem::StaleTerm:
    return "stale_term";
  case Problem::NotPrimary:
    return "not_primary";
  case Problem::NotCaughtUp:
    return "not_caught_up";
  case Problem::PositionLost:
    return "position_lost";
  case Problem::TooManyConnections:
    return "too_many_connections";
  case Problem::UnknownTransaction:
    return "unknown_transaction";
  case Problem::RequestIdExpired:
    return "request_id_expired";
  case Problem::BadRequest:
    return "bad_request";
  case Problem::StatementError:
    return "statement_error";
  }
  return "";
}

std::string_view roleName(Role role) {
  return role == Role::Primary ? "primary" : "replica";
}

std::string_view eventName(DatabaseEvent::Kind kind) {
  switch (kind) {
  case DatabaseEvent::Kind::Promoted:
    return "promoted";
  case DatabaseEvent::Kind::Followed:
    return "followed";
  case DatabaseEvent::Kind::SteppedDown:
    return "stepped_down";
  case DatabaseEvent::Kind::Truncated:
    return "truncated";
  case DatabaseEvent::Kind::RolledBack:
    return "rolled_back";
  }
  return "";
}

namespace internal {

Answer refuse(const Database &db, Problem problem, std::string message) {
  Answer answer;
  answer.Error = problem;
  answer.Message = std::move(message);
  answer.Position = lastPosition(db);
  return answer;
}

void note(Database &db, DatabaseEvent event) {
  db.Events.push_back(std::move(event));
}

TableView tableView(const Database &db) {
  TableView view;
  view.Lookup = [&db](const std::string &key) -> std::optional<Value> {
    auto it = db.Table.find(key);
    if (it == db.Table.end())
      return std::nullopt;
    return it->second;
  };
  view.Scan = [&db](const std::string &prefix) {
    std::map<std::string, Value> found;
    for (auto it = db.Table.lower_bound(prefix);
         it != db.Table.end() && it->first.starts_with(prefix); ++it)
      found.insert(*it);
    return found;
  };
  return view;
}

void appendEntry(Database &db, TimePoint now, LogEntry entry) {
  AppliedEntry applied{.Entry = std::move(entry), .Applied = now};
  const LogEntry &it = applied.Entry;
  if (db.TermStarts.empty() || db.TermStarts.back().Term != it.Position.Term)
    db.TermStarts.push_back({it.Position.Term, it.Position.Index});
  for (const auto &[key, value] : it.Changes) {
    auto found = db.Table.find(key);
    if (found == db.Table.end())
      applied.Before.emplace(key, std::nullopt);
    else
      applied.Before.emplace(key, found->second);
    db.Table.insert_or_assign(key, value);
  }
  if (!it.Request.empty())
    db.Records.emplace(it.Request, it.Position.Index);
  db.Log.push_back(std::move(applied));
}

void appendOwn(Database &db, TimePoint now, LogEntry entry) {
  entry.Position = {db.Term, lastPosition(db).Index + 1};
  entry.Appended = now;
  appendEntry(db, now, std::move(entry));
}

Answer checkLeads(const Database &db, TermNumber term) {
  if (db.CurrentRole != Role::Primary && term == db.Term)
    return refuse(db, Problem::NotPrimary, "this server is a replica");
  if (term != db.Term || term < db.PromisedTerm)
    return refuse(db, Problem::StaleTerm,
                  "this server serves term " + std::to_string(db.Term));
  return {};
}

Answer checkRequestId(const Database &db, TimePoint now, const RequestId &id) {
  auto at = requestTime(id);
  if (!at)
    return refuse(db, Problem::BadRequest, "malformed request_id");
  if (unixTime(db, now) - *at > RecordLifetime)
    return refuse(db, Problem::RequestIdExpired,
                  "request_id is older than 24 h");
  return {};
}

std::optional<Answer> replay(const Database &db, const RequestId &id) {
  auto it = db.Records.find(id);
  if (it == db.Records.end())
    return std::nullopt;
  const LogEntry &entry = db.Log[it->second - 1].Entry;
  Answer answer;
  answer.Result = entry.Result;
  answer.Position = entry.Position;
  answer.Replayed = true;
  return answer;
}

std::chrono::milliseconds unixTime(const Database &db, TimePoint now) {
  return db.UnixOffset + std::chrono::duration_cast<std::chrono::milliseconds>(
                             now.time_since_epoch());
}

} // namespace internal

Database openDatabase(const OpenOptions &options, TimePoint now) {
  Database db;
  db.Server = options.Server;
  db.UnixOffset = options.UnixOffset;
  db.Primary = options.Primary;
  db.PrimaryAddress = options.PrimaryAddress;
  db.PrimaryHeard = now;
  db.Opened = now;
  if (options.Primary.empty())
    return db;
  db.Term = 1;
  db.PromisedTerm = 1;
  if (options.Primary != options.Server)
    return db;
  db.CurrentRole = Role::Primary;
  db.IsInitialPrimary = true;
  internal::appendOwn(db, now, {});
  return db;
}

LogPosition lastPosition(const Database &db) {
  return db.Log.empty() ? LogPosition{} : db.Log.back().Entry.Position;
}

Answer checkExecute(const Database &db, TimePoint now,
                    const ExecuteCall &call) {
  if (Answer answer = checkKind(db, call); !answer.isOk())
    return answer;
  bool needsPrimary =
      call.IsWrite || call.Term != 0 || !call.Transaction.empty();
  if (needsPrimary) {
    if (Answer answer = internal::checkLeads(db, call.Term); !answer.isOk())
      return answer;
  }
  if (!call.Transaction.empty()) {
    Answer answer =
        internal::checkTransaction(db, call.Transaction, call.Connection);
    if (!answer.isOk())
      return answer;
  }
  if (call.IsWrite && call.Transaction.empty()) {
    Answer answer = internal::checkRequestId(db, now, call.Request);
    if (!answer.isOk())
      return answer;
  }
  return checkPositionGuard(db, call.MinPosition);
}

Answer execute(Database &db, TimePoint now, const ExecuteCall &call) {
  if (Answer answer = checkExecute(db, now, call); !answer.isOk())
    return answer;
  if (!call.Transaction.empty())
    return internal::runInTransaction(db, now, call);
  if (call.IsWrite) {
    if (auto recorded = internal::replay(db, call.Request))
      return *recorded;
    return runWrite(db, now, call);
  }
  Evaluation evaluation =
      evaluate(*parseStatement(call.Text), internal::tableView(db));
  Answer answer;
  answer.Result = std::move(evaluation.Result);
  answer.Position = lastPosition(db);
  return answer;
}

} // namespace standins::upstream
