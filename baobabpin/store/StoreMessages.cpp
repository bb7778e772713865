#include "baobabpin/store/StoreMessages.h"

namespace baobabpin::store::internal {
namespace {

using nlohmann::json;

StoreEntry parseEntry(const json &in) {
  StoreEntry entry;
  entry.Key = in.value("key", "");
  entry.Deleted = in.value("deleted", false);
  if (!entry.Deleted)
    entry.Value = in.value("value", "");
  entry.Revision = in.value("revision", std::uint64_t{0});
  return entry;
}

void parseHosts(const json &in, StoreReply &reply) {
  for (const auto &it : in) {
    bool leaving = it.value("state", "live") == "leaving";
    reply.Hosts.push_back(
        {it.value("host", ""), leaving ? HostState::Leaving : HostState::Live});
  }
}

void parseBody(const std::string &body, StoreReply &reply) {
  json in = json::parse(body);
  if (in.is_array()) {
    parseHosts(in, reply);
    return;
  }
  reply.Revision = in.value("revision", std::uint64_t{0});
  reply.Lease = in.value("lease", "");
  if (in.contains("key"))
    reply.Entries.push_back(parseEntry(in));
  for (const char *list : {"entries", "events"}) {
    if (!in.contains(list))
      continue;
    for (const auto &it : in.at(list))
      reply.Entries.push_back(parseEntry(it));
  }
  if (in.contains("hosts"))
    parseHosts(in.at("hosts"), reply);
}

/// Maps an HTTP status to a store status. \p statusIfLost applies when the HTTP
/// status does not tell whether the call took effect.
StoreStatus statusOf(int status, StoreStatus statusIfLost) {
  switch (status) {
  case 200:
    return StoreStatus::Ok;
  case 404:
    return StoreStatus::NotFound;
  case 409:
    return StoreStatus::Conflict;
  case 410:
    return StoreStatus::Compacted;
  default:
    break;
  }
  // The store sends 503 and 4xx replies before it changes anything.
  bool refused = status == 503 || (status >= 400 && status < 500);
  return refused ? StoreStatus::Unavailable : statusIfLost;
}

} // namespace

StoreReply parseReply(const http::HttpReply &reply, CallEffect effect) {
  StoreReply parsed;
  StoreStatus statusIfLost = effect == CallEffect::Changes
                                 ? StoreStatus::Unknown
                                 : StoreStatus::Unavailable;
  if (reply.Result != http::Transfer::Completed) {
    bool notSent = reply.Result == http::Transfer::NotSent;
    parsed.Status = notSent ? StoreStatus::Unavailable : statusIfLost;
    return parsed;
  }
  parsed.Status = statusOf(reply.Status, statusIfLost);
  if (parsed.Status != StoreStatus::Ok &&
      parsed.Status != StoreStatus::Conflict)
    return parsed;
  try {
    parseBody(reply.Body, parsed);
  } catch (const json::exception &) {
    parsed = {};
    parsed.Status = statusIfLost;
  }
  return parsed;
}

} // namespace baobabpin::store::internal
