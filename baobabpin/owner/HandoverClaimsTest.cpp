#include "baobabpin/owner/HandoverClaims.h"

#include <doctest/doctest.h>

namespace baobabpin::owner {

TEST_CASE("a planned handover is made once, whoever owns the group") {
  HandoverId wanted{"move-0", 17};
  auto step = [&](std::optional<HandoverRecord> held, bool alive) {
    return chooseClaimStep(held, wanted, "host-1/5", alive);
  };

  SUBCASE("the first owner claims it") {
    CHECK(step({}, false) == ClaimStep::Write);
    CHECK(step(HandoverRecord{16, "host-2/1", true}, true) == ClaimStep::Write);
  }
  SUBCASE("the next owner does not make it again") {
    CHECK(step(HandoverRecord{17, "host-2/1", true}, true) == ClaimStep::Skip);
    CHECK(step(HandoverRecord{17, "host-2/1", false}, true) == ClaimStep::Wait);
  }
  SUBCASE("a claimant that died before it was done is replaced") {
    CHECK(step(HandoverRecord{17, "host-2/1", false}, false) ==
          ClaimStep::Write);
  }
  SUBCASE("a claim whose answer was lost is recognised") {
    CHECK(step(HandoverRecord{17, "host-1/5", false}, true) ==
          ClaimStep::Start);
  }
  SUBCASE("an owner that lags behind the configuration leaves it alone") {
    CHECK(step(HandoverRecord{18, "host-2/1", false}, false) ==
          ClaimStep::Skip);
  }
}

TEST_CASE("the record survives its way through the store") {
  auto record = decodeHandover(encodeHandover({17, "host-1/5", true}));
  REQUIRE(record);
  CHECK(record->Revision == 17);
  CHECK(record->Claimant == "host-1/5");
  CHECK(record->Done);
  CHECK_FALSE(decodeHandover("[]").has_value());
  CHECK_FALSE(decodeHandover("{\"revision\":1}").has_value());
}

} // namespace baobabpin::owner
