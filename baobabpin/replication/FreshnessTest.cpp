#include "baobabpin/replication/Freshness.h"
#include "baobabpin/replication/GroupTestSupport.h"

#include <doctest/doctest.h>

namespace baobabpin::replication {
namespace {

using namespace test;

/// Makes the report of a server whose log has entries of term 1 before the
/// index \p cut and entries of term 3 from there up to \p last.
ServerReport reportOfTerm3(const base::ServerId &server, base::LogIndex cut,
                           base::LogIndex last) {
  auto it = report(server, 3, last);
  it.TermStarts = {{1, 1}, {3, cut}};
  return it;
}

TEST_CASE(
    "a write is confirmed once a majority that promised its term holds it") {
  GroupFixture group;
  group.answer(report("a", 1, 12));
  group.answer(report("b", 1, 11));
  CHECK(isConfirmed(group.State, {1, 11}));
  CHECK_FALSE(isConfirmed(group.State, {1, 12}));

  SUBCASE("a server that promised a later term does not confirm the write") {
    auto fenced = report("b", 1, 12);
    fenced.PromisedTerm = 2;
    group.answer(fenced);
    CHECK_FALSE(isConfirmed(group.State, {1, 12}));
  }
  SUBCASE("an entry of an earlier term is confirmed only once an entry of the "
          "current term follows it") {
    // Otherwise a server whose log is shorter but ends in a later term could
    // still be promoted and replace the entry.
    for (const auto *it : {"a", "b"}) {
      auto old = report(it, 3, 12);
      old.Position = {1, 12};
      old.TermStarts = {{1, 1}};
      group.answer(old);
    }
    CHECK_FALSE(isConfirmed(group.State, {1, 12}));
    group.answer(reportOfTerm3("a", 13, 13));
    group.answer(reportOfTerm3("b", 13, 13));
    CHECK(isConfirmed(group.State, {1, 12}));
    CHECK(confirmingTerm(group.State, {1, 12}) == 3);
  }
  SUBCASE(
      "an entry is lost once a majority is in a later term that replaced it") {
    group.answer(reportOfTerm3("a", 12, 20));
    CHECK_FALSE(isPositionLost(group.State, {1, 12}));
    group.answer(reportOfTerm3("b", 12, 14));
    CHECK_FALSE(isConfirmed(group.State, {1, 12}));
    CHECK(isPositionLost(group.State, {1, 12}));
    CHECK_FALSE(isPositionLost(group.State, {1, 11}));
  }
}

TEST_CASE("writes are blocked without a recent confirmation of the term") {
  GroupFixture group;
  CHECK(writeBlockReason(group.State, group.Now) ==
        WriteBlockReason::NoPrimary);
  startWithPrimaryA(group);
  CHECK_FALSE(writeBlockReason(group.State, group.Now).has_value());
  CHECK(writeBlockReason(group.State, group.Now + 501ms) ==
        WriteBlockReason::TermNotConfirmed);
  CHECK_FALSE(isTermConfirmedSince(group.State, 1, group.Now));
  group.Now += 600ms;
  group.answer(report("a", 1, 10));
  CHECK(writeBlockReason(group.State, group.Now) ==
        WriteBlockReason::TermNotConfirmed);
  group.answer(report("c", 1, 10));
  CHECK_FALSE(writeBlockReason(group.State, group.Now).has_value());
}

TEST_CASE("the age of data is proven by the answers of a majority") {
  GroupFixture group;
  group.answer(report("a", 1, 10));
  CHECK_FALSE(provenAge(group.State, {1, 10}, group.Now).has_value());
  group.answerAfter(report("b", 1, 7), 20ms);
  // The older of the two requests determines the age.
  auto age = *provenAge(group.State, {1, 10}, group.Now);
  CHECK(age >= 20ms);
  CHECK(age < 21ms);

  SUBCASE("no age is proven for a position below the sample, and one is proven "
          "for a position of a later term") {
    CHECK_FALSE(provenAge(group.State, {1, 9}, group.Now).has_value());
    CHECK(provenAge(group.State, {2, 3}, group.Now).has_value());
  }
  SUBCASE("without new proofs the age grows and includes the clock drift") {
    auto later = *provenAge(group.State, {1, 10}, group.Now + 10s);
    // A clock that is slow by 0.1 % shows 10.02 s of 10.0300 s.
    CHECK(later >= 10030ms);
    CHECK(later < 10035ms);
  }
  SUBCASE("answers of the replicas alone do not extend the proof") {
    group.Now += 1s;
    group.answer(report("b", 1, 10));
    group.answer(report("c", 1, 10));
    CHECK(*provenAge(group.State, {1, 10}, group.Now) >= 1s);
  }
  SUBCASE("the position in a replayed answer does not extend the proof") {
    group.Now += 1s;
    group.collect(onStatementAnswer(group.State, {"a", 1, {1, 10}, false},
                                    group.Now, group.Now, group.Rng));
    group.answer(report("b", 1, 10));
    CHECK(*provenAge(group.State, {1, 10}, group.Now) >= 1s);
  }
}

TEST_CASE("a replica qualifies for a read by position and age") {
  GroupFixture group;
  startWithPrimaryA(group);
  ReadRequirement wanted{.Session = base::LogPosition{1, 10}};
  auto qualificationOf = [&](const base::ServerId &server) {
    return qualifyForRead(group.State, server, wanted, group.Now);
  };
  CHECK(qualificationOf("b").Result == Qualification::Qualifies);
  CHECK(qualificationOf("b").MinPosition == base::LogPosition{1, 10});

  SUBCASE(
      "a replica that lacks the position is behind, slightly so if its lag is "
      "short") {
    wanted.Session = base::LogPosition{1, 12};
    CHECK(qualificationOf("b").Result == Qualification::SlightlyBehind);
    group.Now += 30ms;
    group.answer(report("a", 1, 12));
    group.Now += 100ms;
    group.answer(report("b", 1, 10));
    CHECK(qualificationOf("b").Result == Qualification::Behind);
  }
  SUBCASE("a replica whose log replaced the position does not qualify") {
    wanted.Session = base::LogPosition{2, 5};
    group.answer(reportOfTerm3("b", 11, 15));
    CHECK(qualificationOf("b").Result == Qualification::PositionReplaced);
  }
  SUBCASE("a maximum age needs a proof and sets the read's minimum position") {
    wanted = {.MaxAge = 50ms};
    CHECK(qualificationOf("b").MinPosition == base::LogPosition{1, 10});
    group.Now += 60ms;
    CHECK(qualificationOf("b").Result == Qualification::TooOld);
    CHECK_FALSE(isWithinMaxAge(group.State, wanted, {1, 10}, group.Now));
  }
  SUBCASE("a server with a planned stop does not qualify") {
    setPlannedStop(group.State, "b", true);
    CHECK(qualificationOf("b").Result == Qualification::Leaving);
  }
}

TEST_CASE("the number of samples is bounded and old positions keep a proof") {
  GroupFixture group;
  startWithPrimaryA(group, 1);
  for (base::LogIndex n = 2; n < 5000; ++n) {
    group.Now += 10ms;
    group.answer(report("a", 1, n));
    group.answer(report("b", 1, n));
  }
  CHECK(group.State.Samples.size() <= 257);
  // A replica that is seconds behind still has a proven age.
  auto age = provenAge(group.State, {1, 4500}, group.Now);
  REQUIRE(age.has_value());
  // The position is 499 entries old, at 14 ms for each. Removing samples makes
  // the proven age larger, never smaller.
  CHECK(*age >= 499 * 14ms);
  CHECK(*age < 8s);
}

} // namespace
} // namespace baobabpin::replication
