#include "standins/faultproxy/TcpLink.h"
#include "standins/faultproxy/UdpLink.h"

#include "baobabpin/http/HttpServer.h"

#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <optional>

namespace standins::faultproxy {
namespace {

using namespace std::chrono_literals;
using namespace baobabpin;

/// Ends a test that would otherwise wait for ever; no verdict depends on it.
constexpr auto Patience = 10s;

bool succeeds(const std::function<base::Result<void>()> &body) {
  return base::handleFailure(
      [&]() -> base::Result<bool> {
        BOOST_LEAF_CHECK(body());
        return true;
      },
      [](const base::Failure &) { return false; });
}

struct TcpCase {
  TcpCase() : Server(std::make_unique<http::HttpServer>(Loop)) {
    Server->handle("/echo", [this](const http::HttpRequest &request,
                                   const http::ResponderPtr &responder) {
      ++Received;
      responder->json(200, request.Body);
    });
    REQUIRE(succeeds([&]() -> base::Result<void> {
      BOOST_LEAF_ASSIGN(Target, Server->listen({"127.0.0.1", 0}));
      return {};
    }));
    Link = std::make_unique<TcpLink>(
        Loop, Random, LinkOptions{"link", {"127.0.0.1", 0}, Target});
    REQUIRE(succeeds([&] { return Link->open({}); }));
  }

  http::HttpConnection connect(const std::string &source = "127.0.0.1") {
    return {Loop, Link->options().Listen, source};
  }

  /// Runs the loop until \p isDone; false when it takes beyond all patience.
  bool runUntil(const std::function<bool()> &isDone) {
    auto deadline = Loop.now() + Patience;
    auto poll = Loop.runEvery(1ms, [&] {
      if (isDone() || Loop.now() > deadline)
        Loop.stop();
    });
    Loop.run();
    return isDone();
  }

  std::optional<http::HttpReply> Reply;
  http::ReplyCallback keep() {
    Reply.reset();
    return [this](http::HttpReply it) { Reply = std::move(it); };
  }

  kernel::EventLoop Loop;
  std::mt19937_64 Random{1};
  std::unique_ptr<http::HttpServer> Server;
  http::Endpoint Target;
  std::unique_ptr<TcpLink> Link;
  int Received = 0;
};

TEST_CASE("a TCP link") {
  TcpCase test;
  auto client = test.connect();
  client.post("/echo", "1", Patience, test.keep());
  REQUIRE(test.runUntil([&] { return test.Reply.has_value(); }));
  REQUIRE(test.Reply->Body == "1");

  SUBCASE("an answer lost in a one-way cut arrives after healing") {
    test.Link->applyRules({{.DropsToSource = true}});
    client.post("/echo", "2", Patience, test.keep());
    REQUIRE(test.runUntil([&] { return test.Received == 2; }));
    CHECK_FALSE(test.Reply);
    test.Link->applyRules({});
    REQUIRE(test.runUntil([&] { return test.Reply.has_value(); }));
    CHECK(test.Reply->Body == "2");
  }
  SUBCASE("a request lost in a one-way cut does not reach the target") {
    test.Link->applyRules({{.DropsToTarget = true, .ResetsOnHeal = true}});
    client.post("/echo", "2", Patience, test.keep());
    auto passed = test.connect("127.0.0.2");
    passed.post("/echo", "3", 50ms, [&](http::HttpReply) { test.Loop.stop(); });
    test.Loop.run();
    CHECK(test.Received == 1);
    test.Link->applyRules({});
    REQUIRE(test.runUntil([&] { return test.Reply.has_value(); }));
    CHECK(test.Reply->Result == http::Transfer::Broken);
    CHECK(test.Received == 1);
  }
  SUBCASE("a cut of one source leaves the others alone") {
    test.Link->applyRules({{.Source = "127.0.0.2", .DropsToTarget = true}});
    client.post("/echo", "2", Patience, test.keep());
    REQUIRE(test.runUntil([&] { return test.Reply.has_value(); }));
    CHECK(test.Reply->Body == "2");
  }
  SUBCASE(
      "the target sees the source's address, so that links can be chained") {
    TcpLink outer(test.Loop, test.Random,
                  {"outer", {"127.0.0.1", 0}, test.Link->options().Listen});
    REQUIRE(succeeds([&] { return outer.open({}); }));
    test.Link->applyRules({{.Source = "127.0.0.3", .Resets = true}});
    http::HttpConnection chained(test.Loop, outer.options().Listen,
                                 "127.0.0.3");
    chained.post("/echo", "2", Patience, test.keep());
    REQUIRE(test.runUntil([&] { return test.Reply.has_value(); }));
    CHECK(test.Reply->Result == http::Transfer::Broken);
  }
  SUBCASE("a target that is gone is refused here too, until it returns") {
    test.Server.reset();
    auto isRefused = [&] {
      client.post("/echo", "2", Patience, test.keep());
      test.runUntil([&] { return test.Reply.has_value(); });
      return test.Reply->Result == http::Transfer::NotSent;
    };
    isRefused();
    isRefused();
    CHECK(isRefused());
    test.Server = std::make_unique<http::HttpServer>(test.Loop);
    REQUIRE(succeeds([&]() -> base::Result<void> {
      BOOST_LEAF_CHECK(test.Server->listen(test.Target));
      return {};
    }));
    bool hasReturned = false;
    for (int n = 0; n < 2000 && !hasReturned; ++n) {
      auto pause = test.Loop.runAfter(5ms, [&] { test.Loop.stop(); });
      test.Loop.run();
      hasReturned = !isRefused();
    }
    CHECK(hasReturned);
  }
  SUBCASE("the end of a connection is passed on") {
    client.disconnect();
    CHECK(test.runUntil([&] {
      return test.Server->connectionCount() == 0 &&
             test.Link->counters().Open == 0;
    }));
  }
}

struct UdpSocket {
  explicit UdpSocket(const std::string &address)
      : Fd(openSocketFrom(address, SOCK_DGRAM)) {
    REQUIRE(Fd >= 0);
  }
  ~UdpSocket() { close(Fd); }

