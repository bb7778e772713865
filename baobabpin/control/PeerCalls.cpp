#include "baobabpin/control/PeerCalls.h"

#include <nlohmann/json.hpp>

namespace baobabpin::control {
namespace {

using nlohmann::json;

/// Runs \p body on the parsed text; a malformed message gives nothing.
template <typename Body>
auto decode(const std::string &text, Body body)
    -> std::optional<decltype(body(json()))> {
  try {
    return body(json::parse(text));
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

std::chrono::milliseconds millis(const json &it) {
  return std::chrono::milliseconds(it.get<std::int64_t>());
}

json toJson(const PositionReport &it) {
  return {{"epoch", it.Epoch},
          {"term", it.Position.Term},
          {"index", it.Position.Index},
          {"age_ms", it.Age.count()}};
}

PositionReport positionFrom(const json &it) {
  return {it.at("epoch").get<std::uint64_t>(),
          {it.at("term").get<base::TermNumber>(),
           it.at("index").get<base::LogIndex>()},
          millis(it.at("age_ms"))};
}

} // namespace

std::string encode(const SyncRequest &it) {
  return json{{"node", it.Node},
              {"view_revision", it.ViewRevision},
              {"config_version", it.ConfigVersion},
              {"view", it.View}}
      .dump();
}

std::string encode(const SyncReply &it) {
  json positions = json::object();
  for (const auto &[group, report] : it.Positions)
    positions[group] = toJson(report);
  return json{{"view", it.View},
              {"view_revision", it.ViewRevision},
              {"view_age_ms", it.ViewAge.count()},
              {"config", it.Config},
              {"change_pending", it.ChangePending},
              {"positions", positions}}
      .dump();
}

std::string encode(const RevokeRequest &it) {
  return json{{"group", it.Group}, {"epoch", it.Epoch}, {"view", it.View}}
      .dump();
}

std::string encode(const EvidenceReply &it) {
  json body{{"store", it.StoreReachable}, {"moving", it.Moving}};
  if (it.PrimaryHeard)
    body["heard_ms"] = it.PrimaryHeard->count();
  return body.dump();
}

std::string encode(const EvidenceRequest &it) {
  return json{{"group", it.Group}, {"suspected", it.Suspected}}.dump();
}

std::optional<SyncRequest> decodeSyncRequest(const std::string &text) {
  return decode(text, [](const json &it) {
    return SyncRequest{it.at("node").get<std::string>(),
                       it.at("view_revision").get<std::uint64_t>(),
                       it.at("config_version").get<std::uint64_t>(),
                       it.at("view").get<std::string>()};
  });
}

std::optional<SyncReply> decodeSyncReply(const std::string &text) {
  return decode(text, [](const json &it) {
    SyncReply reply{it.at("view").get<std::string>(),
                    it.at("view_revision").get<std::uint64_t>(),
                    millis(it.at("view_age_ms")),
                    it.at("config").get<std::string>(),
                    it.at("change_pending").get<bool>(),
                    {}};
    for (const auto &[group, report] : it.at("positions").items())
      reply.Positions[group] = positionFrom(report);
    return reply;
  });
}

std::optional<RevokeRequest> decodeRevokeRequest(const std::string &text) {
  return decode(text, [](const json &it) {
    return RevokeRequest{it.at("group").get<std::string>(),
                         it.at("epoch").get<std::uint64_t>(),
                         it.at("view").get<std::string>()};
  });
}

std::optional<EvidenceReply> decodeEvidenceReply(const std::string &text) {
  return decode(text, [](const json &it) {
    EvidenceReply reply{std::nullopt, it.at("store").get<bool>(),
                        it.at("moving").get<bool>()};
    if (it.contains("heard_ms"))
      reply.PrimaryHeard = millis(it["heard_ms"]);
    return reply;
  });
}

std::optional<EvidenceRequest>
decodeEvidenceRequest(const std::string &text) {
  return decode(text, [](const json &it) {
    return EvidenceRequest{it.at("group").get<std::string>(),
                           it.at("suspected").get<bool>()};
  });
}

void PeerCaller::call(
    const http::Endpoint &peer, const std::string &path,
    const std::string &body, std::chrono::milliseconds timeout,
    std::function<void(std::optional<std::string>)> callback) {
  auto &connections = Connections[peer];
  http::HttpConnection *idle = nullptr;
  for (auto &it : connections) {
    if (!it->isBusy())
      idle = it.get();
  }
  if (!idle) {
    connections.push_back(std::make_unique<http::HttpConnection>(Loop, peer));
    idle = connections.back().get();
  }
  idle->post(path, body, timeout, [callback](http::HttpReply reply) {
    bool ok = reply.Result == http::Transfer::Completed && reply.Status == 200;
    callback(ok ? std::optional(std::move(reply.Body)) : std::nullopt);
  });
}

} // namespace baobabpin::control
