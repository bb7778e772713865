#include "baobabpin/configsync/Watchers.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace baobabpin::configsync {
namespace {

using membership::MemberRecord;
using membership::MemberState;

std::vector<MemberRecord> makeRecords() {
  std::vector<MemberRecord> records;
  for (int n = 0; n < 9; ++n)
    records.push_back({.Node = "host-" + std::to_string(n) + "/1",
                       .Zone = n < 5 ? "a" : "b"});
  return records;
}

MemberRecords pointersTo(const std::vector<MemberRecord> &records) {
  MemberRecords pointers;
  for (const auto &it : records)
    pointers.push_back(&it);
  return pointers;
}

TEST_CASE("two alive nodes of a zone watch the store") {
  auto records = makeRecords();
  auto first = watchersOf("a", pointersTo(records));
  REQUIRE(first.size() == 2);

  SUBCASE("when the first one leaves, the second takes its rank") {
    for (auto &it : records) {
      if (it.Node == first[0])
        it.State = MemberState::Leaving;
    }
    CHECK(watchersOf("a", pointersTo(records))[0] == first[1]);
  }
  SUBCASE("the order in which members are known does not matter") {
    std::reverse(records.begin(), records.end());
    CHECK(watchersOf("a", pointersTo(records)) == first);
  }
}

TEST_CASE("who has confirmed a revision, and why others have not") {
  auto records = makeRecords();
  records[1].State = MemberState::Dead;
  records[2].State = MemberState::Leaving;
  records[3].AppliedRevision = 50;
  auto reasonOf = [](const proto::InForceReply &reply, const char *node) {
    for (const auto &it : reply.nodes()) {
      if (it.node() == node)
        return it.reason();
    }
    return std::string("missing");
  };

  auto reply =
      confirmationsOf("a", pointersTo(records), {{"host-0/1", 51}}, 50);
  CHECK(reply.nodes_size() == 5);
  CHECK(reasonOf(reply, "host-0/1").empty());
  CHECK(reasonOf(reply, "host-1/1") == "dead");
  CHECK(reasonOf(reply, "host-2/1") == "leaving");
  CHECK(reasonOf(reply, "host-3/1").empty());
  CHECK(reasonOf(reply, "host-4/1") == "pending");

  auto cutOff = cutOffConfirmations("b", pointersTo(records), 50);
  CHECK(cutOff.nodes_size() == 4);
  CHECK(reasonOf(cutOff, "host-7/1") == "cut_off");

  SUBCASE("a member that the zone's watcher does not know is added") {
    std::vector<MemberRecord> first(records.begin(), records.begin() + 3);
    reply = confirmationsOf("a", pointersTo(first), {{"host-0/1", 51}}, 50);
    addMissingMembers(reply, "a", pointersTo(records), 50);
    CHECK(reply.nodes_size() == 5);
    CHECK(reasonOf(reply, "host-0/1").empty());
    CHECK(reasonOf(reply, "host-4/1") == "pending");
  }
  SUBCASE("a live host without a member is added") {
    records[0].Host = "host-0";
    addUnknownHosts(reply,
                    {{"host-0", store::HostState::Live},
                     {"host-20", store::HostState::Live},
                     {"host-21", store::HostState::Leaving}},
                    pointersTo(records));
    CHECK(reply.nodes_size() == 6);
    CHECK(reasonOf(reply, "host-20") == "unknown");
  }
}

} // namespace
} // namespace baobabpin::configsync
