#include "baobabpin/control/PeerCalls.h"

#include "baobabpin/base/Hash.h"
#include "baobabpin/control/JsonBody.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace baobabpin::control {
namespace {

using nlohmann::json;

/// The largest accepted age. An age counts from the start of the host's clock,
/// and must not overflow as nanoseconds.
constexpr std::chrono::milliseconds MaxAge = std::chrono::hours(24 * 365 * 100);

/// Returns an age. A negative age would confirm a lease for the future, and is
/// rejected like any other malformed value.
std::chrono::milliseconds parseAge(const json &it) {
  std::chrono::milliseconds age(it.get<std::int64_t>());
  if (age.count() < 0 || age > MaxAge)
    throw json::out_of_range::create(401, "age out of range", nullptr);
  return age;
}

json toJson(const PositionReport &it) {
  return {{"epoch", it.Epoch},
          {"term", it.Position.Term},
          {"index", it.Position.Index},
          {"age_ms", it.Age.count()}};
}

json toJson(const cluster::ServerRegistration &it) {
  return {{"id", it.Id},
          {"group", it.Group},
          {"address", http::formatEndpoint(it.Address)},
          {"zone", it.Zone},
          {"draining", it.Draining},
          {"slots", it.Slots},
          {"primary", it.Role == sql::ServerRole::Primary},
          {"started_ms", it.StartedMs}};
}

cluster::ServerRegistration serverFrom(const json &it) {
  return {it.at("id").get<std::string>(),
          it.at("group").get<std::string>(),
          http::parseEndpoint(it.at("address").get<std::string>()),
          it.at("zone").get<std::string>(),
          it.at("draining").get<bool>(),
          it.at("slots").get<int>(),
          it.at("primary").get<bool>() ? sql::ServerRole::Primary
                                       : sql::ServerRole::Replica,
          it.value("started_ms", std::int64_t{0})};
}

/// A program version that does not know of eras does not send them.
std::uint64_t eraFrom(const json &it, const char *name) {
  return it.value(name, std::uint64_t{0});
}

base::StorePosition viewPositionFrom(const json &it) {
  return {eraFrom(it, "view_era"), it.at("view_revision").get<std::uint64_t>()};
}

PositionReport positionFrom(const json &it) {
  return {it.at("epoch").get<std::uint64_t>(),
          {it.at("term").get<base::TermNumber>(),
           it.at("index").get<base::LogIndex>()},
          parseAge(it.at("age_ms"))};
}

} // namespace

std::string encode(const SyncRequest &it) {
  return json{{"node", it.Node},
              {"view_era", it.ViewPosition.Era},
              {"view_revision", it.ViewPosition.Revision},
              {"view_digest", it.ViewDigest},
              {"servers_digest", it.ServersDigest},
              {"change", it.Change}}
      .dump();
}

std::string encode(const SyncReply &it) {
  json positions = json::object();
  for (const auto &[group, report] : it.Positions)
    positions[group] = toJson(report);
  json body{{"view", it.View},
            {"view_era", it.ViewPosition.Era},
            {"view_revision", it.ViewPosition.Revision},
            {"view_age_ms", it.ViewAge.count()},
            {"store_age_ms", it.StoreAge.count()},
            {"config_version", it.ConfigVersion},
            {"config_age_ms", it.ConfigAge.count()},
            {"servers_age_ms", it.ServersAge.count()},
            {"cannot_confirm", it.CannotConfirm},
            {"positions", positions}};
  if (it.Servers) {
    body["servers"] = json::array();
    for (const auto &server : *it.Servers)
      body["servers"].push_back(toJson(server));
  }
  return body.dump();
}

std::string encode(const RevokeRequest &it) {
  return json{{"group", it.Group},
              {"epoch", it.Epoch},
              {"era", it.Era},
              {"change", it.Change}}
      .dump();
}

std::string encode(const EvidenceReply &it) {
  json groups = json::object();
  for (const auto &[group, evidence] : it.Groups) {
    groups[group] = {{"moving", evidence.FailoverInProgress}};
    if (evidence.PrimaryReplyAge)
      groups[group]["heard_ms"] = evidence.PrimaryReplyAge->count();
    if (evidence.Unsure)
      groups[group]["unsure"] = true;
  }
  return json{{"store", it.CanCoordinate}, {"groups", groups}}.dump();
}

std::string encode(const EvidenceRequest &it) {
  return json{{"suspected", it.Suspected}}.dump();
}

std::string encode(const RecordsRequest &it) {
  return json{{"era", it.Era}}.dump();
}

