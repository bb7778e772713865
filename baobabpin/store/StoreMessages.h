/// The JSON bodies of the store's calls (design 5.3).
///
/// Answers have status 200; 404 for a missing key or lease, 409 with the
/// current "revision" for a lost compare-and-swap, 410 for a watch whose
/// history is gone, 503 while the store is down.
#pragma once

#include "baobabpin/http/HttpClient.h"
#include "baobabpin/store/StoreClient.h"

#include <nlohmann/json.hpp>

namespace baobabpin::store::internal {

/// Whether a lost answer leaves a change in doubt.
enum class CallEffect { Reads, Changes };

/// Interprets an answer; a malformed one counts as lost.
StoreReply parseReply(const http::HttpReply &reply, CallEffect effect);

} // namespace baobabpin::store::internal
