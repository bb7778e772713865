#include "baobabpin/http/HttpClient.h"
#include "baobabpin/http/HttpServer.h"

#include <doctest/doctest.h>

#include <event2/event.h>

namespace baobabpin::http {
namespace {

using namespace std::chrono_literals;
using kernel::EventLoop;

Endpoint listenAnywhere(HttpServer &server) {
  return base::handleFailure(
      [&] {
        return server.listen({"127.0.0.1", 0});
      },
      [](const base::Failure &) { return Endpoint{}; });
}

TEST_CASE("endpoints are parsed strictly") {
  CHECK(parseEndpoint("127.0.0.1:80") == Endpoint{"127.0.0.1", 80});
  CHECK(parseEndpoint("127.0.0.1").Address.empty());
  CHECK(parseEndpoint("127.0.0.1:99999").Port == 0);
  CHECK(parseEndpoint(":80").Address.empty());
}

TEST_CASE("a request and its answer") {
  EventLoop loop;
  HttpServer server(loop);
  Endpoint endpoint = listenAnywhere(server);
  REQUIRE(endpoint.Port != 0);
  HttpConnection client(loop, endpoint);
  HttpReply reply;
  auto keep = [&](HttpReply it) {
    reply = std::move(it);
    loop.stop();
  };

  SUBCASE("the body comes back whole") {
    server.handle("/echo", [](HttpRequest request, ResponderPtr responder) {
      responder->json(200, request.Body);
    });
    client.post("/echo", std::string(100'000, 'x'), 5s, keep);
    loop.run();
    CHECK(reply.Result == Transfer::Completed);
    CHECK(reply.Status == 200);
    CHECK(reply.Body.size() == 100'000);
    CHECK_FALSE(client.isBusy());
  }
  SUBCASE("an answer after the timeout does not reach the next request") {
    std::vector<ResponderPtr> held;
    server.handle("/late", [&](HttpRequest, ResponderPtr responder) {
      held.push_back(std::move(responder));
    });
    server.handle("/next", [&](HttpRequest, ResponderPtr responder) {
      for (auto &it : held)
        it->json(200, "late");
      responder->json(200, "next");
    });
    client.post("/late", "{}", 20ms, keep);
    loop.run();
    CHECK(reply.Result == Transfer::TimedOut);
    client.post("/next", "{}", 5s, keep);
    loop.run();
    CHECK(reply.Body == "next");
  }
  SUBCASE("a connection that the server closes is reported as broken") {
    server.handle("/abort", [](HttpRequest, ResponderPtr responder) {
      responder->abort();
    });
    client.post("/abort", "{}", 5s, keep);
    loop.run();
    CHECK(reply.Result == Transfer::Broken);
  }
  SUBCASE("a callback may destroy its connection") {
    server.handle("/echo", [](HttpRequest request, ResponderPtr responder) {
      responder->json(200, request.Body);
    });
    auto other = std::make_unique<HttpConnection>(loop, endpoint);
    other->post("/echo", "{}", 5s, [&](HttpReply it) {
      other.reset();
      loop.post([&] { loop.stop(); });
      reply = std::move(it);
    });
    loop.run();
    CHECK(reply.Status == 200);
  }
  SUBCASE("nothing listens: nothing was sent") {
    server.stopListening();
    HttpConnection refused(loop, endpoint);
    refused.post("/echo", "{}", 5s, keep);
    loop.run();
    CHECK(reply.Result == Transfer::NotSent);
  }
  SUBCASE("connections are counted from their first request to their end") {
    std::uint64_t opened = 0;
    std::uint64_t closed = 0;
    server.onConnection([&](std::uint64_t n) { opened = n; },
                        [&](std::uint64_t n) {
                          closed = n;
                          loop.stop();
                        });
    server.handle("/echo", [](HttpRequest request, ResponderPtr responder) {
      responder->json(200, request.Body);
    });
    auto other = std::make_unique<HttpConnection>(loop, endpoint);
    other->post("/echo", "{}", 5s, keep);
    loop.run();
    CHECK(opened != 0);
    CHECK(server.connectionCount() == 1);
    other.reset();
    loop.run();
    CHECK(closed == opened);
  }
}

} // namespace
} // namespace baobabpin::http
