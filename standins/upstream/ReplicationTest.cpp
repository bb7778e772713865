#include "standins/upstream/Replication.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <random>

namespace standins::upstream {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{1'000'000s};

RequestId requestId(int n) { return "1000000000-" + std::to_string(n); }

struct Group {
  Database A = openDatabase({.Server = "a", .Primary = "a"}, Start);
  Database B = openDatabase({.Server = "b", .Primary = "a"}, Start);
  Database C = openDatabase({.Server = "c", .Primary = "a"}, Start);
};

Answer put(Database &db, TermNumber term, int n) {
  return execute(db, Start,
                 {.Term = term,
                  .IsWrite = true,
                  .Text = "ADD n " + std::to_string(n),
                  .Request = requestId(n)});
}

Answer pull(Database &follower, const Database &primary,
            std::size_t limit = 100) {
  return appendBatch(follower, Start,
                     entriesFor(primary, summarize(follower), limit));
}

std::string read(Database &db) {
  return execute(db, Start, {.Text = "GET n"}).Result;
}

TEST_CASE("promises") {
  Group g;
  CHECK(prepare(g.B, Start, 2, "x").Granted);
  CHECK(prepare(g.B, Start, 2, "x").Granted);
  CHECK_FALSE(prepare(g.B, Start, 2, "y").Granted);
  CHECK_FALSE(prepare(g.B, Start, 1, "x").Granted);
  CHECK(promote(g.B, Start, 2, "y").Error == Problem::StaleTerm);

  SUBCASE("a promise fences replication of the old term") {
    put(g.A, 1, 1);
    CHECK(pull(g.B, g.A).Error == Problem::StaleTerm);
    CHECK(lastPosition(g.B).Index == 0);
  }
  SUBCASE("a promise fences the old primary itself") {
    CHECK(prepare(g.A, Start, 2, "x").Granted);
    CHECK(put(g.A, 1, 1).Error == Problem::NotPrimary);
    CHECK(follow(g.A, Start, 1, "c", "").Error == Problem::StaleTerm);
  }
  SUBCASE("a term is led by one server only") {
    CHECK(promote(g.B, Start, 2, "x").isOk());
    CHECK(promote(g.B, Start, 2, "x").Position == LogPosition{2, 1});
    CHECK(follow(g.B, Start, 2, "c", "").Error == Problem::BadRequest);
    prepare(g.C, Start, 2, "x");
    follow(g.C, Start, 2, "b", "");
    CHECK(promote(g.C, Start, 2, "x").Error == Problem::StaleTerm);
  }
}

TEST_CASE("a cut-off primary rejoins") {
  Group g;
  put(g.A, 1, 1);
  pull(g.B, g.A);
  pull(g.C, g.A);
  put(g.A, 1, 2);
  put(g.A, 1, 4);
  prepare(g.B, Start, 2, "x");
  prepare(g.C, Start, 2, "x");
  REQUIRE(promote(g.B, Start, 2, "x").isOk());
  put(g.B, 2, 8);
  REQUIRE(follow(g.A, Start, 2, "b", "").isOk());
  REQUIRE(follow(g.C, Start, 2, "b", "").isOk());

  SUBCASE("its divergent tail is truncated, undone and reported") {
    CHECK(read(g.A) == "7");
    CHECK(pull(g.A, g.B).isOk());
    CHECK(read(g.A) == "9");
    CHECK(g.A.Records.contains(requestId(8)));
    CHECK_FALSE(g.A.Records.contains(requestId(2)));
    std::vector<std::string> truncated;
    for (const auto &it : g.A.Events) {
      if (it.What == DatabaseEvent::Kind::Truncated)
        truncated.push_back(it.Subject);
    }
    CHECK(truncated == std::vector<std::string>{requestId(4), requestId(2)});
  }
  SUBCASE("a batch that does not join the log is refused") {
    Batch batch = entriesFor(g.B, summarize(g.B), 100);
    CHECK(appendBatch(g.C, Start, batch).Error == Problem::NotCaughtUp);
  }
  SUBCASE("a delayed batch of the old primary changes nothing") {
    Batch late = entriesFor(
        openDatabase({.Server = "a", .Primary = "a"}, Start), {}, 100);
    CHECK(appendBatch(g.C, Start, late).Error == Problem::StaleTerm);
  }
}

// Guards against logs that agree on a position but not on what precedes it.
TEST_CASE("logs converge over random leadership changes") {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 rng(seed);
    Group g;
    std::array<Database *, 3> all{&g.A, &g.B, &g.C};
    int n = 0;
    for (int step = 0; step < 120; ++step) {
      Database &db = *all[rng() % 3];
      Database &other = *all[rng() % 3];
      switch (rng() % 8) {
      case 0: {
        TermNumber term =
            std::max({g.A.PromisedTerm, g.B.PromisedTerm, g.C.PromisedTerm}) +
            1;
        prepare(db, Start, term, "x");
        promote(db, Start, term, "x");
        break;
      }
      case 1:
        if (other.CurrentRole == Role::Primary && &db != &other)
          follow(db, Start, other.Term, other.Server, "");
        break;
      case 2:
      case 3:
        put(db, db.Term, ++n);
        break;
      default:
        if (&db == &other || db.Primary != other.Server)
          break;
        LogSummary before = summarize(db);
        Batch batch = entriesFor(other, before, 1 + rng() % 3);
        if (!appendBatch(db, Start, batch).isOk())
          break;
        LogSummary expected = summaryAfter(before, batch);
        REQUIRE_MESSAGE(expected.Last == lastPosition(db), "seed " << seed);
      }
    }
    Database &leader = **std::ranges::max_element(
        all, {}, [](const Database *it) { return it->PromisedTerm; });
    TermNumber term = leader.PromisedTerm + 1;
    prepare(leader, Start, term, "x");
    REQUIRE(promote(leader, Start, term, "x").isOk());
    for (Database *it : all) {
      if (it == &leader)
        continue;
      follow(*it, Start, term, leader.Server, "");
      pull(*it, leader, 1000);
      REQUIRE_MESSAGE(it->Table == leader.Table, "seed " << seed);
      REQUIRE_MESSAGE(it->Records == leader.Records, "seed " << seed);
      REQUIRE_MESSAGE(it->TermStarts == leader.TermStarts, "seed " << seed);
    }
  }
}

} // namespace
} // namespace standins::upstream
