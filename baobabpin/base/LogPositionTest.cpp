#include "baobabpin/base/LogPosition.h"

#include <doctest/doctest.h>

namespace baobabpin::base {
namespace {

TEST_CASE(
    "checkPosition tells whether a log contains, may receive or has replaced "
    "an entry") {
  std::vector<TermStart> starts{{1, 1}, {3, 10}};
  LogPosition last{3, 15};

  SUBCASE("entries of both terms and the position with index 0 are contained") {
    CHECK(checkPosition(starts, last, {1, 9}) == PositionCheck::Contained);
    CHECK(checkPosition(starts, last, {3, 15}) == PositionCheck::Contained);
    CHECK(checkPosition(starts, last, {0, 0}) == PositionCheck::Contained);
  }
  SUBCASE("an entry that a later term replaced is superseded") {
    // A promotion cut off the end of the log. Such an entry must not be
    // reported as NotYet, because a read would wait for it in vain.
    CHECK(checkPosition(starts, last, {1, 10}) == PositionCheck::Superseded);
    CHECK(checkPosition(starts, last, {2, 11}) == PositionCheck::Superseded);
  }
  SUBCASE(
      "an entry after the end of the log may still arrive, even of an unknown "
      "term") {
    CHECK(checkPosition(starts, last, {3, 16}) == PositionCheck::NotYet);
    CHECK(checkPosition(starts, last, {4, 12}) == PositionCheck::NotYet);
  }
  SUBCASE("a position before the start of its own term cannot exist and is "
          "superseded") {
    CHECK(checkPosition(starts, last, {3, 9}) == PositionCheck::Superseded);
  }
}

} // namespace
} // namespace baobabpin::base
