#include "standins/upstream/TestClient.h"
#include "standins/upstream/UpstreamServer.h"

#include <doctest/doctest.h>

#include <sstream>

namespace standins::upstream {
namespace {

using namespace std::chrono_literals;
using namespace baobabpin;
using testing::TestClient;

/// Three servers in one process; nobody follows until told.
struct Group {
  Group() : Process("test") {
    for (const char *server : {"a", "b", "c"}) {
      UpstreamOptions options;
      options.Listen = {"127.0.0.1", 0};
      options.Open = {.Server = server, .Primary = "a"};
      options.Replication.LocalAddress = "127.0.0.1";
      options.Replication.LagMax = 5ms;
      options.ConnectCost = 0ms;
      auto owned = std::make_unique<UpstreamServer>(options);
      Servers[server] = owned.get();
      Process.add(std::move(owned));
    }
    auto started = Process.startAll();
    REQUIRE(started);
    for (auto &[name, it] : Servers)
      Clients.emplace(
          name, std::make_unique<TestClient>(Process.loop(), it->endpoint()));
  }

  TestClient &client(const std::string &server) { return *Clients.at(server); }

  json follow(const std::string &server, const std::string &primary,
              TermNumber term) {
    auto address = formatEndpoint(Servers.at(primary)->endpoint());
    return client(server).call("/v1/follow", {{"id", 1},
                                              {"term", term},
                                              {"primary", primary},
                                              {"primary_address", address}});
  }

  /// The server's status once it holds \p position.
  json await(const std::string &server, const json &position) {
    return client(server).call(
        "/v1/status",
        {{"id", 1}, {"wait_position", position}, {"wait_ms", 9000}});
  }

  /// Request IDs of truncated entries.
  std::vector<std::string> truncated(const std::string &server) {
    http::HttpReply reply;
    http::HttpConnection connection(Process.loop(),
                                    Servers.at(server)->endpoint());
    connection.get("/admin/history", 10s, [&](http::HttpReply it) {
      reply = std::move(it);
      Process.loop().stop();
    });
    Process.loop().run();
    std::vector<std::string> ids;
    std::istringstream lines(reply.Body);
    for (std::string line; std::getline(lines, line);) {
      json body = json::parse(line);
      if (body.value("event", "") == "truncated")
        ids.push_back(body["request_id"]);
    }
    return ids;
  }

  kernel::Kernel Process;
  std::map<std::string, UpstreamServer *> Servers;
  std::map<std::string, std::unique_ptr<TestClient>> Clients;
};

TEST_CASE("a group changes its primary") {
  Group group;
  group.follow("b", "a", 1);
  group.follow("c", "a", 1);
  json written = group.client("a").write(1, "ADD n 1");
  REQUIRE(group.await("b", written["position"])["position"] ==
          written["position"]);
  REQUIRE(group.await("c", written["position"])["position"] ==
          written["position"]);

  json promise{{"id", 2}, {"term", 2}, {"candidate", "node"}};
  for (const char *it : {"b", "c"})
    CHECK(group.client(it).call("/v1/prepare", promise)["granted"] == true);
  CHECK(group.client("b").call("/v1/promote", promise)["outcome"] == "ok");

  SUBCASE("a stale primary serves on, but reaches nobody who promised") {
    json lost = group.client("a").write(2, "ADD n 10");
    CHECK(lost["outcome"] == "ok");
    CHECK(group.client("b").write(3, "ADD n 100", 2)["result"] == "101");
    group.follow("c", "b", 2);
    json kept = group.client("b").write(4, "ADD n 1000", 2);
    group.await("c", kept["position"]);
    CHECK(group.truncated("c").empty());

    group.follow("a", "b", 2);
    json joined = group.await("a", kept["position"]);
    CHECK(joined["position"] == kept["position"]);
    CHECK(group.truncated("a") ==
          std::vector<std::string>{TestClient::request(2)});
    json read = group.client("a").call(
        "/v1/execute",
        {{"id", 5}, {"term", 0}, {"kind", "read"}, {"statement", "GET n"}});
    CHECK(read["result"] == "1101");
  }
  SUBCASE("a repeat finds its record at the new primary") {
    json again = group.client("b").write(1, "ADD n 1", 2);
    CHECK(again["replayed"] == true);
    CHECK(again["position"] == written["position"]);
  }
}

} // namespace
} // namespace standins::upstream
