#include "standins/history/HistoryRecord.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace standins::history {

using nlohmann::json;

namespace {

/// Calls \p field(name, member) for each member that is always present.
template <typename Record, typename Field>
void visitFields(Record &record, Field field) {
  field("sent_us", record.SentUs);
  field("received_us", record.ReceivedUs);
  field("session", record.Session);
  field("node", record.Node);
  field("group", record.Group);
  field("class", record.Class);
  field("kind", record.Kind);
  field("request_id", record.RequestId);
  field("statement", record.Statement);
  field("transaction", record.Transaction);
  field("with_session", record.WithSession);
  field("repeat", record.Repeat);
  field("dropped", record.Dropped);
  field("transfer", record.Transfer);
  field("outcome", record.Outcome);
  field("error", record.Error);
  field("result", record.Result);
  field("server", record.Server);
  field("role", record.Role);
  field("answered_id", record.AnsweredId);
  field("replayed", record.Replayed);
}

std::optional<std::int64_t> optionalNumber(const json &line, const char *name) {
  auto it = line.find(name);
  if (it == line.end() || it->is_null())
    return std::nullopt;
  return it->get<std::int64_t>();
}

} // namespace

MonotonicUs monotonicNowUs() {
  // steady_clock is CLOCK_MONOTONIC on Linux.
  auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

std::string formatRecord(const HistoryRecord &record) {
  json line;
  visitFields(record,
              [&](const char *name, const auto &value) { line[name] = value; });
  if (record.MaxAgeMs)
    line["max_age_ms"] = *record.MaxAgeMs;
  if (record.AgeMs)
    line["age_ms"] = *record.AgeMs;
  return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<HistoryRecord> parseRecord(std::string_view text) {
  json line = json::parse(text, nullptr, false);
  if (!line.is_object())
    return std::nullopt;
  HistoryRecord record;
  try {
    visitFields(record, [&](const char *name, auto &value) {
      line.at(name).get_to(value);
    });
    record.MaxAgeMs = optionalNumber(line, "max_age_ms");
    record.AgeMs = optionalNumber(line, "age_ms");
  } catch (const json::exception &) {
    return std::nullopt;
  }
  return record;
}

} // namespace standins::history
