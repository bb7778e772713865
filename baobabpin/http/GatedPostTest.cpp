#include "baobabpin/http/GatedPost.h"
#include "baobabpin/http/HttpServer.h"

#include <doctest/doctest.h>

#include <optional>

namespace baobabpin::http {
namespace {

using namespace std::chrono_literals;

/// A server that counts its requests.
struct GatedPostFixture {
  kernel::EventLoop Loop;
  HttpServer Server{Loop};
  Endpoint Target;
  int Requests = 0;
  HttpRequest Last;
  /// Keeps requests without a reply open.
  std::vector<ResponderPtr> Unanswered;
  bool Answers = true;
  std::optional<HttpReply> Reply;

  GatedPostFixture() {
    Server.handle("/act", [this](const HttpRequest &request,
                                 const ResponderPtr &responder) {
      ++Requests;
      Last = request;
      if (Answers)
        responder->json(409, R"({"a":1})");
      else
        Unanswered.push_back(responder);
    });
    Target = base::handleFailure(
        [&] {
          return Server.listen({"127.0.0.1", 0});
        },
        [](const base::Failure &) { return Endpoint{}; });
    REQUIRE(Target.Port != 0);
  }
  std::shared_ptr<GatedPost> start(GatedPost::Gate gate,
                                   base::Duration timeout = 5s) {
    return GatedPost::start(Loop, Target, {"/act", "{}", {{"X-Token", "7"}}},
                            timeout, std::move(gate),
                            [this](HttpReply it) { Reply = std::move(it); });
  }
  void runFor(base::Duration time) {
    auto end = Loop.runAfter(time, [this] { Loop.stop(); });
    Loop.run();
  }
};

TEST_CASE("a gated request") {
  GatedPostFixture fixture;

  SUBCASE("is written once its connection is there, and reports the status") {
    auto post = fixture.start([] { return true; });
    CHECK_FALSE(post->isWritten());
    fixture.runFor(100ms);
    CHECK(post->isWritten());
    CHECK(fixture.Requests == 1);
    CHECK(fixture.Last.Body == "{}");
    REQUIRE(fixture.Reply);
    CHECK(fixture.Reply->Result == Transfer::Completed);
    CHECK(fixture.Reply->Status == 409);
  }
  SUBCASE(
      "is not written if the gate has closed when the connection is there") {
    bool open = true;
    auto post = fixture.start([&] { return open; });
    open = false;
    fixture.runFor(100ms);
    CHECK(fixture.Requests == 0);
    REQUIRE(fixture.Reply);
    CHECK(fixture.Reply->Result == Transfer::NotSent);
  }
  SUBCASE("is not written after it was withdrawn") {
    auto post = fixture.start([] { return true; });
    post->withdraw();
    fixture.runFor(100ms);
    CHECK(fixture.Requests == 0);
    CHECK_FALSE(fixture.Reply);
  }
  SUBCASE("counts as sent if it was written and got no reply") {
    fixture.Answers = false;
    auto post = fixture.start([] { return true; }, 50ms);
    fixture.runFor(150ms);
    CHECK(fixture.Requests == 1);
    REQUIRE(fixture.Reply);
    CHECK(fixture.Reply->Result == Transfer::TimedOut);
  }
  SUBCASE("is not sent to a port without a listener or to a bad address") {
    fixture.Server.stopListening();
    SUBCASE("refused") {}
    SUBCASE("no address") { fixture.Target.Address = "host"; }
    auto post = fixture.start([] { return true; });
    CHECK_FALSE(fixture.Reply);
    fixture.runFor(100ms);
    REQUIRE(fixture.Reply);
    CHECK(fixture.Reply->Result == Transfer::NotSent);
  }
}

} // namespace
} // namespace baobabpin::http
