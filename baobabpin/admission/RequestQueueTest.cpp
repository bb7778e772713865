#include "baobabpin/admission/RequestQueue.h"

#include <doctest/doctest.h>

#include <string>

namespace baobabpin::admission {
namespace {

using namespace std::chrono_literals;

constexpr base::TimePoint Start{};
constexpr FreeTargets Both{.Primary = true, .Replica = true};

QueuedRequest request(std::uint64_t id, Priority level, std::uint64_t session,
                      TargetServer target = TargetServer::Primary) {
  return {id, level, target, session, Start + 1s};
}

std::string drain(RequestQueue &queue, FreeTargets free) {
  std::string order;
  while (auto it = dequeue(queue, free))
    order += std::to_string(it->Id) + " ";
  return order;
}

TEST_CASE("an urgent request is served before normal ones") {
  RequestQueue queue;
  enqueue(queue, request(1, Priority::Normal, 10));
  enqueue(queue, request(2, Priority::Normal, 11));
  enqueue(queue, request(3, Priority::Urgent, 12));
  CHECK(drain(queue, Both) == "3 1 2 ");
}

TEST_CASE("a session with many requests does not delay other sessions") {
  RequestQueue queue;
  for (std::uint64_t id = 1; id <= 3; ++id)
    enqueue(queue, request(id, Priority::High, 10));
  enqueue(queue, request(4, Priority::High, 11));
  CHECK(drain(queue, Both) == "1 4 2 3 ");
}

TEST_CASE("a low-priority request is served while urgent ones keep arriving") {
  RequestQueue queue;
  enqueue(queue, request(1000, Priority::Low, 1));
  int waited = 0;
  for (std::uint64_t id = 1;; ++id) {
    enqueue(queue, request(id, Priority::Urgent, id + 1));
    auto it = dequeue(queue, Both);
    REQUIRE(it);
    if (it->Id == 1000)
      break;
    ++waited;
  }
  CHECK(waited == 7);
}

TEST_CASE("a full queue refuses or evicts the request of lowest priority") {
  RequestQueue queue{.Limits = {.Capacity = 2}};
  enqueue(queue, request(1, Priority::Normal, 10));
  enqueue(queue, request(2, Priority::Normal, 11));

  SUBCASE(
      "a higher-priority request evicts one from the session last in turn") {
    auto result = enqueue(queue, request(3, Priority::Urgent, 12));
    CHECK(result.Accepted);
    REQUIRE(result.Evicted);
    CHECK(result.Evicted->Id == 2);
    CHECK(drain(queue, Both) == "3 1 ");
  }
  SUBCASE("a request of equal priority is refused") {
    CHECK_FALSE(enqueue(queue, request(3, Priority::Normal, 12)).Accepted);
    CHECK(queue.Size == 2);
  }
}

TEST_CASE("a replica read is served while the primary has no free slot") {
  RequestQueue queue;
  enqueue(queue, request(1, Priority::Urgent, 10, TargetServer::Primary));
  enqueue(queue, request(2, Priority::Normal, 11, TargetServer::Replica));
  CHECK(drain(queue, {.Primary = false, .Replica = true}) == "2 ");
  CHECK(queue.Size == 1);
}

TEST_CASE("expired requests are removed from the queue without being run") {
  RequestQueue queue;
  enqueue(queue, request(1, Priority::High, 10));
  auto late = request(2, Priority::High, 10);
  late.Deadline = Start + 5s;
  enqueue(queue, late);
  auto expired = takeExpired(queue, Start + 1s);
  REQUIRE(expired.size() == 1);
  CHECK(expired.front().Id == 1);
  CHECK(drain(queue, Both) == "2 ");
}

} // namespace
} // namespace baobabpin::admission
