#include "baobabpin/cluster/MoveDecision.h"

#include <doctest/doctest.h>

namespace baobabpin::cluster {
namespace {

using namespace std::chrono_literals;

PeerEvidence peer(const std::string &node,
                  std::optional<std::chrono::milliseconds> primaryReplyAge) {
  return {node, true, false, primaryReplyAge};
}

FailoverEvidence silentPrimaryEvidence() {
  FailoverEvidence it;
  it.Self = "n2";
  it.SelfCanCoordinate = true;
  it.Own.PrimaryReplyAge = 700ms;
  it.Peers = {peer("n1", 700ms), peer("n3", 700ms)};
  it.PeersAsked = 2;
  return it;
}

TEST_CASE("a primary that does not reply") {
  FailoverEvidence evidence = silentPrimaryEvidence();

  SUBCASE("the holder of the promotion duty runs the failover") {
    evidence.DutyHolder = "n2";
    CHECK(decideFailover(evidence) == FailoverVerdict::StartFailover);
    evidence.DutyHolder = "n3";
    CHECK(decideFailover(evidence) == FailoverVerdict::DeferToOther);
  }
  SUBCASE("the first node by name runs it when the holder does not answer") {
    evidence.DutyHolder = "n9";
    CHECK(decideFailover(evidence) == FailoverVerdict::DeferToOther);
    evidence.Peers[0].CanCoordinate = false;
    CHECK(decideFailover(evidence) == FailoverVerdict::StartFailover);
  }
  SUBCASE("stays primary while half of the reachable nodes get replies") {
    // A primary that is partitioned from some nodes only continues to serve the
    // others.
    evidence.Peers = {peer("n1", 50ms), peer("n3", 50ms), peer("n4", 900ms)};
    CHECK(decideFailover(evidence) == FailoverVerdict::KeepPrimary);
    evidence.Peers[0].PrimaryReplyAge = 900ms;
    CHECK(decideFailover(evidence) != FailoverVerdict::KeepPrimary);
  }
  SUBCASE("stays primary when only the owner of its connections is lost") {
    // All nodes probed the primary through the owner and lost contact at the
    // same time. This node's direct probe has succeeded meanwhile; the peers
    // replied before theirs did.
    evidence.Own.PrimaryReplyAge = 2ms;
    evidence.Peers = {peer("n1", 430ms), peer("n3", 440ms), peer("n4", 620ms)};
    CHECK(decideFailover(evidence) == FailoverVerdict::KeepPrimary);
  }
  SUBCASE("stays primary when peers got replies after the own one failed") {
    evidence.Own.PrimaryReplyAge = 460ms;
    evidence.Peers = {peer("n1", 240ms), peer("n3", 30ms)};
    CHECK(decideFailover(evidence) == FailoverVerdict::KeepPrimary);
  }
  SUBCASE("stays primary while another node runs a failover") {
    evidence.Peers[1].FailoverInProgress = true;
    CHECK(decideFailover(evidence) == FailoverVerdict::KeepPrimary);
  }
  SUBCASE("is not replaced at once by a node that reaches few others") {
    evidence.PeersAsked = 8;
    CHECK(decideFailover(evidence) == FailoverVerdict::Undecided);
    evidence.Own.PrimaryReplyAge = IsolatedNodeDelay;
    evidence.DutyHolder = "n2";
    CHECK(decideFailover(evidence) == FailoverVerdict::StartFailover);
  }
  SUBCASE("is not replaced when no node reaches the store") {
    evidence.SelfCanCoordinate = false;
    for (auto &it : evidence.Peers)
      it.CanCoordinate = false;
    CHECK(decideFailover(evidence) == FailoverVerdict::Undecided);
  }
}

TEST_CASE("nodes that were late do not replace a primary") {
  // Guards against primaries that are replaced although they run, because nodes
  // took their own lateness for the silence of the primary.
  FailoverEvidence evidence = silentPrimaryEvidence();
  evidence.DutyHolder = "n2";
  SUBCASE("a late node neither suspects it nor starts a failover") {
    evidence.Own.Unsure = true;
    CHECK_FALSE(isSuspect(evidence.Own));
    CHECK(decideFailover(evidence) == FailoverVerdict::Undecided);
  }
  SUBCASE("late peers are no evidence against it") {
    evidence.Peers = {peer("n1", 700ms), peer("n3", 30ms), peer("n4", 700ms),
                      peer("n5", 700ms)};
    evidence.PeersAsked = 4;
    CHECK(decideFailover(evidence) == FailoverVerdict::StartFailover);
    evidence.Peers[0].Unsure = true;
    evidence.Peers[2].Unsure = true;
    evidence.Own.PrimaryReplyAge = 200ms;
    CHECK(decideFailover(evidence) == FailoverVerdict::KeepPrimary);
    evidence.Own.PrimaryReplyAge = 700ms;
    evidence.Peers[3].Unsure = true;
    CHECK(decideFailover(evidence) == FailoverVerdict::KeepPrimary);
  }
  SUBCASE("among late peers a node waits as if they did not answer") {
    for (auto &it : evidence.Peers)
      it.Unsure = true;
    CHECK(decideFailover(evidence) == FailoverVerdict::Undecided);
    evidence.Own.PrimaryReplyAge = IsolatedNodeDelay;
    CHECK(decideFailover(evidence) == FailoverVerdict::StartFailover);
  }
  SUBCASE("another node takes the duty from a holder that is late") {
    evidence.DutyHolder = "n1";
    CHECK(decideFailover(evidence) == FailoverVerdict::DeferToOther);
    evidence.Peers[0].Unsure = true;
    CHECK(decideFailover(evidence) == FailoverVerdict::StartFailover);
  }
  SUBCASE("a late node replaces a primary that is leaving") {
    evidence.Own = {.Leaving = true, .Unsure = true};
    CHECK(isSuspect(evidence.Own));
    CHECK(decideFailover(evidence) == FailoverVerdict::StartFailover);
  }
}

TEST_CASE("a primary that is leaving is replaced although it replies") {
  FailoverEvidence evidence = silentPrimaryEvidence();
  evidence.Own = {.Leaving = true, .PrimaryReplyAge = 10ms};
  evidence.Peers = {peer("n1", 10ms), peer("n3", 10ms)};
  evidence.DutyHolder = "n2";
  CHECK(decideFailover(evidence) == FailoverVerdict::StartFailover);
}

TEST_CASE("nodes do not take the promotion duty from each other in turns") {
  // Guards against two holders that promote servers of one service in turns
  // (review case 3): n1 holds the duty, n2 takes it because a reply of n1 is
  // late, and n1 takes it back because a reply of n2 is late.
  constexpr base::BootTime Start{1000s};
  DutyHistory history;
  CHECK(mayHoldDuty(history, Start));
  noteDutyHolder(history, "n1", "n1", Start);
  CHECK(mayHoldDuty(history, Start));
  noteDutyHolder(history, "n1", "n2", Start + 1s);
  CHECK_FALSE(mayHoldDuty(history, Start + 1s));
  noteDutyHolder(history, "n1", "n3", Start + 2s);
  CHECK_FALSE(mayHoldDuty(history, Start + 1s + DutyReturnDelay - 1ms));
  CHECK(mayHoldDuty(history, Start + 1s + DutyReturnDelay));

  SUBCASE("a node that has the duty again keeps it") {
    noteDutyHolder(history, "n1", "n1", Start + 2s);
    CHECK(mayHoldDuty(history, Start + 2s));
  }
  SUBCASE("a node that never held it may take it") {
    DutyHistory other;
    noteDutyHolder(other, "n4", "n1", Start);
    noteDutyHolder(other, "n4", "n2", Start + 1s);
    CHECK(mayHoldDuty(other, Start + 1s));
  }
  SUBCASE("a node that may not hold it defers to another one") {
    FailoverEvidence evidence = silentPrimaryEvidence();
    evidence.SelfCanCoordinate = false;
    evidence.DutyHolder = "n9";
    CHECK(decideFailover(evidence) == FailoverVerdict::DeferToOther);
  }
}

TEST_CASE("suspicion") {
  CHECK_FALSE(isSuspect({.PrimaryReplyAge = 200ms}));
  CHECK(isSuspect({.PrimaryReplyAge = SuspectAfter + 1ms}));
  // The limit is shorter when connections fail at once.
  CHECK(isSuspect({.PrimaryReplyAge = 300ms, .Unreachable = true}));
  CHECK_FALSE(isSuspect({.PrimaryReplyAge = 100ms, .Unreachable = true}));
  // A primary that was never probed is not suspected.
  CHECK_FALSE(isSuspect({}));
}

Candidate candidate(const std::string &server, sql::ServerRole role,
                    base::TermNumber term, base::LogPosition received) {
  return {server, {role, term, received}, false, false};
}

TEST_CASE("choosePrimary() chooses the server to promote") {
  using enum sql::ServerRole;
  SUBCASE("the server that has received the most is chosen") {
    auto it = choosePrimary({candidate("a", Replica, 3, {3, 8}),
                             candidate("b", Replica, 3, {3, 9})},
                            {.RecordTerm = 3});
    CHECK(it->Server == "b");
  }
  SUBCASE("a leaving server is chosen only if there is no other") {
    auto leaving = candidate("b", Replica, 3, {3, 9});
    leaving.Leaving = true;
    CHECK(choosePrimary({candidate("a", Replica, 3, {3, 8}), leaving},
                        {.RecordTerm = 3})
              ->Server == "a");
    CHECK(choosePrimary({leaving}, {.RecordTerm = 3})->Server == "b");
  }
  SUBCASE("a server that ends soon is not chosen") {
    // Guards against the promotion of a server that has left, because it is the
    // only one in reach (review case 5).
    auto leaving = candidate("b", Replica, 3, {3, 9});
    leaving.Leaving = true;
    leaving.EndsSoon = true;
    CHECK_FALSE(choosePrimary({leaving}, {.RecordTerm = 3}));
    leaving.IsCurrentPrimary = true;
    CHECK_FALSE(choosePrimary({leaving}, {.RecordTerm = 3}));
    CHECK(choosePrimary({candidate("a", Replica, 3, {3, 8}), leaving},
                        {.RecordTerm = 3})
              ->Server == "a");
  }
  SUBCASE("the server that an earlier attempt promoted is chosen") {
    auto it = choosePrimary({candidate("a", Replica, 3, {3, 9}),
                             candidate("b", Primary, 4, {3, 8})},
                            {.RecordTerm = 3});
    CHECK(it->Server == "b");
  }
  SUBCASE("a server that reports to lead an old term is not preferred") {
    // A server that missed a promotion, because it could not be told to step
    // down, still reports to be primary.
    auto it = choosePrimary({candidate("a", Replica, 5, {5, 9}),
                             candidate("b", Primary, 4, {4, 30})},
                            {.RecordTerm = 5});
    CHECK(it->Server == "a");
  }
}

TEST_CASE("a primary that restarted under another ID is recognised") {
  // Guards against promotions of the present primary, again and again, that
  // change nothing (review case 7).
  using enum sql::ServerRole;
  auto replica = candidate("a", Replica, 3, {3, 9});
  auto restarted = candidate("b", Primary, 3, {3, 9});
  PromotionContext context{.RecordTerm = 3, .Terms = {{3, {2, 5}}}};
  CHECK(findRestartedPrimary({replica, restarted}, context)->Server == "b");

  SUBCASE("not if it leads another term") {
    restarted.Status.Term = 2;
    CHECK_FALSE(findRestartedPrimary({replica, restarted}, context));
    restarted.Status.Term = 4;
    CHECK_FALSE(findRestartedPrimary({replica, restarted}, context));
  }
  SUBCASE("not if two servers report to lead the term") {
    auto other = candidate("c", Primary, 3, {3, 9});
    CHECK_FALSE(findRestartedPrimary({restarted, other}, context));
  }
  SUBCASE("not if its log ends before the term began") {
    restarted.Status.Received = {2, 4};
    CHECK_FALSE(findRestartedPrimary({restarted}, context));
  }
  SUBCASE("not if the primary of the record has replied") {
    auto current = candidate("p", Replica, 4, {3, 9});
    current.IsCurrentPrimary = true;
    CHECK_FALSE(findRestartedPrimary({current, restarted}, context));
    restarted.IsCurrentPrimary = true;
    CHECK_FALSE(findRestartedPrimary({replica, restarted}, context));
  }
  SUBCASE("not if the term of the record is unknown") {
    CHECK_FALSE(findRestartedPrimary({restarted}, {.RecordTerm = 0}));
  }
}

TEST_CASE("a promotion without effect is not repeated while others may lead") {
  using enum sql::ServerRole;
  auto first = candidate("a", Replica, 3, {3, 9});
  auto second = candidate("b", Replica, 3, {3, 8});
  CHECK(choosePrimary({first, second}, {.RecordTerm = 3})->Server == "a");
  first.PromotionsWithoutEffect = 1;
  CHECK(choosePrimary({first, second}, {.RecordTerm = 3})->Server == "b");
  second.PromotionsWithoutEffect = 2;
  CHECK(choosePrimary({first, second}, {.RecordTerm = 3})->Server == "a");
  SUBCASE("but with SyncReplicas the others must have its commits") {
    second.PromotionsWithoutEffect = 0;
    CHECK(choosePrimary({first, second}, {.RecordTerm = 3, .SyncReplicas = 1})
              ->Server == "a");
  }
}

TEST_CASE("commits that an earlier promotion discarded do not reappear") {
  using enum sql::ServerRole;
  // Guards against commits that reappear (lkp-transcribe hunt-1204-39): a
  // replica at position 1.546 was promoted, and replaced before its first
  // commit. The server that had led before still held 1.628, although reads of
  // the new term had been served without those commits.
  auto current = candidate("b", Replica, 2, {1, 546});
  current.IsCurrentPrimary = true;
  auto old = candidate("a", Replica, 2, {1, 628});
  PromotionContext kept{.RecordTerm = 2, .Terms = {{2, {1, 546}}}};
  CHECK(choosePrimary({old, current}, kept)->Server == "b");
  auto rolledBack = candidate("a", Replica, 2, {1, 546});
  CHECK(choosePrimary({rolledBack, current}, kept)->Server == "a");
  // Entries of the current term are newer; they were not discarded.
  auto ahead = candidate("a", Replica, 2, {2, 550});
  CHECK(choosePrimary({ahead, current}, kept)->Server == "a");

  SUBCASE("also if no other server is in reach") {
    // Guards against commits that come back when the server that holds them is
    // the only candidate (review case 2).
    CHECK_FALSE(choosePrimary({old}, kept));
    old.Status.Role = Primary;
    old.Status.Term = 1;
    CHECK_FALSE(choosePrimary({old}, kept));
  }
  SUBCASE("also after several promotions") {
    kept = {.RecordTerm = 4,
            .Terms = {{2, {1, 546}}, {3, {2, 560}}, {4, {2, 560}}}};
    CHECK_FALSE(choosePrimary({old}, kept));
    CHECK(choosePrimary({rolledBack}, kept)->Server == "a");
    // It led the second term and missed the later ones.
    auto second = candidate("c", Primary, 2, {2, 561});
    CHECK_FALSE(choosePrimary({second}, kept));
    second.Status.Received = {2, 560};
    CHECK(choosePrimary({second}, kept)->Server == "c");
  }
  SUBCASE("also if it is not known where the following term began") {
    kept = {.RecordTerm = 4, .Terms = {{4, {3, 560}}}};
    CHECK_FALSE(choosePrimary({rolledBack}, kept));
    kept = {.RecordTerm = 4, .Terms = {{4, {}}}};
    CHECK_FALSE(choosePrimary({rolledBack}, kept));
    // An empty log holds no commit.
    CHECK(choosePrimary({candidate("d", Replica, 4, {1, 0})}, kept));
  }
  SUBCASE("the current primary leads with its own log") {
    kept = {.RecordTerm = 2, .Terms = {{2, {1, 540}}}};
    CHECK(choosePrimary({current}, kept)->Server == "b");
  }
}

TEST_CASE("a record remembers where its terms began") {
  GroupRecord record{.Epoch = 4,
                     .Primary = "a",
                     .Term = 2,
                     .StartPosition = {1, 546},
                     .FailoverInProgress = true,
                     .Coordinator = "n1/5"};
  recordPrimary(record, "b", 7, 3, {2, 560});
  CHECK(record.Epoch == 5);
  CHECK(record.Primary == "b");
  CHECK(record.PrimaryStartedMs == 7);
  CHECK_FALSE(record.FailoverInProgress);
  CHECK(record.Coordinator.empty());
  CHECK(knownTerms(record) ==
        std::vector<TermStart>{{2, {1, 546}}, {3, {2, 560}}});

  SUBCASE("a primary that is promoted again in its term keeps its beginning") {
    recordPrimary(record, "b", 7, 3, {3, 600});
    CHECK(record.StartPosition == base::LogPosition{2, 560});
    CHECK(knownTerms(record).size() == 2);
  }
  SUBCASE("the number of terms is limited") {
    for (base::TermNumber term = 4; term < 40; ++term)
      recordPrimary(record, "a", 7, term, {term - 1, 600 + term});
    CHECK(record.EarlierTerms.size() == MaxEarlierTerms);
    CHECK(knownTerms(record).back().Term == 39);
  }
  SUBCASE("the beginning shows only before the first commit of the term") {
    CHECK(startOfTerm({sql::ServerRole::Primary, 3, {2, 560}}) ==
          base::LogPosition{2, 560});
    CHECK_FALSE(startOfTerm({sql::ServerRole::Primary, 3, {3, 561}}));
  }
}

TEST_CASE("with SyncReplicas only a server with all acknowledged commits may "
          "lead") {
  // Guards against the promotion of a replica that lacks acknowledged commits
  // while the one that has them does not reply (review case 1).
  using enum sql::ServerRole;
  auto current = candidate("p", Replica, 3, {3, 20});
  current.IsCurrentPrimary = true;
  auto behind = candidate("a", Replica, 3, {3, 8});
  auto ahead = candidate("b", Replica, 3, {3, 19});
  PromotionContext context{.RecordTerm = 3, .SyncReplicas = 1};

  SUBCASE("a replica is chosen only when all replicas have replied") {
    CHECK(choosePrimary({behind, ahead}, context)->Server == "b");
    context.UnheardReplicas = 1;
    CHECK_FALSE(choosePrimary({behind}, context));
    CHECK_FALSE(choosePrimary({ahead}, context));
    context.SyncReplicas = 2;
    CHECK(choosePrimary({ahead}, context)->Server == "b");
  }
  SUBCASE("a replica with the whole log of the old primary is chosen") {
    context.UnheardReplicas = 1;
    CHECK(choosePrimary({current, behind}, context)->Server == "p");
    ahead.Status.Received = {3, 20};
    CHECK(choosePrimary({current, ahead}, context)->Server == "b");
  }
  SUBCASE("the end of the old primary's log need not be acknowledged") {
    CHECK(choosePrimary({current, behind, ahead}, context)->Server == "b");
  }
  SUBCASE("a leaving replica with the most commits goes first") {
    ahead.Leaving = true;
    ahead.EndsSoon = true;
    CHECK(choosePrimary({behind, ahead}, context)->Server == "b");
    CHECK_FALSE(choosePrimary({ahead}, context));
    behind.Status.Received = ahead.Status.Received;
    CHECK(choosePrimary({behind, ahead}, context)->Server == "a");
  }
  SUBCASE("a server that an earlier attempt promoted is chosen") {
    context.UnheardReplicas = 1;
    auto promoted = candidate("a", Primary, 4, {3, 8});
    CHECK(choosePrimary({promoted}, context)->Server == "a");
  }
  SUBCASE("a server with discarded commits does not count") {
    context.Terms = {{3, {2, 5}}};
    auto divergent = candidate("c", Replica, 3, {2, 9});
    CHECK(choosePrimary({divergent, ahead}, context)->Server == "b");
  }
}

TEST_CASE("a promoted server leads only once it reports a later term") {
  // Guards against commits that are acknowledged before the promotion takes
  // effect (bukhan-pin trouble-1): a server that was replaced while unreachable
  // and is promoted again reports to be the primary of its old term until the
  // new one begins.
  sql::ServerStatus stale{sql::ServerRole::Primary, 5, {5, 505}};
  CHECK_FALSE(isLeading(stale, 6, false));
  CHECK(isLeading({sql::ServerRole::Primary, 7, {5, 505}}, 6, false));
  CHECK_FALSE(isLeading({sql::ServerRole::Replica, 7, {5, 505}}, 6, false));
  // The current primary keeps its term when it is promoted again.
  CHECK(isLeading({sql::ServerRole::Primary, 6, {6, 1}}, 6, true));
}

TEST_CASE("the leader of a group is found only when no server can contradict") {
  auto server = [](const char *id, sql::ServerRole role, base::TermNumber term,
                   base::LogPosition received) {
    Candidate it;
    it.Server = id;
    it.Status.Role = role;
    it.Status.Term = term;
    it.Status.Received = received;
    return it;
  };
  using enum sql::ServerRole;
  Candidate stale = server("s1", Primary, 1, {1, 90});
  Candidate leader = server("s2", Primary, 2, {2, 80});
  Candidate replica = server("s3", Replica, 2, {2, 80});

  CHECK(findLeader({stale, leader, replica}, 3, 0)->Server == "s2");
  SUBCASE("an old primary does not lead because another one is unreachable") {
    CHECK_FALSE(findLeader({stale, replica}, 3, 0));
    CHECK_FALSE(findLeader({stale, replica}, 2, 0));
  }
  SUBCASE("a term that is known from elsewhere contradicts an old primary") {
    CHECK_FALSE(findLeader({stale}, 1, 2));
    CHECK(findLeader({stale}, 1, 1));
  }
  SUBCASE("a group without a primary has no leader") {
    CHECK_FALSE(findLeader({replica}, 1, 0));
    CHECK_FALSE(findLeader({}, 0, 0));
  }
}

} // namespace
} // namespace baobabpin::cluster
