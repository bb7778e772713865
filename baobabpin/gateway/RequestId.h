/// Idempotency keys of writes: "<unix ms>-<32 hex digits>".
///
/// \code
///   auto id = parseRequestId(text);
///   if (!id) ...                 // malformed
///   if (isExpired(*id, now)) ... // the idempotency record may have expired
/// \endcode
#pragma once

#include "baobabpin/base/Identifiers.h"

#include <chrono>
#include <optional>
#include <random>
#include <string>

namespace baobabpin::gateway {

using WallTime = std::chrono::system_clock::time_point;

struct ParsedRequestId {
  WallTime CreatedAt;
};

/// Parses \p text; returns nullopt if it does not have the documented form.
std::optional<ParsedRequestId> parseRequestId(const std::string &text);

/// Whether \p id is too old to be accepted. Upstream servers keep idempotency
/// records for 24 h. IDs are rejected one hour earlier, so that a record cannot
/// expire while a repeated request is in flight.
bool isExpired(const ParsedRequestId &id, WallTime now);

/// Returns a new ID that was created at \p now, with 128 random bits.
base::RequestId makeRequestId(WallTime now, std::mt19937_64 &random);

} // namespace baobabpin::gateway