std::string encode(const RecordsReply &it) {
  json groups = json::object();
  for (const auto &[group, known] : it.Groups)
    groups[group] = {{"epoch", known.Epoch},
                     {"moving", known.FailoverInProgress}};
  return json{{"knew_earlier_era", it.KnewEarlierEra}, {"groups", groups}}
      .dump();
}

std::uint64_t
digestOf(const std::vector<cluster::ServerRegistration> &servers) {
  std::string text;
  for (const auto &it : servers)
    text += toJson(it).dump();
  return base::hash64(text);
}

std::optional<SyncRequest> decodeSyncRequest(const std::string &text) {
  return decodeJson(text, [](const json &it) {
    return SyncRequest{it.at("node").get<std::string>(), viewPositionFrom(it),
                       it.at("view_digest").get<std::uint64_t>(),
                       it.at("servers_digest").get<std::uint64_t>(),
                       it.at("change").get<std::string>()};
  });
}

std::optional<SyncReply> decodeSyncReply(const std::string &text) {
  return decodeJson(text, [](const json &it) {
    SyncReply reply;
    reply.View = it.at("view").get<std::string>();
    reply.ViewPosition = viewPositionFrom(it);
    reply.ViewAge = parseAge(it.at("view_age_ms"));
    reply.StoreAge = parseAge(it.at("store_age_ms"));
    reply.ConfigVersion = it.at("config_version").get<std::uint64_t>();
    reply.ConfigAge = parseAge(it.at("config_age_ms"));
    reply.ServersAge = parseAge(it.at("servers_age_ms"));
    reply.CannotConfirm = it.at("cannot_confirm").get<bool>();
    if (it.contains("servers")) {
      reply.Servers.emplace();
      for (const json &server : it["servers"]) {
        auto registration = serverFrom(server);
        if (cluster::isUsable(registration))
          reply.Servers->push_back(std::move(registration));
      }
    }
    for (const auto &[group, report] : it.at("positions").items())
      reply.Positions[group] = positionFrom(report);
    return reply;
  });
}

std::optional<RevokeRequest> decodeRevokeRequest(const std::string &text) {
  return decodeJson(text, [](const json &it) {
    return RevokeRequest{
        it.at("group").get<std::string>(), it.at("epoch").get<std::uint64_t>(),
        eraFrom(it, "era"), it.at("change").get<std::string>()};
  });
}

std::optional<EvidenceReply> decodeEvidenceReply(const std::string &text) {
  return decodeJson(text, [](const json &it) {
    EvidenceReply reply{it.at("store").get<bool>(), {}};
    for (const auto &[group, evidence] : it.at("groups").items()) {
      GroupEvidence &known = reply.Groups[group];
      known.FailoverInProgress = evidence.at("moving").get<bool>();
      if (evidence.contains("heard_ms"))
        known.PrimaryReplyAge = parseAge(evidence["heard_ms"]);
      // Older program versions do not send it.
      known.Unsure = evidence.value("unsure", false);
    }
    return reply;
  });
}

std::optional<EvidenceRequest> decodeEvidenceRequest(const std::string &text) {
  return decodeJson(text, [](const json &it) {
    return EvidenceRequest{
        it.at("suspected").get<std::map<base::GroupName, bool>>()};
  });
}

std::optional<RecordsRequest> decodeRecordsRequest(const std::string &text) {
  return decodeJson(text, [](const json &it) {
    return RecordsRequest{it.at("era").get<std::uint64_t>()};
  });
}

std::optional<RecordsReply> decodeRecordsReply(const std::string &text) {
  return decodeJson(text, [](const json &it) {
    RecordsReply reply{it.at("knew_earlier_era").get<bool>(), {}};
    for (const auto &[group, known] : it.at("groups").items())
      reply.Groups[group] = {known.at("epoch").get<std::uint64_t>(),
                             known.at("moving").get<bool>()};
    return reply;
  });
}

void PeerCaller::call(
    const http::Endpoint &peer, const std::string &path,
    const std::string &body, std::chrono::milliseconds timeout,
    const std::function<void(std::optional<std::string>)> &callback) {
  auto &connections = Connections.try_emplace(peer, Loop, peer).first->second;
  connections.findOrCreateIdle()->post(
      path, body, timeout, [callback](http::HttpReply reply) {
        bool ok =
            reply.Result == http::Transfer::Completed && reply.Status == 200;
        callback(ok ? std::optional(std::move(reply.Body)) : std::nullopt);
      });
}

} // namespace baobabpin::control
