#include "baobabpin/cluster/ClusterView.h"

#include <doctest/doctest.h>

namespace baobabpin::cluster {
namespace {

using namespace std::chrono_literals;

constexpr base::BootTime Start{1000s};

store::StoreEntry entry(const std::string &key, const std::string &value,
                        std::uint64_t revision) {
  return {.Key = "bp/" + key, .Value = value, .Revision = revision};
}

/// Returns a view with one group and the node \p self, confirmed at Start.
ClusterView makeView(const NodeIdentity &self) {
  ClusterView view;
  GroupRecord group{.Epoch = 3, .Primary = "s1", .Term = 7};
  NodeRecord node{.Incarnation = self.Incarnation,
                  .Peer = {"10.0.0.1", 70},
                  .Relay = {"10.0.0.1", 71},
                  .Zone = "a"};
  CHECK(applyEntry(view, "bp/", entry("group/g", encodeRecord(group), 4)));
  CHECK(applyEntry(view, "bp/", entry("node/n1", encodeRecord(node), 5)));
  view.Revision = 6;
  view.ConfirmedAt = Start;
  return view;
}

TEST_CASE("a group's record keeps the beginnings of its terms in the store") {
  GroupRecord group{.Epoch = 3,
                    .Primary = "s1",
                    .Term = 7,
                    .StartPosition = {5, 90},
                    .EarlierTerms = {{2, {1, 40}}, {5, {2, 61}}}};
  ClusterView view;
  CHECK(applyEntry(view, "bp/", entry("group/g", encodeRecord(group), 4)));
  CHECK(view.Groups["g"].Value == group);
  CHECK(decodeView(encodeView(view)).Groups["g"].Value == group);
}

TEST_CASE(
    "checkPrimaryUse() requires a lease, a registration and no failover") {
  NodeIdentity self{"n1", 11};
  ClusterView view = makeView(self);
  auto use = [&](std::uint64_t revoked, std::chrono::nanoseconds age) {
    return checkPrimaryUse(view, self, "g", revoked, PrimaryLease, Start + age);
  };
  CHECK(use(0, 0ms) == PrimaryUse::Allowed);

  SUBCASE("the use ends with the lease, so that a suspended node stops") {
    CHECK(use(0, PrimaryLease - 1ms) == PrimaryUse::Allowed);
    CHECK(use(0, PrimaryLease) == PrimaryUse::LeaseExpired);
  }
  SUBCASE("the use ends when this node has acknowledged a revocation") {
    CHECK(use(3, 0ms) == PrimaryUse::FailoverInProgress);
    CHECK(use(2, 0ms) == PrimaryUse::Allowed);
  }
  SUBCASE("the use ends when the record announces a failover") {
    view.Groups["g"].Value.FailoverInProgress = true;
    CHECK(use(0, 0ms) == PrimaryUse::FailoverInProgress);
  }
  SUBCASE("a record from before the store was restored is not used") {
    view.Era = 1;
    CHECK(use(0, 0ms) == PrimaryUse::Unverified);
    GroupRecord &record = view.Groups["g"].Value;
    record.Epoch = firstNumberOf(1);
    record.FailoverInProgress = true;
    CHECK(isBeingVerified(record, 1));
    CHECK(use(0, 0ms) == PrimaryUse::Unverified);
    ++record.Epoch;
    record.FailoverInProgress = false;
    CHECK(use(firstNumberOf(1), 0ms) == PrimaryUse::Allowed);
  }
  SUBCASE("a node without a valid registration is refused") {
    view.Nodes["n1"].Value.Retired = true;
    CHECK(use(0, 0ms) == PrimaryUse::Unregistered);
    view.Nodes["n1"].Value = {.Incarnation = 12};
    CHECK(use(0, 0ms) == PrimaryUse::Unregistered);
    view.Nodes.clear();
    CHECK(use(0, 0ms) == PrimaryUse::Unregistered);
  }
  SUBCASE("a group without a record is refused") {
    CHECK(checkPrimaryUse(view, self, "other", 0, PrimaryLease, Start) ==
          PrimaryUse::UnknownGroup);
  }
}

TEST_CASE("a coordinator waits for the longest lease that a node may hold") {
  ClusterView view = makeView({"n1", 11});
  auto usable = [&](std::chrono::milliseconds wanted, bool uncertain = false) {
    return usableLease(view, "n1", wanted, uncertain);
  };
  NodeRecord &record = view.Nodes["n1"].Value;

  SUBCASE("a node in a growing fleet uses a longer lease once it is recorded") {
    record.Lease = SmallFleetLease;
    CHECK(usable(PrimaryLease) == SmallFleetLease);
    record.Lease = PrimaryLease;
    CHECK(usable(PrimaryLease) == PrimaryLease);
    CHECK(longestLease(view) == PrimaryLease);
  }
  SUBCASE("a node in a shrinking fleet uses the shorter lease at once") {
    record.Lease = PrimaryLease;
    CHECK(usable(SmallFleetLease) == SmallFleetLease);
  }
  SUBCASE("a change whose outcome is unknown counts as the shortest lease") {
    record.Lease = PrimaryLease;
    CHECK(usable(PrimaryLease, true) == SmallFleetLease);
  }
  SUBCASE("a record of an earlier program version stands for PrimaryLease") {
    CHECK(applyEntry(
        view, "bp/",
        entry("node/n2",
              R"({"incarnation":1,"added_ms":1,"peer":"10.0.0.2:70",)"
              R"("relay":"10.0.0.2:71","zone":"a","capacity":1,)"
              R"("retired":false})",
              7)));
    CHECK(longestLease(view) == PrimaryLease);
  }
  SUBCASE("no usable lease is longer than the longest recorded one") {
    for (auto recorded : {SmallFleetLease, PrimaryLease}) {
      for (auto wanted : {SmallFleetLease, PrimaryLease}) {
        record.Lease = recorded;
        CHECK(usable(wanted) <= longestLease(view));
        CHECK(usable(wanted, true) <= longestLease(view));
      }
    }
  }
}

TEST_CASE("an older record or view never replaces a newer one") {
  ClusterView view = makeView({"n1", 11});
  SUBCASE("an older entry is ignored") {
    GroupRecord old{.Epoch = 1, .Primary = "s0"};
    applyEntry(view, "bp/", entry("group/g", encodeRecord(old), 3));
    CHECK(view.Groups["g"].Value.Primary == "s1");
  }
  SUBCASE("an older view is ignored, and so is its time of confirmation") {
    ClusterView old;
    old.Revision = 5;
    old.ConfirmedAt = Start + 1s;
    CHECK_FALSE(mergeView(view, old));
    CHECK(view.Groups.contains("g"));
    CHECK(view.ConfirmedAt == Start);
  }
  SUBCASE("a newer view without a confirmation keeps the earlier time") {
    ClusterView pushed = decodeView(encodeView(view));
    pushed.Revision = 9;
    CHECK(mergeView(view, pushed));
    CHECK(view.ConfirmedAt == Start);
  }
  SUBCASE("an entry that cannot be decoded leaves the view unchanged") {
    CHECK_FALSE(applyEntry(view, "bp/", entry("group/g", "{broken", 9)));
    CHECK(view.Groups["g"].Value.Primary == "s1");
  }
}

TEST_CASE("a record keeps the holders of commits") {
  // Guards against the loss of acknowledged commits (LOST): the list of the
  // servers that may have them must outlive every process.
  GroupRecord group{.Epoch = 3,
                    .Primary = "s1",
                    .PrimaryStartedMs = 8,
                    .Term = 7,
                    .Holders = {{{"s1", 8, {"10.0.0.1", 70}, false},
                                 {"s2", 9, {"10.0.0.1", 71}, true}}}};
  ClusterView view;
  CHECK(applyEntry(view, "bp/", entry("group/g", encodeRecord(group), 4)));
  CHECK(view.Groups["g"].Value == group);

  SUBCASE("but not if an older version has written it") {
    CHECK(applyEntry(view, "bp/",
                     entry("group/g",
                           R"({"epoch":4,"primary":"s1","term":7,"base_term":0,
"base_index":0,"moving":false,"mover":"","token":1})",
                           5)));
    CHECK(view.Groups["g"].Value.Epoch == 4);
    CHECK_FALSE(view.Groups["g"].Value.Holders);
    CHECK(view.Groups["g"].Value.PrimaryStartedMs == 0);
  }
  SUBCASE("also those that the copy of a restored store does not have") {
    ClusterView restored;
    restored.Era = 1;
    group.Holders->pop_back();
    CHECK(
        applyEntry(restored, "bp/", entry("group/g", encodeRecord(group), 2)));
    CHECK(mergeView(view, restored));
    REQUIRE(view.Groups["g"].Value.Holders);
    CHECK(view.Groups["g"].Value.Holders->size() == 2);
    // The record stays as it is in the store until it has been verified.
    restored.Revision = 9;
    CHECK(mergeView(view, restored));
    CHECK(view.Groups["g"].Value.Holders->size() == 2);
  }
}

