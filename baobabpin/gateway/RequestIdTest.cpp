#include "baobabpin/gateway/RequestId.h"

#include <doctest/doctest.h>

#include <initializer_list>

namespace baobabpin::gateway {
namespace {

using namespace std::chrono_literals;

TEST_CASE("an idempotency key carries its creation time") {
  std::mt19937_64 random(1);
  WallTime created(1796361961141ms);
  auto text = makeRequestId(created, random);
  auto id = parseRequestId(text);
  REQUIRE(id);
  CHECK(id->CreatedAt == created);

  SUBCASE("it is refused before its record can be gone") {
    CHECK_FALSE(isExpired(*id, created + 23h));
    CHECK(isExpired(*id, created + 23h + 1ms));
  }
  SUBCASE("malformed keys are refused: they could collide") {
    for (const char *it : {"", "x", "12-", "-0123456789abcdef0123456789abcdef",
                           "12-0123456789abcdef0123456789abcdeg",
                           "12-0123456789ABCDEF0123456789abcdef",
                           "99999999999999999999-"
                           "0123456789abcdef0123456789abcdef"})
      CHECK_FALSE(parseRequestId(it).has_value());
  }
}

} // namespace
} // namespace baobabpin::gateway
