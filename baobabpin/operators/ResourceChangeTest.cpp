#include "baobabpin/operators/ResourceChange.h"
#include "baobabpin/operators/FakeBackend.h"

#include <doctest/doctest.h>

namespace baobabpin::operators {
namespace {

using namespace std::chrono_literals;
using base::ErrorType;
using resources::PlannedStop;
using resources::ResourceKind;
using resources::StopTarget;

const resources::ResourceId StopId{ResourceKind::PlannedStop, "stop"};

ChangeRequest stopRequest(std::chrono::seconds deadline, std::string mark,
                          std::uint64_t expected = 0) {
  return {StopId,   PlannedStop{StopTarget::Node, "n1", deadline},
          expected, false,
          false,    std::move(mark)};
}

ChangeReply run(ResourceBackend &backend, ChangeRequest request) {
  ChangeReply result;
  int calls = 0;
  changeResource(backend, std::move(request), [&](ChangeReply reply) {
    result = std::move(reply);
    ++calls;
  });
  CHECK(calls == 1);
  return result;
}

std::optional<ErrorType> typeOf(const ChangeReply &reply) {
  if (!reply.Error)
    return std::nullopt;
  return reply.Error->Reason.Type;
}

TEST_CASE("operators who race get one success and one conflict") {
  FakeBackend backend;
  ChangeReply first = run(backend, stopRequest(5s, "m1"));
  REQUIRE(first.Changed);
  ChangeReply second = run(backend, stopRequest(6s, "m2"));
  CHECK(typeOf(second) == ErrorType::Conflict);
  CHECK(second.Error->CurrentVersion == first.Version);
  CHECK(backend.Writes == 1);

  SUBCASE("the loser can apply on top of the version it is told") {
    CHECK(run(backend, stopRequest(6s, "m2", first.Version)).Changed);
  }
  SUBCASE("an unchanged spec is not written") {
    ChangeReply same = run(backend, stopRequest(5s, "m3", first.Version));
    CHECK_FALSE(same.Error);
    CHECK_FALSE(same.Changed);
    CHECK(backend.Writes == 1);
  }
  SUBCASE("a dry run writes nothing") {
    ChangeRequest request = stopRequest(9s, "m4", first.Version);
    request.DryRun = true;
    CHECK_FALSE(run(backend, request).Error);
    CHECK(backend.Writes == 1);
  }
  SUBCASE("a deletion based on an older version") {
    CHECK(typeOf(run(backend, {StopId, {}, first.Version + 1})) ==
          ErrorType::Conflict);
    CHECK_FALSE(run(backend, {StopId, {}, first.Version}).Error);
    CHECK(typeOf(run(backend, {StopId, {}, 0})) == ErrorType::NotFound);
  }
}

/// Another operator writes between this one's read and its write.
class RacingBackend : public FakeBackend {
public:
  void compareAndSwap(const resources::ResourceId &id, std::uint64_t expected,
                      const std::optional<resources::StoredValue> &value,
                      std::function<void(WriteReply)> callback) override {
    if (Rivals-- > 0)
      write(id,
            resources::StoredValue{"rival" + std::to_string(Rivals),
                                   PlannedStop{StopTarget::Node, "rival", 1s}});
    FakeBackend::compareAndSwap(id, expected, value, callback);
  }
  int Rivals = 1;
};

TEST_CASE("a write between the read and the swap is not overwritten") {
  RacingBackend backend;
  SUBCASE("the loser of the swap gets the conflict") {
    CHECK(typeOf(run(backend, stopRequest(5s, "m1"))) == ErrorType::Conflict);
    CHECK(backend.Writes == 1);
  }
  SUBCASE("unless it said that any version may be replaced") {
    ChangeRequest request = stopRequest(5s, "m1");
    request.AnyVersion = true;
    CHECK(run(backend, request).Changed);
    CHECK(backend.Writes == 2);
  }
}

TEST_CASE("a lost answer never applies a change twice") {
  FakeBackend backend;
  SUBCASE("the mark shows that the write took effect") {
    backend.LoseNextAnswer = true;
    CHECK(run(backend, stopRequest(5s, "m1")).Changed);
    CHECK(run(backend, stopRequest(5s, "m1")).Changed);
    CHECK(backend.Writes == 1);
  }
  SUBCASE("an invisible write is unknown, and a repeat is safe") {
    backend.LoseNextRequest = true;
    ChangeReply reply = run(backend, stopRequest(5s, "m1"));
    CHECK(typeOf(reply) == ErrorType::StoreUnavailable);
    CHECK(reply.Error->OutcomeUnknown);
    CHECK(run(backend, stopRequest(5s, "m1")).Changed);
    CHECK(backend.Writes == 1);
  }
  SUBCASE("a store that is down is reported as not changed") {
    backend.Down = true;
    ChangeReply reply = run(backend, stopRequest(5s, "m1"));
    CHECK(typeOf(reply) == ErrorType::StoreUnavailable);
    CHECK_FALSE(reply.Error->OutcomeUnknown);
  }
  SUBCASE("a deletion whose answer was lost") {
    run(backend, stopRequest(5s, "m1"));
    backend.LoseNextAnswer = true;
    CHECK_FALSE(run(backend, {StopId, {}, backend.versionOf(StopId)}).Error);
  }
}

TEST_CASE("a server list waits until its previous change is in force") {
  FakeBackend backend;
  resources::ResourceId id{ResourceKind::DatabaseGroup, "g"};
  resources::DatabaseGroup group{"c", "d", {}, 2, 15};
  auto addServer = [&](int n) {
    group.Servers.push_back(
        {"s" + std::to_string(n), "127.0.0.1:" + std::to_string(n), "z"});
  };
  auto apply = [&] {
    return run(backend,
               {id, group, backend.versionOf(id), false, false, drawMark()});
  };
  addServer(1);
  REQUIRE(apply().Changed);
  addServer(2);
  CHECK(typeOf(apply()) == ErrorType::Conflict);
  backend.confirmAll();
  CHECK(apply().Changed);

  SUBCASE("changes of other fields do not wait") {
    group.Slots = 3;
    CHECK(apply().Changed);
  }
}

} // namespace
} // namespace baobabpin::operators