TEST_CASE("a view of a later era replaces one with a higher revision") {
  // Guards against records that stay as they were, and conditional changes
  // that always conflict, after the store was restored from an older copy.
  ClusterView view = makeView({"n1", 11});
  view.Duty = {{"n1", 8}, 5};
  ClusterView restored;
  restored.Era = 1;
  restored.Revision = 3;
  restored.ConfirmedAt = Start - 1s;
  restored.Groups["g"] = {{.Epoch = 2, .Primary = "s0"}, 2};
  restored.Duty = {{"n2", 4}, 1};
  REQUIRE(mergeView(view, restored));
  CHECK(positionOf(view) == base::StorePosition{1, 3});
  CHECK(view.Nodes.empty());

  SUBCASE("a lost record stays known, with the revision of the new era") {
    CHECK(view.Groups["g"].Value.Primary == "s1");
    CHECK(view.Groups["g"].Revision == 2);
    CHECK(view.Duty.Value.Token == 8);
    CHECK(view.Duty.Revision == 1);
  }
  SUBCASE("a lost record that the copy does not have is to be created") {
    ClusterView empty;
    empty.Era = 2;
    empty.Revision = 1;
    REQUIRE(mergeView(view, empty));
    CHECK(view.Groups["g"].Value.Primary == "s1");
    CHECK(view.Groups["g"].Revision == 0);
  }
  SUBCASE("the confirmation of the earlier era does not count any more") {
    CHECK(view.ConfirmedAt == Start - 1s);
  }
  SUBCASE("a view and a change of the earlier era are ignored") {
    ClusterView old = makeView({"n1", 11});
    old.Revision = 90;
    old.Groups["g"] = {{.Epoch = 9, .Primary = "s9"}, 90};
    CHECK_FALSE(mergeView(view, old));
    CHECK_FALSE(applyGroupChange(view, encodeGroupChange(old, "g")));
  }
  SUBCASE("the next read of the same records keeps what is known") {
    restored.Revision = 4;
    mergeView(view, restored);
    CHECK(view.Groups["g"].Value.Primary == "s1");
  }
  SUBCASE("a record that is created anew does not hide what is known") {
    restored.Revision = 4;
    restored.Groups["g"] = {{.Epoch = 0, .Primary = "s0"}, 4};
    mergeView(view, restored);
    CHECK(view.Groups["g"].Value.Primary == "s1");
    CHECK(view.Groups["g"].Revision == 4);
    CHECK_FALSE(applyGroupChange(view, encodeGroupChange(restored, "g")));
    CHECK(applyGroupChange(restored, encodeGroupChange(view, "g")));
    CHECK(restored.Groups["g"].Value.Primary == "s1");
  }
  SUBCASE("a record that is written in the new era replaces it") {
    restored.Revision = 4;
    restored.Groups["g"] = {{.Epoch = firstNumberOf(1), .Primary = "s2"}, 4};
    mergeView(view, restored);
    CHECK(view.Groups["g"].Value.Primary == "s2");
  }
}

