#include "standins/store/StoreServer.h"

#include <doctest/doctest.h>

namespace standins::store {
namespace {

using namespace std::chrono_literals;
using namespace baobabpin;

struct Client {
  Client(kernel::EventLoop &loop, const http::Endpoint &endpoint)
      : Loop(loop), Connection(loop, endpoint) {}

  json call(const std::string &path, const json &body) {
    Connection.post(path, body.dump(), 5s, [this](http::HttpReply it) {
      Last = std::move(it);
      Loop.stop();
    });
    Loop.run();
    return json::parse(Last.Body, nullptr, false);
  }

  kernel::EventLoop &Loop;
  http::HttpConnection Connection;
  http::HttpReply Last;
};

TEST_CASE("the store over HTTP") {
  kernel::Kernel process("test");
  StoreOptions options{.Listen = {"127.0.0.1", 0}, .HostsLag = 0ms};
  auto owned = std::make_unique<StoreServer>(options);
  StoreServer &server = *owned;
  process.add(std::move(owned));
  auto started = process.startAll();
  REQUIRE(started);
  Client client(process.loop(), server.endpoint());
  json entry{{"key", "k"}, {"value", "mark-1"}, {"expected_revision", 0}};

  SUBCASE("an answer lost after the effect is told apart by reading back") {
    client.call("/admin/fault", {{"drop", 1}});
    client.call("/v1/put", entry);
    CHECK(client.Last.Result == http::Transfer::Broken);
    client.call("/v1/put", entry);
    CHECK(client.Last.Status == 409);
    CHECK(client.call("/v1/get", {{"key", "k"}})["value"] == "mark-1");
  }
  SUBCASE("a pending watch is one call and ends with a deletion") {
    auto revision = client.call("/v1/put", entry)["revision"];
    http::HttpConnection watcher(process.loop(), server.endpoint());
    http::HttpReply seen;
    json wanted{
        {"prefix", "k"}, {"from_revision", revision}, {"wait_ms", 60'000}};
    watcher.post("/v1/watch", wanted.dump(), 60s, [&](http::HttpReply it) {
      seen = std::move(it);
      process.loop().stop();
    });
    // Polling brings the watch to the server first, in any order of events.
    while (client.call("/v1/counters", {})["pending_watches"] != 1)
      ;
    CHECK(client.call("/v1/counters", {})["watch"] == 1);
    client.call("/v1/delete", {{"key", "k"}, {"expected_revision", revision}});
    if (seen.Status == 0)
      process.loop().run();
    CHECK(json::parse(seen.Body)["events"][0]["deleted"] == true);
  }
  SUBCASE("an outage resets connections and changes nothing") {
    client.call("/admin/fault", {{"down_ms", 60'000}});
    client.call("/v1/put", entry);
    CHECK(client.Last.Result == http::Transfer::Broken);
    client.call("/admin/fault", {{"down_ms", 0}});
    client.call("/v1/get", {{"key", "k"}});
    CHECK(client.Last.Status == 404);
  }
}

} // namespace
} // namespace standins::store
