#include "standins/store/Store.h"

#include <doctest/doctest.h>

namespace standins::store {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{1'000s};

TEST_CASE("compare-and-swap") {
  Store store;
  Revision first = put(store, {"k", "1", 0, ""}).At;
  REQUIRE(first == 1);

  SUBCASE("the second of two racing writers learns the winner's revision") {
    Revision winner = put(store, {"k", "2", first, ""}).At;
    ChangeAnswer loser = put(store, {"k", "3", first, ""});
    CHECK(loser.Error == StoreProblem::Conflict);
    CHECK(loser.At == winner);
    CHECK(get(store, "k")->Value == "2");
  }
  SUBCASE("a key can be created once, and again after its deletion") {
    CHECK(put(store, {"k", "2", 0, ""}).Error == StoreProblem::Conflict);
    CHECK(erase(store, "k", first + 1).Error == StoreProblem::Conflict);
    CHECK(erase(store, "k", first).At == 2);
    CHECK(erase(store, "k", {}).Error == StoreProblem::NotFound);
    CHECK(put(store, {"k", "2", first, ""}).Error == StoreProblem::Conflict);
    CHECK(put(store, {"k", "2", 0, ""}).At == 3);
  }
  SUBCASE("a deletion is a change that watches see, but no value") {
    erase(store, "k", {});
    CHECK(range(store, "").empty());
    auto changes = changesSince(store, "k", first);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].IsDeleted);
    CHECK(changesSince(store, "other", 0).empty());
    CHECK(changesSince(store, "k", 2).empty());
  }
}

TEST_CASE("leases") {
  Store store;
  std::string lease = grantLease(store, Start, 1s).Id;
  put(store, {"k", "1", {}, lease});

  SUBCASE("a key ends with its lease unless the lease is renewed") {
    renewLease(store, Start + 900ms, lease);
    expireLeases(store, Start + 1500ms);
    CHECK(get(store, "k"));
    expireLeases(store, Start + 1900ms);
    CHECK_FALSE(get(store, "k"));
    CHECK(changesSince(store, "k", 1).size() == 1);
  }
  SUBCASE("a holder that was paused learns that its lease is gone") {
    expireLeases(store, Start + 1s);
    CHECK(renewLease(store, Start + 1s, lease).Error == StoreProblem::NotFound);
    CHECK(put(store, {"k", "2", {}, lease}).Error == StoreProblem::NotFound);
  }
  SUBCASE("a key that was written without the lease survives it") {
    put(store, {"k", "2", {}, ""});
    revokeLease(store, lease);
    CHECK(get(store, "k"));
  }
}

TEST_CASE("the host list lags") {
  Store store;
  setHosts(store, Start, 0ms, {{"h1", false}});
  setHosts(store, Start, 2s, {{"h1", true}});
  CHECK_FALSE(visibleHosts(store, Start + 1s).at(0).IsLeaving);
  CHECK(visibleHosts(store, Start + 2s).at(0).IsLeaving);
}

} // namespace
} // namespace standins::store
