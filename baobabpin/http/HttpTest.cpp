#include "baobabpin/http/HttpClient.h"
#include "baobabpin/http/HttpServer.h"
#include "baobabpin/kernel/Guard.h"

#include <doctest/doctest.h>

#include <event2/event.h>

#include <sys/resource.h>
#include <unistd.h>

#include <stdexcept>

namespace baobabpin::http {
namespace {

using namespace std::chrono_literals;
using kernel::EventLoop;

/// Starts \p server on a free port; returns an empty endpoint on failure.
Endpoint listenOnFreePort(HttpServer &server) {
  return base::handleFailure(
      [&] {
        return server.listen({"127.0.0.1", 0});
      },
      [](const base::Failure &) { return Endpoint{}; });
}

TEST_CASE("an endpoint needs an address and a port up to 65535") {
  CHECK(parseEndpoint("127.0.0.1:80") == Endpoint{"127.0.0.1", 80});
  CHECK(parseEndpoint("127.0.0.1").Address.empty());
  CHECK(parseEndpoint("127.0.0.1:99999").Port == 0);
  CHECK(parseEndpoint(":80").Address.empty());
  for (const char *it : {"300.1.2.3:80", "localhost:80", "[::1]:80", "1.2.3:80",
                         "1.2.3.4:5:80", "1.2.3.4:-1", "1.2.3.4: 80"}) {
    CAPTURE(std::string(it));
    CHECK(parseEndpoint(it).Address.empty());
  }
  CHECK(isReachable({"127.0.0.1", 80}));
  CHECK_FALSE(isReachable({"0.0.0.0", 80}));
  CHECK_FALSE(isReachable({"127.0.0.1", 0}));
  CHECK_FALSE(isReachable({"host", 80}));
}

TEST_CASE("an HTTP connection reports the reply or the kind of failure") {
  EventLoop loop;
  HttpServer server(loop);
  Endpoint endpoint = listenOnFreePort(server);
  REQUIRE(endpoint.Port != 0);
  HttpConnection client(loop, endpoint);
  HttpReply reply;
  auto storeReply = [&](HttpReply it) {
    reply = std::move(it);
    loop.stop();
  };

  SUBCASE("the headers of the reply are found whatever their case") {
    server.handle("/", [](const HttpRequest &, const ResponderPtr &responder) {
      responder->json(200, "{}", {{"X-Era", "4"}});
    });
    client.get("/", 5s, storeReply);
    loop.run();
    CHECK(headerOf(reply, "x-era") == "4");
    CHECK(headerOf(reply, "absent").empty());
  }
  SUBCASE("a body of 100 kB is transferred completely") {
    server.handle("/echo", [](HttpRequest request, ResponderPtr responder) {
      responder->json(200, request.Body);
    });
    client.post("/echo", std::string(100'000, 'x'), 5s, storeReply);
    loop.run();
    CHECK(reply.Result == Transfer::Completed);
    CHECK(reply.Status == 200);
    CHECK(reply.Body.size() == 100'000);
    CHECK_FALSE(client.isBusy());
  }
  SUBCASE(
      "a reply after the timeout is not taken for that of the next request") {
    std::vector<ResponderPtr> lateResponders;
    server.handle("/late", [&](HttpRequest, ResponderPtr responder) {
      lateResponders.push_back(std::move(responder));
    });
    server.handle("/next", [&](HttpRequest, ResponderPtr responder) {
      for (auto &it : lateResponders)
        it->json(200, "late");
      responder->json(200, "next");
    });
    client.post("/late", "{}", 20ms, storeReply);
    loop.run();
    CHECK(reply.Result == Transfer::TimedOut);
    client.post("/next", "{}", 5s, storeReply);
    loop.run();
    CHECK(reply.Body == "next");
  }
  SUBCASE("if the server closes the connection without a reply, the result is "
          "Broken") {
    server.handle("/abort", [](HttpRequest, ResponderPtr responder) {
      responder->abort();
    });
    client.post("/abort", "{}", 5s, storeReply);
    loop.run();
    CHECK(reply.Result == Transfer::Broken);
  }
  SUBCASE("a handler that throws loses its connection only") {
    server.handle("/throw", [](HttpRequest, const ResponderPtr &) {
      throw std::runtime_error("unexpected");
    });
    server.handle("/echo", [](HttpRequest request, ResponderPtr responder) {
      responder->json(200, request.Body);
    });
    auto errors = kernel::unexpectedErrorCount();
    client.post("/throw", "{}", 5s, storeReply);
    loop.run();
    CHECK(reply.Result == Transfer::Broken);
    CHECK(kernel::unexpectedErrorCount() == errors + 1);
    client.post("/echo", "next", 5s, storeReply);
    loop.run();
    CHECK(reply.Body == "next");
  }
  SUBCASE("a slow reply continues as long as bytes arrive") {
    std::string body(200'000, 'x');
    server.handle("/large", [&](HttpRequest, ResponderPtr responder) {
      responder->json(200, body);
    });
    // The reply takes half a second at this rate, five times the silence that
    // ends a request.
    client.post("/large", "{}",
                {.Silence = 100ms, .Total = 5s, .BytesPerSecond = 400'000},
                storeReply);
    auto start = loop.now();
    loop.run();
    CHECK(reply.Result == Transfer::Completed);
    CHECK(reply.Body == body);
    CHECK(loop.now() - start > 300ms);
  }
  SUBCASE("a reply without any byte ends after the silence") {
    std::vector<ResponderPtr> silent;
    server.handle("/silent", [&](HttpRequest, ResponderPtr responder) {
      silent.push_back(std::move(responder));
    });
    client.post("/silent", "{}", {.Silence = 50ms, .Total = 5s}, storeReply);
    auto start = loop.now();
    loop.run();
    CHECK(reply.Result == Transfer::TimedOut);
    CHECK(loop.now() - start < 2s);
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
  SUBCASE("if no server listens, the request is reported as not sent") {
    server.stopListening();
    HttpConnection refused(loop, endpoint);
    refused.post("/echo", "{}", 5s, storeReply);
    loop.run();
    CHECK(reply.Result == Transfer::NotSent);
  }
  SUBCASE("without a free descriptor, the request is reported as not sent") {
    // The callback still runs after post() has returned.
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    int next = dup(STDOUT_FILENO);
    close(next);
    rlimit exhausted{static_cast<rlim_t>(next), limit.rlim_max};
    setrlimit(RLIMIT_NOFILE, &exhausted);
    HttpConnection unconnected(loop, endpoint);
    bool returned = false;
    bool calledAfterReturn = false;
    unconnected.post("/echo", "{}", 1s, [&](HttpReply it) {
      calledAfterReturn = returned;
      storeReply(std::move(it));
    });
    returned = true;
    loop.run();
    setrlimit(RLIMIT_NOFILE, &limit);
    CHECK(reply.Result == Transfer::NotSent);
    CHECK(calledAfterReturn);
  }
  SUBCASE("a connection is counted from its first request until it closes") {
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
    other->post("/echo", "{}", 5s, storeReply);
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
