/// A fake of the platform's store for tests. It runs on HttpServer in the
/// process of the test and implements the calls that the tests use.
#pragma once

#include "baobabpin/http/HttpServer.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace baobabpin::store::testing {

class FakeStore {
public:
  using Json = nlohmann::json;

  explicit FakeStore(kernel::EventLoop &loop) : Server(loop) {
    addHandler("/v1/get", &FakeStore::get);
    addHandler("/v1/range", &FakeStore::range);
    addHandler("/v1/put", &FakeStore::put);
    addHandler("/v1/delete", &FakeStore::erase);
    addHandler("/v1/hosts", &FakeStore::hosts);
    Server.handle("/v1/watch", [this](auto request, auto responder) {
      ++Calls["/v1/watch"];
      watch(Json::parse(request.Body), responder);
    });
    Endpoint = base::handleFailure(
        [this] {
          return Server.listen({"127.0.0.1", 0});
        },
        [](const base::Failure &) { return http::Endpoint{}; });
  }

  /// Writes a key as if another client had done so.
  void write(const std::string &key, const std::string &value) {
    change({{"key", key}, {"value", value}, {"revision", ++Revision}});
  }

  void remove(const std::string &key) {
    change({{"key", key}, {"deleted", true}, {"revision", ++Revision}});
  }

  http::Endpoint Endpoint;
  std::map<std::string, Json> Entries;
  /// All changes, from the oldest to the newest.
  std::vector<Json> History;
  std::uint64_t Revision = 0;
  Json Hosts = Json::array();
  /// Number of calls by path.
  std::map<std::string, int> Calls;
  /// Answers each new call with status 503; pending watches stay open.
  bool IsDown = false;
  /// Number of next replies to drop after the call took effect; replies to
  /// watches do not count.
  int RepliesToDrop = 0;
  /// Number of next requests to drop before they take effect; watches do not
  /// count.
  int RequestsToDrop = 0;

private:
  struct PendingWatch {
    std::uint64_t From = 0;
    http::ResponderPtr Responder;
  };
  using Handler = std::pair<int, Json> (FakeStore::*)(const Json &);

  void addHandler(const std::string &path, Handler handler) {
    Server.handle(path, [this, path, handler](auto request, auto responder) {
      ++Calls[path];
      if (IsDown) {
        responder->json(503, "{}");
        return;
      }
      if (RequestsToDrop > 0) {
        --RequestsToDrop;
        responder->abort();
        return;
      }
      Json body =
          request.Body.empty() ? Json::object() : Json::parse(request.Body);
      auto [status, reply] = (this->*handler)(body);
      if (RepliesToDrop > 0) {
        --RepliesToDrop;
        responder->abort();
        return;
      }
      responder->json(status, reply.dump());
    });
  }

  std::uint64_t revisionOf(const std::string &key) const {
    auto it = Entries.find(key);
    return it == Entries.end() ? 0
                               : it->second["revision"].get<std::uint64_t>();
  }

  void change(Json event) {
    std::string key = event["key"];
    if (event.value("deleted", false))
      Entries.erase(key);
    else
      Entries[key] = event;
    History.push_back(std::move(event));
    for (auto &it : std::exchange(PendingWatches, {}))
      answerWatch(it);
  }

  std::pair<int, Json> get(const Json &in) {
    auto it = Entries.find(in["key"]);
    if (it == Entries.end())
      return {404, Json::object()};
    return {200, it->second};
  }

  std::pair<int, Json> range(const Json &in) {
    Json entries = Json::array();
    for (const auto &[key, entry] : Entries) {
      if (key.starts_with(in["prefix"].get<std::string>()))
        entries.push_back(entry);
    }
    return {200, {{"entries", entries}, {"revision", Revision}}};
  }

  std::pair<int, Json> put(const Json &in) {
    auto current = revisionOf(in["key"]);
    if (current != in["expected_revision"])
      return {409, {{"revision", current}}};
    write(in["key"], in["value"]);
    return {200, {{"revision", Revision}}};
  }

  std::pair<int, Json> erase(const Json &in) {
    auto current = revisionOf(in["key"]);
    if (current != in["expected_revision"])
      return {409, {{"revision", current}}};
    remove(in["key"]);
    return {200, {{"revision", Revision}}};
  }

  std::pair<int, Json> hosts(const Json &) { return {200, Hosts}; }

  /// Returns the changes of all keys; ignores "prefix" and "wait_ms".
  void watch(const Json &in, http::ResponderPtr responder) {
    if (IsDown) {
      responder->json(503, "{}");
      return;
    }
    PendingWatch pendingWatch{in["from_revision"], std::move(responder)};
    if (pendingWatch.From < Revision)
      answerWatch(pendingWatch);
    else
      PendingWatches.push_back(std::move(pendingWatch));
  }

  void answerWatch(PendingWatch &pendingWatch) {
    Json events = Json::array();
    for (const auto &it : History) {
      if (it["revision"] > pendingWatch.From)
        events.push_back(it);
    }
    pendingWatch.Responder->json(
        200, Json{{"events", events}, {"revision", Revision}}.dump());
  }

  http::HttpServer Server;
  std::vector<PendingWatch> PendingWatches;
};

} // namespace baobabpin::store::testing
