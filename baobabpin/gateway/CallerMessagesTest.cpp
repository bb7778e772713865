#include "baobabpin/gateway/CallerMessages.h"

#include <doctest/doctest.h>

#include <initializer_list>

namespace baobabpin::gateway {
namespace {

using proto::ForwardRequest;

base::ErrorType errorOf(const std::string &body) {
  return base::handleFailure(
      [&]() -> base::Result<base::ErrorType> {
        BOOST_LEAF_CHECK(parseRequest(ForwardRequest::EXECUTE, body));
        return base::ErrorType::NotFound;
      },
      [](const base::Failure &failure) { return failure.Type; });
}

std::string bodyWith(const std::string &fields) {
  return R"({"customer":"bukhan","database":"lending-ledger",)"
         R"("routing_key":"shop-4","class":"browse",)" +
         fields + "}";
}

TEST_CASE("a malformed request is rejected with a typed error") {
  using base::ErrorType;
  CHECK(errorOf(bodyWith(R"("kind":"read","statement":"GET a")")) ==
        ErrorType::NotFound);

  SUBCASE("a body that is not a JSON object is a bad request") {
    for (const char *it : {"", "{", "[]", "7", "{\"customer\":\"b"})
      CHECK(errorOf(it) == ErrorType::BadRequest);
  }
  SUBCASE("a missing, invalid or unknown field is a bad request") {
    for (const char *it :
         {R"("kind":"read")", R"("kind":"delete","statement":"GET a")",
          R"("kind":"read","statement":7)",
          R"("kind":"read","statement":"GET a","max_age_ms":-1)",
          R"("kind":"read","statement":"GET a","surprise":1)",
          R"("kind":"read","statement":"GET a","session":[7])"})
      CHECK(errorOf(bodyWith(it)) == ErrorType::BadRequest);
  }
  SUBCASE("a statement or body above its size limit is too large") {
    std::string large(MaxStatementBytes + 1, 'x');
    CHECK(errorOf(bodyWith(R"("kind":"read","statement":")" + large + '"')) ==
          ErrorType::RequestTooLarge);
    CHECK(errorOf(std::string(MaxRequestBytes + 1, ' ')) ==
          ErrorType::RequestTooLarge);
  }
}

TEST_CASE(
    "the HTTP status tells unknown outcomes, temporary refusals and caller "
    "errors apart") {
  CallerReply reply;
  reply.Outcome = base::Outcome::Unknown;
  CHECK(httpStatus(reply) == 504);
  reply.Outcome = base::Outcome::NotRun;
  reply.Error = {base::ErrorType::Overloaded, ""};
  CHECK(httpStatus(reply) == 503);
  reply.Error = {base::ErrorType::InvalidSession, ""};
  CHECK(httpStatus(reply) == 400);
}

} // namespace
} // namespace baobabpin::gateway
