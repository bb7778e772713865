#include "baobabpin/configsync/StoreWrite.h"

#include <doctest/doctest.h>

namespace baobabpin::configsync {
namespace {

using store::StoreReply;
using store::StoreStatus;

StoreReply readBack(const std::string &value, std::uint64_t revision) {
  StoreReply reply{StoreStatus::Ok, revision + 1};
  reply.Entries = {{"k1", "another key with this prefix", 99},
                   {"k", value, revision}};
  return reply;
}

TEST_CASE("a write whose answer was lost") {
  StoreWrite write{"k", "mark-1 value", 7};
  WriteDecision decision = afterWrite(write, {StoreStatus::Unknown});
  REQUIRE(decision.Step == WriteStep::ReadBackLater);

  SUBCASE("took effect: its own mark is found") {
    decision = afterReadBack(write, readBack("mark-1 value", 8));
    CHECK(decision.Step == WriteStep::Done);
    CHECK(decision.Result.Status == WriteStatus::Committed);
    CHECK(decision.Result.Revision == 8);
  }
  SUBCASE("lost the race: another writer's mark is found") {
    // The same change by another operator is still another write.
    decision = afterReadBack(write, readBack("mark-2 value", 8));
    CHECK(decision.Result.Status == WriteStatus::Conflict);
    CHECK(decision.Result.Revision == 8);
    CHECK(decision.Result.Current == "mark-2 value");
  }
  SUBCASE("is not there yet: it is sent again") {
    decision = afterReadBack(write, readBack("old", 7));
    CHECK(decision.Step == WriteStep::Write);
    SUBCASE("and conflicts with its own first attempt") {
      REQUIRE(afterWrite(write, {StoreStatus::Conflict, 8}).Step ==
              WriteStep::ReadBack);
      decision = afterReadBack(write, readBack("mark-1 value", 8));
      CHECK(decision.Result.Status == WriteStatus::Committed);
    }
  }
  SUBCASE("stays unknown when the store does not come back") {
    for (int n = 1; n < MaxFailedCalls; ++n) {
      REQUIRE(decision.Step == WriteStep::ReadBackLater);
      decision = afterReadBack(write, {StoreStatus::Unavailable});
    }
    CHECK(decision.Step == WriteStep::Done);
    CHECK(decision.Result.Status == WriteStatus::Unknown);
  }
}

TEST_CASE("a write that was refused before any change is unavailable") {
  StoreWrite write{"k", "v", 0};
  CHECK(afterWrite(write, {StoreStatus::Unavailable}).Result.Status ==
        WriteStatus::Unavailable);
}

TEST_CASE("a deletion whose answer was lost and whose key is gone succeeded") {
  StoreWrite write{"k", std::nullopt, 7};
  afterWrite(write, {StoreStatus::Unknown});
  auto decision = afterReadBack(write, {StoreStatus::Ok, 12});
  CHECK(decision.Result.Status == WriteStatus::Committed);
  CHECK(decision.Result.Revision == 12);
}

} // namespace
} // namespace baobabpin::configsync
