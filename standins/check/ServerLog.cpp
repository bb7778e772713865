#include "standins/check/ServerLog.h"

#include <nlohmann/json.hpp>

namespace standins::check {

using nlohmann::json;

namespace {

ServerEntry readEntry(const json &line) {
  return {.Term = line.at("term"),
          .Index = line.at("index"),
          .RequestId = line.at("request_id"),
          .Text = line.at("statement"),
          .Result = line.at("result"),
          .AppendedUs = line.at("appended_us"),
          .AppliedUs = line.at("applied_us")};
}

void readEvent(const json &line, ServerLog &log) {
  std::string event = line.at("event");
  if (event == "promoted")
    log.Promotions.push_back({line.at("at_us"), line.at("term")});
  if (event != "truncated")
    return;
  const json &position = line.at("position");
  log.Discarded.push_back({.Term = position.at("term"),
                           .Index = position.at("index"),
                           .RequestId = line.at("request_id")});
}

void readLine(const json &line, std::vector<ServerLog> &logs) {
  std::string type = line.at("type");
  if (type == "server") {
    logs.push_back({.Group = line.at("group"), .Server = line.at("server")});
    // The server that starts as the primary of term 1 records no promotion.
    if (line.value("initial_primary", false))
      logs.back().Promotions.push_back({.AtUs = 0, .Term = 1});
    return;
  }
  ServerLog &log = logs.at(logs.size() - 1);
  if (type == "entry")
    log.Entries.push_back(readEntry(line));
  else if (type == "event")
    readEvent(line, log);
}

} // namespace

std::optional<std::vector<ServerLog>> parseServerLogs(std::istream &lines) {
  std::vector<ServerLog> logs;
  try {
    for (std::string line; std::getline(lines, line);)
      readLine(json::parse(line), logs);
  } catch (const json::exception &) {
    return std::nullopt;
  } catch (const std::out_of_range &) {
    return std::nullopt;
  }
  return logs;
}

} // namespace standins::check
