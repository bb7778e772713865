#include "standins/upstream/Messages.h"

#include <algorithm>
#include <utility>

namespace standins::upstream {

namespace {

json encodeChanges(const Effects &changes) {
  json object = json::object();
  for (const auto &entry : changes)
    std::visit([&](const auto &it) { object[entry.first] = it; }, entry.second);
  return object;
}

Effects decodeChanges(const json &object) {
  Effects changes;
  for (const auto &[key, value] : object.items()) {
    if (value.is_number_integer())
      changes.emplace(key, value.get<std::int64_t>());
    else
      changes.emplace(key, value.get<std::string>());
  }
  return changes;
}

std::vector<TermStart> decodeTermStarts(const json &values) {
  std::vector<TermStart> starts;
  for (const auto &it : values)
    starts.push_back(
        {it.at("term").get<TermNumber>(), it.at("index").get<LogIndex>()});
  return starts;
}

json encodeEntry(const LogEntry &entry) {
  return {{"term", entry.Position.Term},
          {"index", entry.Position.Index},
          {"request_id", entry.Request},
          {"statement", entry.Text},
          {"result", entry.Result},
          {"appended_us", microseconds(entry.Appended)}};
}

LogEntry decodeEntry(const json &body) {
  LogEntry entry;
  entry.Position = {body.at("term").get<TermNumber>(),
                    body.at("index").get<LogIndex>()};
  entry.Request = body.at("request_id").get<std::string>();
  entry.Text = body.at("statement").get<std::string>();
  entry.Result = body.at("result").get<std::string>();
  entry.Changes = decodeChanges(body.at("changes"));
  entry.Appended = TimePoint(
      std::chrono::microseconds(body.at("appended_us").get<std::int64_t>()));
  return entry;
}

json encodeEvent(const DatabaseEvent &event) {
  json body{{"type", "event"},
            {"event", eventName(event.What)},
            {"at_us", microseconds(event.At)},
            {"term", event.Term},
            {"position", encodePosition(event.Position)}};
  switch (event.What) {
  case DatabaseEvent::Kind::Truncated:
    body["request_id"] = event.Subject;
    break;
  case DatabaseEvent::Kind::RolledBack:
    body["transaction"] = event.Subject;
    body["reason"] = event.Reason;
    break;
  case DatabaseEvent::Kind::Followed:
    body["primary"] = event.Subject;
    break;
  case DatabaseEvent::Kind::Promoted:
    body["candidate"] = event.Subject;
    break;
  case DatabaseEvent::Kind::SteppedDown:
    break;
  }
  return body;
}

const char *outcomeOf(const Answer &answer) {
  if (answer.isOk())
    return "ok";
  return answer.Error == Problem::StatementError ? "failed" : "refused";
}

} // namespace

std::string dumpJson(const json &value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json encodePosition(LogPosition position) {
  return {{"term", position.Term}, {"index", position.Index}};
}

LogPosition decodePosition(const json &body, const char *name) {
  auto it = body.find(name);
  if (it == body.end())
    return {};
  return {it->at("term").get<TermNumber>(), it->at("index").get<LogIndex>()};
}

json encodeTermStarts(const std::vector<TermStart> &starts) {
  json array = json::array();
  for (const auto &it : starts)
    array.push_back({{"term", it.Term}, {"index", it.Index}});
  return array;
}

ExecuteCall decodeExecute(const json &body, std::uint64_t connection) {
  ExecuteCall call;
  auto kind = body.at("kind").get<std::string>();
  if (kind != "read" && kind != "write")
    throw json::type_error::create(302, "kind must be read or write", &body);
  call.IsWrite = kind == "write";
  call.Term = body.at("term").get<TermNumber>();
  call.Text = body.at("statement").get<std::string>();
  call.Request = body.value("request_id", "");
  call.MinPosition = decodePosition(body, "min_position");
  call.Transaction = body.value("transaction", "");
  call.Connection = connection;
  return call;
}

EndCall decodeEnd(const json &body, std::uint64_t connection) {
  return {.Term = body.at("term").get<TermNumber>(),
          .Transaction = body.at("transaction").get<std::string>(),
          .Request = body.value("request_id", ""),
          .Connection = connection};
}

json encodeAnswer(const json &id, const Database &db, const Answer &answer) {
  json body{{"id", id},
            {"outcome", outcomeOf(answer)},
            {"term", db.Term},
            {"position", encodePosition(answer.Position)},
            {"server", db.Server},
            {"role", roleName(db.CurrentRole)}};
  if (!answer.isOk()) {
    body["error"] = problemName(answer.Error);
    body["detail"] = answer.Message;
    return body;
  }
  body["result"] = answer.Result;
  body["replayed"] = answer.Replayed;
  if (!answer.Transaction.empty())
    body["transaction"] = answer.Transaction;
  return body;
}

json encodePrepare(const json &id, const Database &db,
                   const PrepareAnswer &answer) {
  Answer common;
  common.Position = answer.Position;
  json body = encodeAnswer(id, db, common);
  body["granted"] = answer.Granted;
  body["promised_term"] = answer.PromisedTerm;
  body["promised_by"] = answer.PromisedBy;
  body["term_starts"] = encodeTermStarts(answer.TermStarts);
  return body;
}

json encodeSummary(const LogSummary &summary) {
  return {{"last", encodePosition(summary.Last)},
          {"term_starts", encodeTermStarts(summary.TermStarts)}};
}

LogSummary decodeSummary(const json &body) {
  return {decodePosition(body, "last"),
          decodeTermStarts(body.at("term_starts"))};
}

json encodeBatch(const Batch &batch) {
  json entries = json::array();
  for (const auto &it : batch.Entries) {
    json entry = encodeEntry(it);
    entry["changes"] = encodeChanges(it.Changes);
    entries.push_back(std::move(entry));
  }
  return {{"term", batch.Term},
          {"promised_by", batch.PromisedBy},
          {"primary", batch.Primary},
          {"previous", encodePosition(batch.Previous)},
          {"entries", std::move(entries)}};
}

Batch decodeBatch(const json &body) {
  Batch batch;
  batch.Term = body.at("term").get<TermNumber>();
  batch.PromisedBy = body.at("promised_by").get<std::string>();
  batch.Primary = body.at("primary").get<std::string>();
  batch.Previous = decodePosition(body, "previous");
  for (const auto &it : body.at("entries"))
    batch.Entries.push_back(decodeEntry(it));
  return batch;
}

std::int64_t microseconds(TimePoint at) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             at.time_since_epoch())
      .count();
}

std::string formatHistory(const Database &db, const std::string &group,
                          LogIndex first) {
  json server{{"type", "server"},
              {"group", group},
              {"server", db.Server},
              {"initial_primary", db.IsInitialPrimary}};
  std::string lines = dumpJson(server) + "\n";
  std::size_t begin = std::max<LogIndex>(first, 1) - 1;
  for (std::size_t i = begin; i < db.Log.size(); ++i) {
    json body = encodeEntry(db.Log[i].Entry);
    body["type"] = "entry";
    body["applied_us"] = microseconds(db.Log[i].Applied);
    lines += dumpJson(body) + "\n";
  }
  for (const auto &it : db.Events)
    lines += dumpJson(encodeEvent(it)) + "\n";
  return lines;
}

} // namespace standins::upstream
