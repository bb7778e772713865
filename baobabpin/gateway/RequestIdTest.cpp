#include "baobabpin/gateway/RequestId.h"

#include <doctest/doctest.h>

#include <initializer_list>

namespace baobabpin::gateway {
namespace {

using namespace std::chrono_literals;

TEST_CASE("a request ID contains its creation time") {
  std::mt19937_64 random(1);
  WallTime created(1796361961141ms);
  auto text = makeRequestId(created, random);
  auto id = parseRequestId(text);
  REQUIRE(id);
  CHECK(id->CreatedAt == created);

  SUBCASE("an ID older than 23 h is expired, before its record can expire") {
    CHECK_FALSE(isExpired(*id, created + 23h));
    CHECK(isExpired(*id, created + 23h + 1ms));
  }
  SUBCASE("a malformed ID is rejected because it could collide with another") {
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
