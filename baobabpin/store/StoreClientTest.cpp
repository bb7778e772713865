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

TEST_CASE("StoreClient reports the outcome of a call") {
  kernel::EventLoop loop;
  kernel::Metrics metrics;
  FakeStore fake(loop);
  StoreClient store(loop, metrics, fake.Endpoint);
  StoreReply reply;
  auto storeReply = [&](StoreReply it) {
    reply = std::move(it);
    loop.stop();
  };

  SUBCASE("a failed compare-and-swap returns the current revision") {
    fake.write("k", "old");
    store.put("k", "new", 0, "", storeReply);
    loop.run();
    CHECK(reply.Status == StoreStatus::Conflict);
    CHECK(reply.Revision == 1);
  }
  SUBCASE("a change whose reply is lost has status Unknown, not Unavailable") {
    fake.RepliesToDrop = 1;
    store.put("k", "v", 0, "", storeReply);
    loop.run();
    CHECK(reply.Status == StoreStatus::Unknown);
    CHECK(fake.Entries.contains("k"));
    CHECK(metrics.render().find("call=\"put\",status=\"unknown\"") !=
          std::string::npos);
  }
  SUBCASE("a change during an outage has status Unavailable, not Unknown") {
    fake.IsDown = true;
    store.put("k", "v", 0, "", storeReply);
    loop.run();
    CHECK(reply.Status == StoreStatus::Unavailable);
  }
  SUBCASE("calls beyond the concurrency limit are queued and completed") {
    int replies = 0;
    for (int n = 0; n < 20; ++n)
      store.put("k" + std::to_string(n), "v", 0, "", [&](StoreReply it) {
        CHECK(it.Status == StoreStatus::Ok);
        if (++replies == 20)
          loop.stop();
      });
    loop.run();
    CHECK(fake.Revision == 20);
  }
}

TEST_CASE("a malformed reply has the status of a lost reply") {
  http::HttpReply malformed{http::Transfer::Completed, 200, "{\"revision\":"};
  CHECK(parseReply(malformed, CallEffect::Changes).Status ==
        StoreStatus::Unknown);
  malformed.Body = R"({"revision":"seven"})";
  CHECK(parseReply(malformed, CallEffect::Reads).Status ==
        StoreStatus::Unavailable);
}

TEST_CASE("a watch resumes after an outage without missing a change") {
  kernel::EventLoop loop;
  kernel::Metrics metrics;
  FakeStore fake(loop);
  StoreClient store(loop, metrics, fake.Endpoint);
  fake.write("resources/a", "1");
  fake.write("other/b", "1");
  std::vector<std::string> receivedChanges;
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
      receivedChanges.push_back(it.Key + (it.Deleted ? " deleted" : ""));
    if (receivedChanges.size() == 1)
      fake.remove("resources/a");
    if (receivedChanges.size() == 2)
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
  CHECK(receivedChanges ==
        std::vector<std::string>{"resources/c", "resources/a deleted"});
  CHECK(available);
  // The watch resumed after the last revision and did not read the range again.
  CHECK(fake.Calls["/v1/range"] == 1);
}

TEST_CASE("leaving hosts are reported for every list received") {
  // The notification is forwarded to the host by UDP, so a single report could
  // be lost.
  kernel::EventLoop loop;
  kernel::Metrics metrics;
  FakeStore fake(loop);
  StoreClient store(loop, metrics, fake.Endpoint);
  fake.Hosts = {{{"host", "a"}, {"state", "leaving"}},
                {{"host", "b"}, {"state", "live"}}};
  std::string reportedHosts;
  HostList hosts(
      loop, store, 1ms,
      [&](const std::string &host) {
        reportedHosts += host;
        if (reportedHosts.size() == 2)
          loop.stop();
      },
      1);
  hosts.start();
  loop.run();
  CHECK(reportedHosts == "aa");
}

TEST_CASE("backoff delays stay within bounds and grow to the maximum") {
  std::mt19937_64 random(1);
  Backoff backoff;
  std::chrono::milliseconds lastDelay{0};
  for (int n = 0; n < 50; ++n) {
    auto delay = nextDelay(backoff, random);
    CHECK(delay >= 50ms);
    CHECK(delay <= backoff.MaxDelay);
    lastDelay = delay;
  }
  CHECK(lastDelay >= backoff.MaxDelay / 2);
}

} // namespace
} // namespace baobabpin::store
