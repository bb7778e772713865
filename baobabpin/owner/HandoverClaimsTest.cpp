#include "baobabpin/owner/HandoverClaims.h"

#include <doctest/doctest.h>

namespace baobabpin::owner {

TEST_CASE("a planned handover is made once even if the group's owner changes") {
  HandoverId wanted{"move-0", 17};
  auto step = [&](std::optional<HandoverRecord> stored, bool alive) {
    return chooseClaimStep(stored, wanted, "host-1/5", alive);
  };

  SUBCASE("an owner claims a handover that has no claim at this revision") {
    CHECK(step({}, false) == ClaimStep::Write);
    CHECK(step(HandoverRecord{16, "host-2/1", true}, true) == ClaimStep::Write);
  }
  SUBCASE("a finished handover is skipped, one in progress is waited for") {
    CHECK(step(HandoverRecord{17, "host-2/1", true}, true) == ClaimStep::Skip);
    CHECK(step(HandoverRecord{17, "host-2/1", false}, true) == ClaimStep::Wait);
  }
  SUBCASE("an unfinished claim of a dead node is taken over") {
    CHECK(step(HandoverRecord{17, "host-2/1", false}, false) ==
          ClaimStep::Write);
  }
  SUBCASE("a node recognizes its own claim after the write's answer was lost") {
    CHECK(step(HandoverRecord{17, "host-1/5", false}, true) ==
          ClaimStep::Start);
  }
  SUBCASE(
      "an owner with an old configuration skips a handover that was declared "
      "again") {
    CHECK(step(HandoverRecord{18, "host-2/1", false}, false) ==
          ClaimStep::Skip);
  }
}

TEST_CASE(
    "a handover record can be decoded again, malformed ones are rejected") {
  auto record = decodeHandover(encodeHandover({17, "host-1/5", true}));
  REQUIRE(record);
  CHECK(record->Revision == 17);
  CHECK(record->Claimant == "host-1/5");
  CHECK(record->Done);
  CHECK_FALSE(decodeHandover("[]").has_value());
  CHECK_FALSE(decodeHandover("{\"revision\":1}").has_value());
}

} // namespace baobabpin::owner
