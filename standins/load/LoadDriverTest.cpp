#include "standins/load/LoadDriver.h"

#include "baobabpin/http/HttpServer.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace standins::load {
namespace {

using namespace baobabpin;
using namespace std::chrono_literals;
using history::HistoryRecord;
using nlohmann::json;

/// Answers statements like a node, with a fault on each tenth write.
class FakeNode {
public:
  explicit FakeNode(kernel::EventLoop &loop) : Server(loop) {
    for (const char *path :
         {"/v1/statement", "/v1/transaction/begin", "/v1/transaction/commit",
          "/v1/transaction/rollback"})
      Server.handle(path, [this](auto request, auto responder) {
        onRequest(request, responder);
      });
    Server.handle("/healthz", [this](auto, auto responder) {
      responder->json(Leaving ? 503 : 200, "{}");
    });
    Where = base::handleFailure(
        [&] {
          return Server.listen({"127.0.0.1", 0});
        },
        [](const base::Failure &) { return http::Endpoint{}; });
  }

  http::Endpoint Where;
  bool Leaving = false;
  std::uint64_t Requests = 0;
  /// Request IDs of writes whose answer was withheld.
  static inline std::set<std::string> Withheld;

private:
  void onRequest(const http::HttpRequest &request,
                 const http::ResponderPtr &responder) {
    ++Requests;
    json body = json::parse(request.Body);
    std::string id = body.value("request_id", "");
    if (!id.empty() && !body.contains("repeat") && ++Writes % 10 == 0) {
      Withheld.insert(id);
      responder->abort();
      return;
    }
    json answer{{"outcome", "answered"}, {"session", "token"}};
    answer["request_id"] = id;
    if (request.Path == "/v1/transaction/begin")
      answer["transaction"] = "t1";
    responder->json(200, answer.dump());
  }

  http::HttpServer Server;
  std::uint64_t Writes = 0;
};

std::vector<HistoryRecord>
runDriver(kernel::EventLoop &loop, LoadOptions options, CallerCounts &counts) {
  std::stringstream history;
  LoadDriver driver(loop, *findDeployment("bukhan"), std::move(options),
                    history);
  driver.start();
  loop.run();
  counts = driver.counts();
  CHECK(driver.unfinished() == 0);
  std::vector<HistoryRecord> records;
  for (std::string line; std::getline(history, line);) {
    auto record = history::parseRecord(line);
    REQUIRE(record);
    records.push_back(*record);
  }
  return records;
}

TEST_CASE("callers against two nodes that lose some answers") {
  kernel::EventLoop loop;
  FakeNode a(loop);
  FakeNode b(loop);
  FakeNode::Withheld.clear();
  LoadOptions options{.Seed = 3,
                      .Nodes = {a.Where, b.Where},
                      .Sessions = 20,
                      .Rate = 2000,
                      .Duration = 400ms};
  options.Behaviour.FirstBackoff = 4ms;
  // Often enough that a run of 400 ms is sure to drop some.
  options.Behaviour.DropShare = 0.2;
  CallerCounts counts;
  auto records = runDriver(loop, options, counts);
  REQUIRE(records.size() > 300);
  REQUIRE(FakeNode::Withheld.size() > 2);

  // Guards against a repeat under a new request ID, to the node that failed, or
  // without the mark that makes a refusal unknown.
  std::map<std::string, std::vector<HistoryRecord>> byId;
  for (HistoryRecord &it : records) {
    if (!it.RequestId.empty())
      byId[it.RequestId].push_back(it);
  }
  for (const std::string &id : FakeNode::Withheld) {
    const auto &attempts = byId[id];
    REQUIRE(attempts.size() >= 2);
    CHECK(attempts[0].Transfer == "broken");
    CHECK_FALSE(attempts[0].Repeat);
    CHECK(attempts[1].Repeat);
    CHECK(attempts[1].Node != attempts[0].Node);
    CHECK(attempts[1].Statement == attempts[0].Statement);
    CHECK(attempts.back().Outcome == "answered");
  }
  CHECK(counts.DroppedAnswers > 0);
  CHECK(counts.Moves > 0);

  // Guards against a session that runs two operations at once.
  std::map<std::string, std::vector<HistoryRecord>> bySession;
  for (HistoryRecord &it : records)
    bySession[it.Session].push_back(it);
  std::size_t overlaps = 0;
  for (auto &[session, list] : bySession) {
    std::sort(list.begin(), list.end(),
              [](auto &x, auto &y) { return x.SentUs < y.SentUs; });
    for (std::size_t i = 1; i < list.size(); ++i) {
      if (list[i].SentUs >= list[i - 1].ReceivedUs)
        continue;
      // Only the two reads of ParallelReads may overlap.
      REQUIRE(list[i].Kind == "read");
      REQUIRE(list[i - 1].Kind == "read");
      ++overlaps;
    }
  }
  CHECK(overlaps > 0);
}

TEST_CASE("a node that is leaving") {
  // Guards against a stop that lasts as long as callers keep coming.
  kernel::EventLoop loop;
  FakeNode stays(loop);
  FakeNode leaves(loop);
  LoadOptions options{.Seed = 5,
                      .Nodes = {stays.Where, leaves.Where},
                      .Sessions = 5,
                      .Rate = 500,
                      .Duration = 400ms,
                      .HealthPeriod = 5ms};
  leaves.Leaving = true;
  CallerCounts counts;
  auto records = runDriver(loop, options, counts);
  CHECK(records.size() > 50);
  CHECK(leaves.Requests < records.size() / 4);
}

TEST_CASE("a node that is down") {
  kernel::EventLoop loop;
  FakeNode up(loop);
  LoadOptions options{.Seed = 4,
                      .Nodes = {up.Where, {"127.0.0.1", 9}},
                      .Sessions = 5,
                      .Rate = 500,
                      .Duration = 200ms};
  options.Behaviour.FirstBackoff = 4ms;
  options.Behaviour.DropShare = 0;
  CallerCounts counts;
  auto records = runDriver(loop, options, counts);
  // Guards against taking a refused connection for a request that may have run.
  std::set<std::string> reached;
  for (const HistoryRecord &it : records) {
    if (it.Transfer != "not_sent" && !it.RequestId.empty())
      reached.insert(it.RequestId);
    bool isFirstContact = reached.count(it.RequestId) == 0;
    if (isFirstContact && !it.RequestId.empty()) {
      CHECK_FALSE(it.Repeat);
    }
  }
  CHECK(counts.GivenUp == 0);
}

} // namespace
} // namespace standins::load
