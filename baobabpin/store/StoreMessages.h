/// Parser for the replies of the store (section 5.3 of the design).
///
/// The HTTP status of a reply is 200 for a success, 404 for a missing key or
/// lease, 409 with the current "revision" for a failed compare-and-swap, 410
/// for a watch whose changes the store no longer has, and 503 during an outage.
#pragma once

#include "baobabpin/http/HttpClient.h"
#include "baobabpin/store/StoreClient.h"

#include <nlohmann/json.hpp>

namespace baobabpin::store::internal {

/// Whether a call can change the store. If it can and its reply is lost, it is
/// unknown whether the change took effect.
enum class CallEffect { Reads, Changes };

/// Parses a reply. A malformed reply counts as lost.
StoreReply parseReply(const http::HttpReply &reply, CallEffect effect);

} // namespace baobabpin::store::internal
