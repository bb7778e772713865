#include "baobabpin/upstream/UpstreamConnection.h"

#include "baobabpin/http/HttpServer.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include <initializer_list>

namespace baobabpin::upstream {
namespace {

using namespace std::chrono_literals;
using http::HttpRequest;
using http::ResponderPtr;
using nlohmann::json;

struct Fixture {
  kernel::EventLoop Loop;
  http::HttpServer Server{Loop};
  http::Endpoint Endpoint = base::handleFailure(
      [&] {
        return Server.listen({"127.0.0.1", 0});
      },
      [](const base::Failure &) { return http::Endpoint{}; });
  UpstreamConnection Connection{Loop, Endpoint};

  Answer execute() {
    Answer answer;
    Connection.call(ExecuteRequest{.Term = 1, .Statement = "GET a"}, 5s,
                    [&](Answer it) {
                      answer = std::move(it);
                      Loop.stop();
                    });
    Loop.run();
    return answer;
  }
};

TEST_CASE("an answer is matched to its call by the identifier") {
  Fixture fixture;
  std::uint64_t idOffset = 0;
  fixture.Server.handle(
      "/v1/execute", [&](HttpRequest request, ResponderPtr it) {
        auto id = json::parse(request.Body).at("id").get<std::uint64_t>();
        it->json(200, json{{"id", id + idOffset},
                           {"outcome", "ok"},
                           {"result", "7"},
                           {"term", 1},
                           {"position", {{"term", 1}, {"index", 4}}}}
                          .dump());
      });

  SUBCASE("an answer with the identifier of the call is delivered") {
    Answer answer = fixture.execute();
    CHECK(answer.Outcome == CallOutcome::Ok);
    CHECK(answer.Result == "7");
    CHECK(answer.Position == base::LogPosition{1, 4});
  }
  SUBCASE(
      "an answer with another identifier is lost, and the next call works") {
    idOffset = 1;
    Answer answer = fixture.execute();
    CHECK(answer.Outcome == CallOutcome::Lost);
    CHECK(answer.Error == base::ErrorType::CrossedAnswer);
    idOffset = 0;
    CHECK(fixture.execute().Outcome == CallOutcome::Ok);
  }
}

TEST_CASE("a malformed answer leaves the outcome of the call unknown") {
  Fixture fixture;
  std::string body;
  fixture.Server.handle(
      "/v1/execute",
      [&](HttpRequest, ResponderPtr responder) { responder->json(200, body); });

  for (const char *it : {"", "{", "[]", "{\"id\":1", "{\"id\":\"x\"}"}) {
    body = it;
    CHECK(fixture.execute().Outcome == CallOutcome::Lost);
  }
}

TEST_CASE("a refusal carries the error type and the term of the server") {
  Fixture fixture;
  fixture.Server.handle(
      "/v1/execute", [](HttpRequest request, ResponderPtr it) {
        auto id = json::parse(request.Body).at("id").get<std::uint64_t>();
        it->json(200, json{{"id", id},
                           {"outcome", "refused"},
                           {"error", "stale_term"},
                           {"term", 9}}
                          .dump());
      });
  Answer answer = fixture.execute();
  CHECK(answer.Outcome == CallOutcome::Refused);
  CHECK(answer.Error == base::ErrorType::StaleTerm);
  CHECK(answer.Term == 9);
}

} // namespace
} // namespace baobabpin::upstream
