#include "standins/check/Checker.h"

#include <doctest/doctest.h>

#include <sstream>

namespace standins::check {
namespace {

using namespace std::chrono_literals;
using history::HistoryRecord;

constexpr MonotonicUs Ms = 1000;

HistoryRecord write(const std::string &id, const std::string &statement,
                    MonotonicUs sentMs, const std::string &result = "ok") {
  return {.SentUs = sentMs * Ms,
          .ReceivedUs = (sentMs + 10) * Ms,
          .Session = "s1",
          .Node = "n1",
          .Group = "g",
          .Kind = "write",
          .RequestId = id,
          .Statement = statement,
          .WithSession = true,
          .Transfer = "completed",
          .Outcome = "answered",
          .Result = result,
          .Server = "a",
          .Role = "primary",
          .AnsweredId = id};
}

HistoryRecord read(const std::string &statement, const std::string &result,
                   MonotonicUs sentMs) {
  HistoryRecord record = write("", statement, sentMs, result);
  record.Kind = "read";
  record.Server = "b";
  record.Role = "replica";
  return record;
}

ServerEntry entry(std::uint64_t term, Index index, const std::string &id,
                  const std::string &text, const std::string &result,
                  MonotonicUs atMs) {
  return {term, index, id, text, result, atMs * Ms, atMs * Ms};
}

/// Server a leads from the start, b and c follow 5 ms behind. Session s1 wrote
/// k at 100 ms and the counter at 200 ms, and ran a transaction at 300 ms.
struct Story {
  Evidence Given;

  Story() {
    ServerLog a{.Group = "g", .Server = "a", .Promotions = {{0, 1}}};
    a.Entries = {entry(1, 1, "", "", "", 1),
                 entry(1, 2, "w1", "PUT k k@1", "ok", 105),
                 entry(1, 3, "w2", "ADD n 1", "1", 205),
                 entry(1, 4, "t1", "ADD n 1; PUT k k@2", "2", 305)};
    ServerLog b{.Group = "g", .Server = "b", .Entries = a.Entries};
    for (ServerEntry &it : b.Entries)
      it.AppliedUs += 5 * Ms;
    ServerLog c = b;
    c.Server = "c";
    Given.Servers = {a, b, c};
    HistoryRecord step = write("", "ADD n 1", 290, "2");
    step.Transaction = "t1";
    HistoryRecord last = step;
    last.Statement = "PUT k k@2";
    last.Result = "ok";
    HistoryRecord commit = write("t1", "", 300, "");
    commit.Transaction = "t1";
    commit.Kind = "commit";
    Given.Records = {write("w1", "PUT k k@1", 100),
                     read("GET k", "k@1", 150),
                     write("w2", "ADD n 1", 200, "1"),
                     step,
                     last,
                     commit,
                     read("GET k", "k@2", 400),
                     read("SCAN k", R"({"k":"k@2"})", 500)};
    Given.Faults = {{.AtUs = 50 * Ms, .Event = "start"}};
  }

