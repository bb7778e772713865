/// JSON messages of the upstream stand-in; docs/upstream-protocol.md shows one
/// example of each. Decoding throws nlohmann::json::exception for a missing or
/// mistyped field.
#pragma once

#include "standins/upstream/Replication.h"

#include <nlohmann/json.hpp>

#include <string>

namespace standins::upstream {

using nlohmann::json;

/// Compact text; invalid UTF-8 is replaced.
std::string dumpJson(const json &value);

json encodePosition(LogPosition position);
/// {0, 0} when \p body has no field \p name.
LogPosition decodePosition(const json &body, const char *name);
json encodeTermStarts(const std::vector<TermStart> &starts);

ExecuteCall decodeExecute(const json &body, std::uint64_t connection);
EndCall decodeEnd(const json &body, std::uint64_t connection);

/// The fields of every answer: id, outcome, term, position, and what the call
/// returned or why it was refused.
json encodeAnswer(const json &id, const Database &db, const Answer &answer);
json encodePrepare(const json &id, const Database &db,
                   const PrepareAnswer &answer);

json encodeSummary(const LogSummary &summary);
LogSummary decodeSummary(const json &body);
json encodeBatch(const Batch &batch);
Batch decodeBatch(const json &body);

/// Microseconds of CLOCK_MONOTONIC, which all processes of a machine share.
std::int64_t microseconds(TimePoint at);

/// JSON lines: the server, its entries from \p first on, all its events.
std::string formatHistory(const Database &db, const std::string &group,
                          LogIndex first);

} // namespace standins::upstream
