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

/// A view with one group and this node, confirmed at Start.
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
  view.ValidatedAt = Start;
  return view;
}

TEST_CASE("the right to use a primary") {
  NodeIdentity self{"n1", 11};
  ClusterView view = makeView(self);
  auto use = [&](std::uint64_t revoked, std::chrono::nanoseconds age) {
    return checkPrimaryUse(view, self, "g", revoked, Start + age);
  };
  CHECK(use(0, 0ms) == PrimaryUse::Allowed);

  SUBCASE("ends with the lease, so that a suspended node stops") {
    CHECK(use(0, PrimaryLease - 1ms) == PrimaryUse::Allowed);
    CHECK(use(0, PrimaryLease) == PrimaryUse::LeaseExpired);
  }
  SUBCASE("ends with this node's own promise") {
    CHECK(use(3, 0ms) == PrimaryUse::FailoverInProgress);
    CHECK(use(2, 0ms) == PrimaryUse::Allowed);
  }
  SUBCASE("ends when a move is announced") {
    view.Groups["g"].Value.FailoverInProgress = true;
    CHECK(use(0, 0ms) == PrimaryUse::FailoverInProgress);
  }
  SUBCASE("needs a registration that movers wait for") {
    view.Nodes["n1"].Value.Retired = true;
    CHECK(use(0, 0ms) == PrimaryUse::Unregistered);
    view.Nodes["n1"].Value = {.Incarnation = 12};
    CHECK(use(0, 0ms) == PrimaryUse::Unregistered);
    view.Nodes.clear();
    CHECK(use(0, 0ms) == PrimaryUse::Unregistered);
  }
  SUBCASE("is not given for a group without a record") {
    CHECK(checkPrimaryUse(view, self, "other", 0, Start) ==
          PrimaryUse::UnknownGroup);
  }
}

TEST_CASE("a view never goes back") {
  ClusterView view = makeView({"n1", 11});
  SUBCASE("an older entry is ignored") {
    GroupRecord old{.Epoch = 1, .Primary = "s0"};
    applyEntry(view, "bp/", entry("group/g", encodeRecord(old), 3));
    CHECK(view.Groups["g"].Value.Primary == "s1");
  }
  SUBCASE("an older view is ignored, with its time of validation") {
    ClusterView old;
    old.Revision = 5;
    old.ValidatedAt = Start + 1s;
    CHECK_FALSE(mergeView(view, old));
    CHECK(view.Groups.contains("g"));
    CHECK(view.ValidatedAt == Start);
  }
  SUBCASE("a newer view without a confirmation keeps the older time") {
    ClusterView pushed = decodeView(encodeView(view));
    pushed.Revision = 9;
    CHECK(mergeView(view, pushed));
    CHECK(view.ValidatedAt == Start);
  }
  SUBCASE("an entry that cannot be read leaves the rest") {
    CHECK_FALSE(applyEntry(view, "bp/", entry("group/g", "{broken", 9)));
    CHECK(view.Groups["g"].Value.Primary == "s1");
  }
}

TEST_CASE("quorums overlap") {
  // A view that is confirmed without the store must be known to be outdated by
  // one of the nodes that acknowledged a move, also when the confirming nodes
  // do not know those that registered last.
  for (std::size_t registered = 1; registered <= 100; ++registered) {
    for (std::size_t recent = 0; recent < registered; ++recent) {
      CAPTURE(registered);
      CAPTURE(recent);
      CHECK(confirmQuorum(registered - recent) +
                moveQuorum(registered, recent) >
            registered);
    }
  }
  // Three of nine nodes in a zone that is cut off must not delay a move.
  CHECK(moveQuorum(9, 0) <= 6);
}

TEST_CASE("nodes that others may not know") {
  ClusterView view = makeView({"n1", 11});
  view.Nodes["n1"].Value.AddedMs = 100000;
  CHECK(countRecent(view, 101s) == 1);
  CHECK(countRecent(view, 100s + OfflineLimit) == 1);
  CHECK(countRecent(view, 130s) == 0);
}

TEST_CASE("a view travels whole") {
  ClusterView view = makeView({"n1", 11});
  view.Duty = {{"n1", 8}, 5};
  ClusterView copy = decodeView(encodeView(view));
  CHECK(copy.Revision == view.Revision);
  CHECK(digestOf(copy) == digestOf(view));
  CHECK(copy.Groups["g"].Value == view.Groups["g"].Value);
  CHECK(copy.Nodes["n1"].Value == view.Nodes["n1"].Value);
  CHECK(decodeView("no view").Revision == 0);
}

TEST_CASE("a group's records travel alone") {
  // A mover of 76 nodes sent its whole view, 15 KB, to each of the others.
  ClusterView mover = makeView({"n1", 11});
  ClusterView node = mover;
  mover.Groups["g"] = {
      {.Epoch = 3, .Primary = "s1", .FailoverInProgress = true}, 9};
  mover.Duty = {{"n1", 5}, 9};
  std::string change = encodeGroupChange(mover, "g");
  CHECK(change.size() < 600);
  REQUIRE(applyGroupChange(node, change));
  CHECK(node.Groups["g"].Value.FailoverInProgress);
  CHECK(node.Duty.Value.Token == 5);

  SUBCASE("and confirm nothing about the rest") {
    CHECK(node.Revision == 6);
    CHECK(node.ValidatedAt == Start);
    CHECK(node.Nodes.contains("n1"));
  }
  SUBCASE("and are not undone by a view that the change is not part of") {
    ClusterView older = makeView({"n1", 11});
    older.Revision = 7;
    mergeView(node, older);
    CHECK(node.Groups["g"].Value.FailoverInProgress);
    CHECK(node.Revision == 7);
  }
  SUBCASE("and pass on to a node with the same revision of the rest") {
    ClusterView other = makeView({"n1", 11});
    CHECK(digestOf(other) != digestOf(node));
    CHECK(mergeView(other, node));
    CHECK(other.Groups["g"].Value.FailoverInProgress);
  }
  SUBCASE("and change nothing when they are old or cannot be read") {
    CHECK_FALSE(applyGroupChange(node, change));
    CHECK_FALSE(applyGroupChange(node, "{broken"));
  }
}

} // namespace
} // namespace baobabpin::cluster
