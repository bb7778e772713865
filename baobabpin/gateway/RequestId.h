/// Idempotency keys of writes: "<unix ms>-<32 hex digits>".
///
/// \code
///   if (!parseRequestId(text)) ... // malformed
///   if (isExpired(*id, now)) ...   // its record may be gone already
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

/// Empty when \p text is not of the published form.
std::optional<ParsedRequestId> parseRequestId(const std::string &text);

/// Upstream servers keep records for 24 h; an ID is refused an hour earlier, so
/// that a record never expires while a repeat is on its way.
bool isExpired(const ParsedRequestId &id, WallTime now);

base::RequestId makeRequestId(WallTime now, std::mt19937_64 &random);

} // namespace baobabpin::gateway