  void send(const std::string &text, const http::Endpoint &endpoint) const {
    sockaddr_in to = socketAddress(endpoint);
    REQUIRE(sendto(Fd, text.data(), text.size(), 0,
                   reinterpret_cast<sockaddr *>(&to), sizeof to) > 0);
  }
  /// Empty when nothing has arrived.
  std::string receive(http::Endpoint &from) const {
    std::array<char, 100> buf{};
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ssize_t n = recvfrom(Fd, buf.data(), buf.size(), 0,
                         reinterpret_cast<sockaddr *>(&address), &size);
    from = endpointOf(address);
    return n > 0 ? std::string(buf.data(), static_cast<std::size_t>(n)) : "";
  }

  int Fd;
};

TEST_CASE("a UDP link") {
  kernel::EventLoop loop;
  std::mt19937_64 random{1};
  UdpSocket target("127.0.0.1");
  UdpSocket source("127.0.0.5");
  UdpLink link(loop, random,
               {"link", {"127.0.0.1", 0}, localEndpoint(target.Fd)});
  REQUIRE(succeeds([&] { return link.open({}); }));
  http::Endpoint from;
  auto arrives = [&](const UdpSocket &socket) {
    std::string text;
    auto deadline = loop.now() + Patience;
    auto poll = loop.runEvery(1ms, [&] {
      text = socket.receive(from);
      if (!text.empty() || loop.now() > deadline)
        loop.stop();
    });
    loop.run();
    return text;
  };

  source.send("ping", link.options().Listen);
  REQUIRE(arrives(target) == "ping");
  CHECK(from.Address == "127.0.0.5");
  target.send("pong", from);
  CHECK(arrives(source) == "pong");
  CHECK(from == link.options().Listen);

  // Guards against a cut that works in the wrong direction. The second
  // datagram from each side follows the first through the same sockets.
  SUBCASE("a one-way cut loses datagrams for good") {
    link.applyRules({{.Source = "127.0.0.5", .DropsToTarget = true}});
    source.send("lost", link.options().Listen);
    auto before = link.counters().Total;
    while (link.counters().Total == before) {
      auto poll = loop.runAfter(1ms, [&] { loop.stop(); });
      loop.run();
    }
    link.applyRules({});
    source.send("kept", link.options().Listen);
    CHECK(arrives(target) == "kept");
  }
}

} // namespace
} // namespace standins::faultproxy
