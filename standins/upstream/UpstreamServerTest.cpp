#include "standins/upstream/UpstreamServer.h"

#include <doctest/doctest.h>

namespace standins::upstream {
namespace {

using namespace std::chrono_literals;
using namespace baobabpin;

/// A connection to a server, with the loop run until each answer.
struct Client {
  Client(kernel::EventLoop &loop, const http::Endpoint &endpoint)
      : Loop(loop), Connection(loop, endpoint) {}

  json call(const std::string &path, json body) {
    http::HttpReply reply;
    Connection.post(path, dumpJson(body), 5s, [&](http::HttpReply it) {
      reply = std::move(it);
      Loop.stop();
    });
    Loop.run();
    Broken = reply.Result != http::Transfer::Completed;
    return json::parse(reply.Body, nullptr, false);
  }
  json write(int id, const std::string &text) {
    return call("/v1/execute", {{"id", id},
                                {"term", 1},
                                {"kind", "write"},
                                {"statement", text},
                                {"request_id", request(id)}});
  }
  static std::string request(int id) {
    using std::chrono::system_clock;
    static const auto Now =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            system_clock::now().time_since_epoch());
    return std::to_string(Now.count()) + "-" + std::to_string(id);
  }

  kernel::EventLoop &Loop;
  http::HttpConnection Connection;
  bool Broken = false;
};

struct RunningServer {
  RunningServer() : Process("test") {
    UpstreamOptions options;
    options.Listen = {"127.0.0.1", 0};
    options.Open = {.Server = "a", .Primary = "a"};
    options.SlotLimit = 1;
    options.ConnectionLimit = 2;
    options.ConnectCost = 0ms;
    auto server = std::make_unique<UpstreamServer>(options);
    Server = server.get();
    Process.add(std::move(server));
    auto started = Process.startAll();
    REQUIRE(started);
  }

  Client connect() { return {Process.loop(), Server->endpoint()}; }

  kernel::Kernel Process;
  UpstreamServer *Server = nullptr;
};

TEST_CASE("answers under faults") {
  RunningServer running;
  Client client = running.connect();
  CHECK(client.write(1, "ADD n 1")["result"] == "1");

  SUBCASE("a crossed answer carries the other request's ID, the effect stays") {
    client.call("/admin/fault", {{"cross", 1}});
    CHECK(client.write(2, "ADD n 1")["id"] == 1);
    CHECK(client.write(3, "ADD n 1")["result"] == "3");
  }
  SUBCASE("a lost answer breaks the connection after the effect") {
    client.call("/admin/fault", {{"drop", 1}});
    client.write(2, "ADD n 1");
    CHECK(client.Broken);
    json again = client.write(2, "ADD n 1");
    CHECK(again["replayed"] == true);
    CHECK(again["result"] == "2");
  }
  SUBCASE("a malformed call is refused and keeps its ID") {
    json answer = client.call("/v1/execute", {{"id", 9}, {"term", "x"}});
    CHECK(answer["id"] == 9);
    CHECK(answer["error"] == "bad_request");
  }
  SUBCASE("connections beyond the limit are refused, status calls too") {
    Client second = running.connect();
    Client third = running.connect();
    CHECK(second.call("/v1/status", {{"id", 1}})["connections"] == 2);
    CHECK(third.call("/v1/status", {{"id", 1}})["error"] ==
          "too_many_connections");
  }
}

// Guards against a slot that stays taken: the server would serve nobody.
TEST_CASE("a transaction's slot is freed however the transaction ends") {
  RunningServer running;
  Client client = running.connect();
  json begun = client.call("/v1/begin", {{"id", 1}, {"term", 1}});
  std::string name = begun["transaction"];

  SUBCASE("by commit") {
    client.call("/v1/commit", {{"id", 2},
                               {"term", 1},
                               {"transaction", name},
                               {"request_id", Client::request(2)}});
  }
  SUBCASE("by rollback") {
    client.call("/v1/rollback",
                {{"id", 2}, {"term", 1}, {"transaction", name}});
  }
  SUBCASE("by the end of its connection") { client.Connection.disconnect(); }
  SUBCASE("by a promise to a later term") {
    client.call("/v1/prepare", {{"id", 2}, {"term", 2}, {"candidate", "x"}});
    client.call("/v1/promote", {{"id", 3}, {"term", 2}, {"candidate", "x"}});
  }
  json read = running.connect().call(
      "/v1/execute",
      {{"id", 1}, {"term", 0}, {"kind", "read"}, {"statement", "GET n"}});
  CHECK(read["outcome"] == "ok");
}

} // namespace
} // namespace standins::upstream