TEST_CASE("a quorum that knew the earlier era verifies a record") {
  GroupRecord record{.Epoch = 3, .Primary = "s1"};
  std::vector<KnownRecord> others{{3, false}, {2, false}};
  CHECK(isLatestRecord(record, others, 3));
  SUBCASE("fewer nodes may all have missed a failover") {
    CHECK_FALSE(isLatestRecord(record, others, 4));
  }
  SUBCASE("one node that knows of a later failover is enough to doubt it") {
    others.push_back({4, false});
    CHECK_FALSE(isLatestRecord(record, others, 3));
  }
  SUBCASE("a failover that is in progress may still complete") {
    others.push_back({3, true});
    CHECK_FALSE(isLatestRecord(record, others, 3));
    others.pop_back();
    record.FailoverInProgress = true;
    CHECK_FALSE(isLatestRecord(record, others, 3));
  }
}

TEST_CASE("a fencing token of a later era is higher than all lost ones") {
  CHECK(nextToken(0, 0) == 1);
  CHECK(nextToken(7, 0) == 8);
  // The store was restored to a copy with token 3, after token 7 was used.
  CHECK(nextToken(3, 1) > 7);
  CHECK(nextToken(nextToken(3, 1), 1) > nextToken(3, 1));
  CHECK(nextToken(3, 2) > nextToken(firstNumberOf(1) + 5, 1));
}

