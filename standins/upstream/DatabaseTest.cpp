#include "standins/upstream/Database.h"
#include "standins/upstream/Replication.h"
#include "standins/upstream/Slots.h"

#include <doctest/doctest.h>

namespace standins::upstream {
namespace {

using namespace std::chrono_literals;

const TimePoint Start{1'000'000s};

RequestId requestId(int n, std::chrono::milliseconds age = 0ms) {
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      Start.time_since_epoch() - age);
  return std::to_string(ms.count()) + "-" + std::to_string(n);
}

ExecuteCall write(std::string text, RequestId request, TermNumber term = 1) {
  return {.Term = term,
          .IsWrite = true,
          .Text = std::move(text),
          .Request = std::move(request)};
}

std::string get(Database &db, const std::string &key) {
  return execute(db, Start, {.Text = "GET " + key}).Result;
}

// Guards against a lenient parser: a malformed write must not run half-read.
TEST_CASE("only whole statements are accepted") {
  for (const char *text : {"", "DROP x", "GET", "GET a b", "PUT a", "ADD a x",
                           "ADD a", "TAKE a -1", "ADD a 1 2", "PUT  v"})
    CHECK_MESSAGE(!parseStatement(text), text);
  CHECK(parseStatement("SCAN"));
  CHECK(parseStatement("PUT a some words"));
}

TEST_CASE("statements on a primary") {
  Database db = openDatabase({.Server = "a", .Primary = "a"}, Start);
  REQUIRE(execute(db, Start, write("PUT n 5", requestId(1))).isOk());

  SUBCASE("values keep their type") {
    CHECK(execute(db, Start, write("ADD n 2", requestId(2))).Result == "7");
    CHECK(execute(db, Start, write("APPEND n x", requestId(3))).Result == "7x");
    CHECK(execute(db, Start, write("ADD n 1", requestId(4))).Error ==
          Problem::StatementError);
    CHECK(execute(db, Start, {.Text = "SCAN n"}).Result == R"({"n":"7x"})");
  }
  SUBCASE("a rejected statement has no effect and leaves no record") {
    CHECK(execute(db, Start, write("TAKE n 6", requestId(2))).Error ==
          Problem::StatementError);
    CHECK(get(db, "n") == "5");
    CHECK(execute(db, Start, write("ADD n 3", requestId(2))).Result == "8");
  }
  SUBCASE("a repeat gets the first answer and does not run") {
    Answer first = execute(db, Start, write("ADD n 1", requestId(2)));
    execute(db, Start, write("ADD n 10", requestId(3)));
    Answer again = execute(db, Start, write("ADD n 1", requestId(2)));
    CHECK(again.Replayed);
    CHECK(again.Result == first.Result);
    CHECK(again.Position == first.Position);
    CHECK(get(db, "n") == "16");
  }
  SUBCASE("an ID that a record may no longer cover is refused") {
    CHECK(execute(db, Start, write("ADD n 1", requestId(2, 25h))).Error ==
          Problem::RequestIdExpired);
    expire(db, Start + 25h, {});
    CHECK(db.Records.empty());
  }
  SUBCASE("a write of another term does not run") {
    CHECK(execute(db, Start, write("ADD n 1", requestId(2), 2)).Error ==
          Problem::StaleTerm);
    CHECK(execute(db, Start, write("ADD n 1", requestId(2), 0)).Error ==
          Problem::StaleTerm);
    CHECK(get(db, "n") == "5");
  }
  SUBCASE("a read waits for its position or learns that it is lost") {
    CHECK(execute(db, Start, {.Text = "GET n", .MinPosition = {1, 3}}).Error ==
          Problem::NotCaughtUp);
    prepare(db, Start, 3, "x");
    promote(db, Start, 3, "x");
    CHECK(execute(db, Start, {.Text = "GET n", .MinPosition = {1, 3}}).Error ==
          Problem::PositionLost);
  }
}

TEST_CASE("transactions") {
  Database db = openDatabase({.Server = "a", .Primary = "a"}, Start);
  execute(db, Start, write("PUT n 5", requestId(1)));
  std::string name = begin(db, Start, 1, 7).Transaction;
  auto inside = [&](std::string text, bool isWrite) {
    return execute(db, Start,
                   {.Term = 1,
                    .IsWrite = isWrite,
                    .Text = std::move(text),
                    .Transaction = name,
                    .Connection = 7});
  };
  EndCall end{
      .Term = 1, .Transaction = name, .Request = requestId(9), .Connection = 7};
  CHECK(inside("ADD n 1", true).Result == "6");
  CHECK(inside("PUT m 1", true).isOk());

  SUBCASE("writes are seen inside only, until the commit applies all at once") {
    CHECK(inside("GET n", false).Result == "6");
    CHECK(inside("SCAN m", false).Result == R"({"m":1})");
    CHECK(get(db, "n") == "5");
    auto before = lastPosition(db).Index;
    CHECK(commit(db, Start, end).Position.Index == before + 1);
    CHECK(get(db, "n") == "6");
    CHECK(get(db, "m") == "1");
    CHECK(commit(db, Start, end).Replayed);
  }
  SUBCASE("a write to what was read makes the commit fail without effect") {
    execute(db, Start, write("ADD n 10", requestId(2)));
    CHECK(commit(db, Start, end).Error == Problem::StatementError);
    CHECK(get(db, "n") == "15");
    CHECK(get(db, "m").empty());
  }
  SUBCASE("another connection cannot use it") {
    // The answer differs from that for an unknown transaction: this one may
    // still commit, and a caller must not be told that it is lost.
    end.Connection = 8;
    CHECK(commit(db, Start, end).Error == Problem::BadRequest);
    end.Connection = 7;
    CHECK(commit(db, Start, end).isOk());
  }
  SUBCASE("it ends with its connection") {
    closeConnection(db, Start, 7);
    CHECK(commit(db, Start, end).Error == Problem::UnknownTransaction);
  }
  SUBCASE("the idle bound rolls it back, but not under a running statement") {
    expire(db, Start + 5s, {name});
    CHECK(db.Transactions.contains(name));
    expire(db, Start + 5s, {});
    CHECK(commit(db, Start + 5s, end).Error == Problem::UnknownTransaction);
    CHECK(db.Events.back().Reason == "idle");
  }
  SUBCASE("a promise to a later term ends it") {
    prepare(db, Start, 2, "x");
    CHECK(commit(db, Start, end).Error == Problem::NotPrimary);
    CHECK(db.Transactions.empty());
  }
}

// Guards against overtaking: a newcomer must not take the slot of one waiting.
TEST_CASE("slots go to the longest waiting") {
  Slots slots{.Limit = 1};
  CHECK(acquire(slots, 1));
  CHECK_FALSE(acquire(slots, 2));
  CHECK_FALSE(acquire(slots, 3));
  CHECK_FALSE(release(slots, 2).has_value());
  CHECK(release(slots, 1) == 3);
  CHECK(slots.Holders.size() == 1);
}

} // namespace
} // namespace standins::upstream
