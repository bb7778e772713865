#include "baobabpin/replication/Freshness.h"
#include "baobabpin/replication/GroupTestSupport.h"

#include <doctest/doctest.h>

namespace baobabpin::replication {
namespace {

using namespace test;

/// A log with a term 1 up to \p cut - 1 and a term 3 from \p cut on.
ServerReport reportOfTerm3(const base::ServerId &server, base::LogIndex cut,
                           base::LogIndex last) {
  auto it = report(server, 3, last);
  it.TermStarts = {{1, 1}, {3, cut}};
  return it;
}

TEST_CASE("a write is confirmed by a majority that serves its term") {
  Group group;
  group.answer(report("a", 1, 12));
  group.answer(report("b", 1, 11));
  CHECK(isConfirmed(group.State, {1, 11}));
  CHECK_FALSE(isConfirmed(group.State, {1, 12}));

  SUBCASE("a server that promised a later term does not count") {
    auto fenced = report("b", 1, 12);
    fenced.PromisedTerm = 2;
    group.answer(fenced);
    CHECK_FALSE(isConfirmed(group.State, {1, 12}));
  }
  SUBCASE("old entries count only below an entry of the present term") {
    // Otherwise a server with a later, shorter log could still be promoted.
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
  SUBCASE("an entry that the present term cut off is lost") {
    group.answer(reportOfTerm3("a", 12, 20));
    CHECK_FALSE(isPositionLost(group.State, {1, 12}));
    group.answer(reportOfTerm3("b", 12, 14));
    CHECK_FALSE(isConfirmed(group.State, {1, 12}));
    CHECK(isPositionLost(group.State, {1, 12}));
    CHECK_FALSE(isPositionLost(group.State, {1, 11}));
  }
}

TEST_CASE("a write waits for a recent confirmation of the term") {
  Group group;
  CHECK(writeBlockReason(group.State, group.Now) ==
        WriteBlockReason::NoPrimary);
  settle(group);
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

TEST_CASE("the age of data is proven by a majority") {
  Group group;
  group.answer(report("a", 1, 10));
  CHECK_FALSE(provenAge(group.State, {1, 10}, group.Now).has_value());
  group.answerAfter(report("b", 1, 7), 20ms);
  // The older of the two requests bounds the proof.
  auto age = *provenAge(group.State, {1, 10}, group.Now);
  CHECK(age >= 20ms);
  CHECK(age < 21ms);

  SUBCASE("a log below the primary's has no proof, one of a later term has") {
    CHECK_FALSE(provenAge(group.State, {1, 9}, group.Now).has_value());
    CHECK(provenAge(group.State, {2, 3}, group.Now).has_value());
  }
  SUBCASE("without new proofs the age grows, with a margin for slow clocks") {
    auto later = *provenAge(group.State, {1, 10}, group.Now + 10s);
    // A clock that is slow by 0.1 % shows 10.02 s of 10.0300 s.
    CHECK(later >= 10030ms);
    CHECK(later < 10035ms);
  }
  SUBCASE("the primary's silence stops the proofs although replicas answer") {
    group.Now += 1s;
    group.answer(report("b", 1, 10));
    group.answer(report("c", 1, 10));
    CHECK(*provenAge(group.State, {1, 10}, group.Now) >= 1s);
  }
  SUBCASE("a replayed answer is not the end of the log") {
    group.Now += 1s;
    group.take(onStatementAnswer(group.State, {"a", 1, {1, 10}, false},
                                 group.Now, group.Now, group.Rng));
    group.answer(report("b", 1, 10));
    CHECK(*provenAge(group.State, {1, 10}, group.Now) >= 1s);
  }
}

TEST_CASE("a replica qualifies for a read by position and age") {
  Group group;
  settle(group);
  ReadRequirement wanted{.Session = base::LogPosition{1, 10}};
  auto fitOf = [&](const base::ServerId &server) {
    return qualifyForRead(group.State, server, wanted, group.Now);
  };
  CHECK(fitOf("b").Result == Qualification::Qualifies);
  CHECK(fitOf("b").MinPosition == base::LogPosition{1, 10});

  SUBCASE("a position that it lacks") {
    wanted.Session = base::LogPosition{1, 12};
    CHECK(fitOf("b").Result == Qualification::SlightlyBehind);
    group.Now += 30ms;
    group.answer(report("a", 1, 12));
    group.Now += 100ms;
    group.answer(report("b", 1, 10));
    CHECK(fitOf("b").Result == Qualification::Behind);
  }
  SUBCASE("a position that its history replaced") {
    wanted.Session = base::LogPosition{2, 5};
    group.answer(reportOfTerm3("b", 11, 15));
    CHECK(fitOf("b").Result == Qualification::PositionLost);
  }
  SUBCASE("an age needs a proof, and the guard makes the server check it") {
    wanted = {.MaxAge = 50ms};
    CHECK(fitOf("b").MinPosition == base::LogPosition{1, 10});
    group.Now += 60ms;
    CHECK(fitOf("b").Result == Qualification::TooOld);
    CHECK_FALSE(isWithinMaxAge(group.State, wanted, {1, 10}, group.Now));
  }
  SUBCASE("a server in a planned stop gets no new work") {
    setStopping(group.State, "b", true);
    CHECK(fitOf("b").Result == Qualification::Leaving);
  }
}

TEST_CASE("samples stay bounded and keep old proofs") {
  Group group;
  settle(group, 1);
  for (base::LogIndex n = 2; n < 5000; ++n) {
    group.Now += 10ms;
    group.answer(report("a", 1, n));
    group.answer(report("b", 1, n));
  }
  CHECK(group.State.Samples.size() <= 257);
  // A replica that is seconds behind still has a proven age.
  auto age = provenAge(group.State, {1, 4500}, group.Now);
  REQUIRE(age.has_value());
  // 499 entries of 14 ms each; thinning makes the proof coarser, never younger.
  CHECK(*age >= 499 * 14ms);
  CHECK(*age < 8s);
}

} // namespace
} // namespace baobabpin::replication