TEST_CASE("each confirming quorum has a node that acknowledged a failover") {
  // Guards against a view that is confirmed without the store although a
  // failover has made it outdated. One of the confirming nodes must have
  // acknowledged the failover, also when the confirming nodes do not know those
  // that registered last.
  for (std::size_t registered = 1; registered <= 100; ++registered) {
    for (std::size_t recent = 0; recent < registered; ++recent) {
      CAPTURE(registered);
      CAPTURE(recent);
      CHECK(confirmQuorum(registered - recent) +
                revocationQuorum(registered, recent) >
            registered);
    }
  }
  // Three of nine nodes that are partitioned with their zone must not delay a
  // failover.
  CHECK(revocationQuorum(9, 0) <= 6);
}

TEST_CASE("countRecentlyAdded() counts nodes that other nodes may not know") {
  ClusterView view = makeView({"n1", 11});
  view.Nodes["n1"].Value.AddedMs = 100000;
  CHECK(countRecentlyAdded(view, 101s) == 1);
  CHECK(countRecentlyAdded(view, 100s + OfflineLimit) == 1);
  CHECK(countRecentlyAdded(view, 130s) == 0);
}

TEST_CASE("a view is the same after encoding and decoding") {
  ClusterView view = makeView({"n1", 11});
  view.Duty = {{"n1", 8}, 5};
  ClusterView copy = decodeView(encodeView(view));
  CHECK(copy.Revision == view.Revision);
  CHECK(digestOf(copy) == digestOf(view));
  CHECK(copy.Groups["g"].Value == view.Groups["g"].Value);
  CHECK(copy.Nodes["n1"].Value == view.Nodes["n1"].Value);
  CHECK(decodeView("no view").Revision == 0);
}

TEST_CASE("encodeGroupChange() carries the records of one group only") {
  // Guards against messages that grow with the number of nodes: a coordinator
  // in a fleet of 76 nodes sent its whole view, 15 KB, to each of the others.
  ClusterView coordinator = makeView({"n1", 11});
  ClusterView node = coordinator;
  coordinator.Groups["g"] = {
      {.Epoch = 3, .Primary = "s1", .FailoverInProgress = true}, 9};
  coordinator.Duty = {{"n1", 5}, 9};
  std::string change = encodeGroupChange(coordinator, "g");
  CHECK(change.size() < 600);
  REQUIRE(applyGroupChange(node, change));
  CHECK(node.Groups["g"].Value.FailoverInProgress);
  CHECK(node.Duty.Value.Token == 5);

  SUBCASE("the change does not confirm the other records") {
    CHECK(node.Revision == 6);
    CHECK(node.ConfirmedAt == Start);
    CHECK(node.Nodes.contains("n1"));
  }
  SUBCASE("a view without the change does not undo it") {
    ClusterView older = makeView({"n1", 11});
    older.Revision = 7;
    mergeView(node, older);
    CHECK(node.Groups["g"].Value.FailoverInProgress);
    CHECK(node.Revision == 7);
  }
  SUBCASE("the change reaches a node whose view has the same revision") {
    ClusterView other = makeView({"n1", 11});
    CHECK(digestOf(other) != digestOf(node));
    CHECK(mergeView(other, node));
    CHECK(other.Groups["g"].Value.FailoverInProgress);
  }
  SUBCASE("a change that is known already or malformed has no effect") {
    CHECK_FALSE(applyGroupChange(node, change));
    CHECK_FALSE(applyGroupChange(node, "{broken"));
  }
}

} // namespace
} // namespace baobabpin::cluster
