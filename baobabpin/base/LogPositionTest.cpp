#include "baobabpin/base/LogPosition.h"

#include <doctest/doctest.h>

namespace baobabpin::base {
namespace {

TEST_CASE("a session position is checked against a server's history") {
  std::vector<TermStart> starts{{1, 1}, {3, 10}};
  LogPosition last{3, 15};

  SUBCASE("entries of both terms that the log holds are contained") {
    CHECK(checkPosition(starts, last, {1, 9}) == PositionCheck::Contained);
    CHECK(checkPosition(starts, last, {3, 15}) == PositionCheck::Contained);
    CHECK(checkPosition(starts, last, {0, 0}) == PositionCheck::Contained);
  }
  SUBCASE("the tail that a promotion cut off is superseded, not awaited") {
    CHECK(checkPosition(starts, last, {1, 10}) == PositionCheck::Superseded);
    CHECK(checkPosition(starts, last, {2, 11}) == PositionCheck::Superseded);
  }
  SUBCASE("later entries, also of terms not heard of, may still arrive") {
    CHECK(checkPosition(starts, last, {3, 16}) == PositionCheck::NotYet);
    CHECK(checkPosition(starts, last, {4, 12}) == PositionCheck::NotYet);
  }
  SUBCASE("an index before its own term began cannot exist") {
    CHECK(checkPosition(starts, last, {3, 9}) == PositionCheck::Superseded);
  }
}

} // namespace
} // namespace baobabpin::base
