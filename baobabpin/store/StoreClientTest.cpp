#include "baobabpin/store/StoreClient.h"
#include "baobabpin/store/FakeStore.h"
#include "baobabpin/store/HostList.h"
#include "baobabpin/store/PrefixWatch.h"
#include "baobabpin/store/StoreMessages.h"

#include <doctest/doctest.h>

namespace baobabpin::store {
namespace {

using namespace std::chrono_literals;
using internal::CallEffect;
using internal::parseReply;
using testing::FakeStore;

TEST_CASE("answers of the store") {
  kernel::EventLoop loop;
  kernel::Metrics metrics;
  FakeStore fake(loop);
  StoreClient store(loop, metrics, fake.Endpoint);
  StoreReply reply;
  auto keep = [&](StoreReply it) {
    reply = std::move(it);
    loop.stop();
  };

  SUBCASE("a lost compare-and-swap tells the current revision") {
    fake.write("k", "old");
    store.put("k", "new", 0, "", keep);
    loop.run();
    CHECK(reply.Status == StoreStatus::Conflict);
    CHECK(reply.Revision == 1);
  }
  SUBCASE("an answer lost after the change is unknown, not unavailable") {
    fake.RepliesToDrop = 1;
    store.put("k", "v", 0, "", keep);
    loop.run();
    CHECK(reply.Status == StoreStatus::Unknown);
    CHECK(fake.Entries.contains("k"));
    CHECK(metrics.render().find("call=\"put\",status=\"unknown\"") !=
          std::string::npos);
  }
  SUBCASE("a store that is down refuses before any change") {
    fake.IsDown = true;
    store.put("k", "v", 0, "", keep);
    loop.run();
    CHECK(reply.Status == StoreStatus::Unavailable);
  }
  SUBCASE("calls beyond the connection limit wait for their turn") {
    int answers = 0;
    for (int n = 0; n < 20; ++n)
      store.put("k" + std::to_string(n), "v", 0, "", [&](StoreReply it) {
        CHECK(it.Status == StoreStatus::Ok);
        if (++answers == 20)
          loop.stop();
      });
    loop.run();
    CHECK(fake.Revision == 20);
  }
}

TEST_CASE("a malformed answer counts as lost") {
  http::HttpReply broken{http::Transfer::Completed, 200, "{\"revision\":"};
  CHECK(parseReply(broken, CallEffect::Changes).Status == StoreStatus::Unknown);
  broken.Body = R"({"revision":"seven"})";
  CHECK(parseReply(broken, CallEffect::Reads).Status ==
        StoreStatus::Unavailable);
}

TEST_CASE("a watch follows the store through an outage") {
  kernel::EventLoop loop;
  kernel::Metrics metrics;
  FakeStore fake(loop);
  StoreClient store(loop, metrics, fake.Endpoint);
  fake.write("resources/a", "1");
  fake.write("other/b", "1");
  std::vector<std::string> seen;
  bool available = false;
  WatchHandlers handlers;
  handlers.OnSnapshot = [&](const auto &entries, std::uint64_t revision) {
    REQUIRE(entries.size() == 1);
    CHECK(revision == 2);
    fake.IsDown = true;
    fake.write("resources/c", "2");
  };
  handlers.OnChanges = [&](const auto &entries, std::uint64_t) {
    for (const auto &it : entries)
      seen.push_back(it.Key + (it.Deleted ? " deleted" : ""));
    if (seen.size() == 1)
      fake.remove("resources/a");
    if (seen.size() == 2)
      loop.stop();
  };
  handlers.OnAvailability = [&](bool it) {
    available = it;
    if (!it)
      fake.IsDown = false;
  };
  PrefixWatch watch(loop, store, "resources/", handlers, 1);
  watch.start();
  loop.run();
  CHECK(seen == std::vector<std::string>{"resources/c", "resources/a deleted"});
  CHECK(available);
  // The range is read once; the watch resumes where it was.
  CHECK(fake.Calls["/v1/range"] == 1);
}

TEST_CASE("leaving hosts are reported with every list") {
  // The hint travels on by UDP, so a single report could be lost.
  kernel::EventLoop loop;
  kernel::Metrics metrics;
  FakeStore fake(loop);
  StoreClient store(loop, metrics, fake.Endpoint);
  fake.Hosts = {{{"host", "a"}, {"state", "leaving"}},
                {{"host", "b"}, {"state", "live"}}};
  std::string leaving;
  HostList hosts(
      loop, store, 1ms,
      [&](const std::string &host) {
        leaving += host;
        if (leaving.size() == 2)
          loop.stop();
      },
      1);
  hosts.start();
  loop.run();
  CHECK(leaving == "aa");
}

TEST_CASE("delays grow to a bound and are spread") {
  std::mt19937_64 random(1);
  Backoff backoff;
  std::chrono::milliseconds previous{0};
  for (int n = 0; n < 50; ++n) {
    auto delay = nextDelay(backoff, random);
    CHECK(delay >= 50ms);
    CHECK(delay <= backoff.Longest);
    previous = delay;
  }
  CHECK(previous >= backoff.Longest / 2);
}

} // namespace
} // namespace baobabpin::store