  Report run() const { return check(Given); }
  void add(HistoryRecord record) { Given.Records.push_back(std::move(record)); }
  /// Server b becomes the primary of term 2 at \p atMs with one entry.
  void failOver(MonotonicUs atMs, const std::string &id = "w9",
                const std::string &text = "PUT j j@9") {
    for (std::size_t i : {1, 2}) {
      auto &log = Given.Servers[i].Entries;
      log.push_back(entry(2, log.size() + 1, "", "", "", atMs));
      log.push_back(entry(2, log.size() + 1, id, text, "ok", atMs + 10));
    }
    Given.Servers[1].Promotions.push_back({atMs * Ms, 2});
  }
  void cut(MonotonicUs fromMs, MonotonicUs toMs) {
    Given.Faults.push_back({fromMs * Ms, "cut", "g", "a"});
    Given.Faults.push_back({toMs * Ms, "heal", "g", "a"});
  }
};

TEST_CASE("a history without violations") {
  Report report = Story().run();
  CHECK(violationCount(report) == 0);
  CHECK(report.Examples.empty());
  CHECK(report.Requests == 8);
  CHECK(report.Reads == 3);
  CHECK(report.ReadsServedByReplicas == 3);
  CHECK(report.ReadsReplicaCouldServe == 3);
  CHECK(report.Unknown == 0);
}

TEST_CASE("violations of reads") {
  Story story;
  SUBCASE("a session that misses its own write") {
    story.add(read("GET k", "k@1", 600));
    CHECK(story.run().StaleReads == 1);
  }
  SUBCASE("a session that misses its write in a scan") {
    story.add(read("SCAN k", R"({"k":"k@1"})", 600));
    CHECK(story.run().StaleReads == 1);
  }
  SUBCASE("another session may see the older value") {
    HistoryRecord other = read("GET k", "k@1", 600);
    other.Session = "s2";
    story.add(other);
    CHECK(story.run().StaleReads == 0);
  }
  SUBCASE("an answer older than the stated age") {
    HistoryRecord aged = read("GET k", "k@1", 600);
    aged.WithSession = false;
    aged.MaxAgeMs = 400;
    story.add(aged);
    CHECK(story.run().StaleReads == 0);
    story.Given.Records.back().MaxAgeMs = 200;
    CHECK(story.run().StaleReads == 1);
  }
  SUBCASE("an answer that belongs to another key") {
    story.add(read("GET k", "j@7", 600));
    CHECK(story.run().MixedAnswers == 1);
  }
  SUBCASE("a scan that mixes two states") {
    story.add(read("SCAN ", R"({"k":"k@1","n":2})", 600));
    CHECK(story.run().MixedAnswers == 1);
  }
  SUBCASE("a scan that lacks a key") {
    story.add(read("SCAN ", R"({"n":2})", 600));
    CHECK(story.run().MixedAnswers == 1);
  }
  SUBCASE("a value that a failover discarded") {
    story.Given.Servers[2].Discarded = {{1, 5, "w5"}};
    HistoryRecord lost = write("w5", "PUT k k@5", 350);
    lost.Outcome = "unknown";
    story.add(lost);
    story.add(read("GET k", "k@5", 600));
    Report report = story.run();
    CHECK(report.ReadsOfDiscardedWrites == 1);
    CHECK(violationCount(report) == 0);
  }
}

TEST_CASE("the bound of replica reads") {
  Story story;
  // The entry of 105 ms reaches the replicas at 110 ms.
  HistoryRecord early = read("GET k", "k@1", 108);
  early.MaxAgeMs = 1;
  early.Role = "primary";
  story.add(early);
  SUBCASE("no replica qualified on arrival") {
    CHECK(story.run().ReadsReplicaCouldServe == 3);
  }
  SUBCASE("the client latency gives the replicas time") {
    // The stated age is taken from the arrival as well.
    story.Given.Records.back().MaxAgeMs = 6;
    story.Given.ClientLatency = 2ms;
    CHECK(story.run().ReadsReplicaCouldServe == 4);
  }
  SUBCASE("a replica that is cut off does not count") {
    story.Given.Records.back().SentUs = 400 * Ms;
    CHECK(story.run().ReadsReplicaCouldServe == 4);
    for (const char *server : {"b", "c"})
      story.Given.Faults.push_back({300 * Ms, "cut", "g", server});
    CHECK(story.run().ReadsReplicaCouldServe == 1);
  }
}

TEST_CASE("violations of writes") {
  Story story;
  HistoryRecord again = write("w1", "PUT k k@1", 600);
  SUBCASE("a request that ran twice") {
    for (ServerLog &log : story.Given.Servers)
      log.Entries.push_back(entry(1, 5, "w1", "PUT k k@1", "ok", 500));
    CHECK(story.run().RanTwice == 1);
  }
  SUBCASE("a repeat that ran under another request ID") {
    for (ServerLog &log : story.Given.Servers)
      log.Entries.push_back(entry(1, 5, "x1", "ADD n 1", "3", 500));
    CHECK(story.run().RanTwice == 1);
  }
  SUBCASE("a refusal that was not true") {
    again.Outcome = "not_run";
    again.Error = "overloaded";
    story.add(again);
    Report report = story.run();
    CHECK(report.FalseNotRun == 1);
    CHECK(report.Refused["overloaded"] == 1);
  }
  SUBCASE("a failure that took effect") {
    again.Outcome = "failed";
    story.add(again);
    CHECK(story.run().FalseFailed == 1);
  }
  SUBCASE("a commit that is reported lost and survived") {
    again.Outcome = "failed";
    again.Error = "transaction_lost";
    story.add(again);
    CHECK(story.run().FalseFailed == 1);
  }
  SUBCASE("a failure whose entry a fenced primary discarded") {
    story.Given.Servers[0].Discarded = {{1, 5, "w9"}};
    HistoryRecord lost = write("w9", "PUT k k@9", 600);
    lost.Outcome = "failed";
    lost.Error = "statement_error";
    story.add(lost);
    CHECK(story.run().FalseFailed == 1);
    // Only a lost commit may have run there; see the decision on transactions.
    story.Given.Records.back().Error = "transaction_lost";
    CHECK(story.run().FalseFailed == 0);
  }
  SUBCASE("an acknowledged write that is gone") {
    story.add(write("w7", "PUT k k@7", 600));
    CHECK(story.run().LostAcknowledgedWrites == 1);
  }
  SUBCASE("a repeat with another answer") {
    again.Result = "1";
    again.Replayed = true;
    story.add(again);
    CHECK(story.run().MixedAnswers == 1);
  }
  SUBCASE("an answer to another request") {
    again.AnsweredId = "w2";
    story.add(again);
    CHECK(story.run().MixedAnswers == 1);
  }
  SUBCASE("a transaction with a statement of another one") {
    for (ServerLog &log : story.Given.Servers)
      log.Entries[3].Text = "ADD n 1; PUT j j@1; PUT k k@2";
    CHECK(story.run().MixedAnswers == 1);
  }
  SUBCASE("a transaction that lost a statement") {
    for (ServerLog &log : story.Given.Servers)
      log.Entries[3].Text = "PUT k k@2";
    CHECK(story.run().MixedAnswers >= 1);
  }
  SUBCASE("a write that stays unknown") {
    HistoryRecord lost = write("w8", "PUT k k@8", 600);
    lost.Outcome = "unknown";
    story.add(lost);
    CHECK(story.run().Unknown == 1);
    lost.Outcome = "not_run";
    story.add(lost);
    CHECK(story.run().Unknown == 0);
    CHECK(story.run().UnknownAttempts == 1);
  }
}

TEST_CASE("failovers") {
  Story story;
  HistoryRecord first = write("w9", "PUT j j@9", 1500);
  first.Server = "b";
  story.add(first);
  SUBCASE("a cut, a new primary, an acknowledgement") {
    story.cut(1000, 2000);
    story.failOver(1400);
    Report report = story.run();
    CHECK(violationCount(report) == 0);
    CHECK(report.Cuts == 1);
    CHECK(report.Failovers == 1);
    CHECK(report.GapsUs == std::vector<std::int64_t>{510 * Ms});
  }
  SUBCASE("a promotion without a cut") {
    story.failOver(1400);
    CHECK(story.run().FalsePromotions == 1);
  }
  SUBCASE("a promotion after the heal") {
    story.cut(1000, 1300);
    story.failOver(1400);
    CHECK(story.run().FalsePromotions == 1);
  }
  SUBCASE("a cut of a replica explains no promotion") {
    story.Given.Faults.push_back({1000 * Ms, "cut", "g", "c"});
    story.failOver(1400);
    Report report = story.run();
    CHECK(report.FalsePromotions == 1);
    CHECK(report.Cuts == 0);
  }
  SUBCASE("the old primary acknowledges, a later repeat saves the write") {
    story.cut(1000, 2000);
    story.failOver(1400);
    story.Given.Records.back().Server = "a";
    Report report = story.run();
    CHECK(report.AcknowledgedByOldPrimary == 1);
    CHECK(report.FailoversMissing == 1);
  }
  SUBCASE("the old primary acknowledges a write that it discards later") {
    story.cut(1000, 2000);
    story.failOver(1400);
    story.Given.Servers[0].Discarded = {{1, 5, "w5"}};
    story.add(write("w5", "PUT i i@5", 1100));
    Report report = story.run();
    CHECK(report.AcknowledgedByOldPrimary == 1);
    CHECK(report.LostAcknowledgedWrites == 1);
  }
  SUBCASE("the old primary still holds its tail at the end") {
    story.cut(1000, 9000);
    story.failOver(1400);
    story.Given.Servers[0].Entries.push_back(
        entry(1, 5, "w5", "PUT i i@5", "ok", 1100));
    HistoryRecord refused = write("w5", "PUT i i@5", 1100);
    refused.Outcome = "not_run";
    story.add(refused);
    CHECK(story.run().FalseNotRun == 1);
  }
  SUBCASE("a request whose connection broke") {
    story.cut(1000, 2000);
    story.failOver(1400);
    HistoryRecord broken = read("GET k", "", 1600);
    broken.Transfer = "broken";
    broken.Outcome = "";
    story.add(broken);
    CHECK(story.run().CutInFlight == 1);
    story.Given.Faults.push_back({1605 * Ms, "kill", "", "n1"});
    CHECK(story.run().CutInFlight == 0);
  }
  SUBCASE("a request sent after the kill was recorded, before it took effect") {
    HistoryRecord broken = read("GET k", "", 1600);
    broken.Transfer = "broken";
    broken.Outcome = "";
    story.add(broken);
    story.Given.Faults.push_back({1598 * Ms, "kill", "", "n1"});
    story.Given.Faults.push_back({1601 * Ms, "exit", "", "n2"});
    CHECK(story.run().CutInFlight == 1);
    story.Given.Faults.push_back({1599 * Ms, "exit", "", "n1"});
    CHECK(story.run().CutInFlight == 1);
    story.Given.Faults.back().AtUs = 1602 * Ms;
    CHECK(story.run().CutInFlight == 0);
    // The node runs again and is stopped, so the exit is not that of the kill.
    story.Given.Faults.back().Event = "stop";
    story.Given.Faults.push_back({1603 * Ms, "exit", "", "n1"});
    CHECK(story.run().CutInFlight == 1);
  }
}

TEST_CASE("logs as the servers print them") {
  std::istringstream lines(
      R"({"type":"server","group":"g","server":"a","initial_primary":true}
{"type":"entry","term":1,"index":1,"request_id":"w","statement":"PUT k v","result":"ok","appended_us":5,"applied_us":6}
{"type":"event","event":"truncated","at_us":7,"term":2,"position":{"term":1,"index":2},"request_id":"x"}
{"type":"event","event":"promoted","at_us":8,"term":3,"position":{"term":3,"index":2},"candidate":"n"}
)");
  auto logs = parseServerLogs(lines);
  REQUIRE(logs);
  REQUIRE(logs->size() == 1);
  CHECK(logs->front().Entries.front().AppliedUs == 6);
  CHECK(logs->front().Discarded.front().RequestId == "x");
  CHECK(logs->front().Promotions.back().Term == 3);
  std::istringstream orphan(R"({"type":"entry","term":1})");
  CHECK_FALSE(parseServerLogs(orphan));
}

} // namespace
} // namespace standins::check
