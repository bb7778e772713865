#include "baobabpin/cluster/MoveDecision.h"

#include <doctest/doctest.h>

namespace baobabpin::cluster {
namespace {

using namespace std::chrono_literals;

PeerEvidence peer(const std::string &node,
                  std::optional<std::chrono::milliseconds> heard) {
  return {node, true, false, heard};
}

MoveQuestion silentPrimary() {
  MoveQuestion it;
  it.Self = "n2";
  it.SelfStoreReachable = true;
  it.Own.PrimaryReplyAge = 700ms;
  it.Peers = {peer("n1", 700ms), peer("n3", 700ms)};
  it.PeersAsked = 2;
  return it;
}

TEST_CASE("a silent primary") {
  MoveQuestion question = silentPrimary();

  SUBCASE("is moved by the holder of the duty") {
    question.DutyHolder = "n2";
    CHECK(decideMove(question) == MoveVerdict::MoveNow);
    question.DutyHolder = "n3";
    CHECK(decideMove(question) == MoveVerdict::LeaveIt);
  }
  SUBCASE("is moved by the first node when the holder does not answer") {
    question.DutyHolder = "n9";
    CHECK(decideMove(question) == MoveVerdict::LeaveIt);
    question.Peers[0].StoreReachable = false;
    CHECK(decideMove(question) == MoveVerdict::MoveNow);
  }
  SUBCASE("stays when half of the nodes in touch hear it") {
    // A primary that is cut off from some nodes only goes on serving the rest.
    question.Peers = {peer("n1", 50ms), peer("n3", 50ms), peer("n4", 900ms)};
    CHECK(decideMove(question) == MoveVerdict::Stay);
    question.Peers[0].PrimaryReplyAge = 900ms;
    CHECK(decideMove(question) != MoveVerdict::Stay);
  }
  SUBCASE("stays while another node moves it") {
    question.Peers[1].FailoverInProgress = true;
    CHECK(decideMove(question) == MoveVerdict::Stay);
  }
  SUBCASE("is not judged by a node that has lost the others") {
    question.PeersAsked = 8;
    CHECK(decideMove(question) == MoveVerdict::NotSure);
    question.Own.PrimaryReplyAge = LonelyAfter;
    question.DutyHolder = "n2";
    CHECK(decideMove(question) == MoveVerdict::MoveNow);
  }
  SUBCASE("is not moved without the store") {
    question.SelfStoreReachable = false;
    for (auto &it : question.Peers)
      it.StoreReachable = false;
    CHECK(decideMove(question) == MoveVerdict::NotSure);
  }
}

TEST_CASE("a primary that leaves is moved although it answers") {
  MoveQuestion question = silentPrimary();
  question.Own = {.Leaving = true, .PrimaryReplyAge = 10ms};
  question.Peers = {peer("n1", 10ms), peer("n3", 10ms)};
  question.DutyHolder = "n2";
  CHECK(decideMove(question) == MoveVerdict::MoveNow);
}

TEST_CASE("suspicion") {
  CHECK_FALSE(isSuspect({.PrimaryReplyAge = 200ms}));
  CHECK(isSuspect({.PrimaryReplyAge = SuspectAfter + 1ms}));
  // Connections that fail at once shorten it.
  CHECK(isSuspect({.PrimaryReplyAge = 300ms, .Unreachable = true}));
  CHECK_FALSE(isSuspect({.PrimaryReplyAge = 100ms, .Unreachable = true}));
  // A primary that was never asked is not suspected.
  CHECK_FALSE(isSuspect({}));
}

Candidate candidate(const std::string &server, sql::ServerRole role,
                    base::TermNumber term, base::LogPosition received) {
  return {server, {role, term, received}, false, false};
}

TEST_CASE("the server that is promoted") {
  using enum sql::ServerRole;
  SUBCASE("has received most") {
    auto it = choosePrimary({candidate("a", Replica, 3, {3, 8}),
                             candidate("b", Replica, 3, {3, 9})},
                            3, {});
    CHECK(it->Server == "b");
  }
  SUBCASE("is not leaving, if there is another") {
    auto leaving = candidate("b", Replica, 3, {3, 9});
    leaving.Leaving = true;
    CHECK(choosePrimary({candidate("a", Replica, 3, {3, 8}), leaving}, 3, {})
              ->Server == "a");
    CHECK(choosePrimary({leaving}, 3, {})->Server == "b");
  }
  SUBCASE("is the one that an earlier attempt promoted") {
    auto it = choosePrimary({candidate("a", Replica, 3, {3, 9}),
                             candidate("b", Primary, 4, {3, 8})},
                            3, {});
    CHECK(it->Server == "b");
  }
  SUBCASE("is not chosen for claiming an old term") {
    // A server that could not be told to step down missed a promotion.
    auto it = choosePrimary({candidate("a", Replica, 5, {5, 9}),
                             candidate("b", Primary, 4, {4, 30})},
                            5, {});
    CHECK(it->Server == "a");
  }
}

TEST_CASE("a log that an earlier promotion cut off is not brought back") {
  using enum sql::ServerRole;
  // lkp-transcribe hunt-1204-39: a replica at 1.546 was promoted, and moved
  // again before its first commit. The server that had led before still
  // held 1.628; reads of the new term had been served without those commits.
  auto present = candidate("b", Replica, 2, {1, 546});
  present.Present = true;
  auto old = candidate("a", Replica, 2, {1, 628});
  base::LogPosition kept{1, 546};
  CHECK(choosePrimary({old, present}, 2, kept)->Server == "b");
  auto rolledBack = candidate("a", Replica, 2, {1, 546});
  CHECK(choosePrimary({rolledBack, present}, 2, kept)->Server == "a");
  // Entries of the present term are ahead, not cut off.
  auto ahead = candidate("a", Replica, 2, {2, 550});
  CHECK(choosePrimary({ahead, present}, 2, kept)->Server == "a");
}

TEST_CASE("a promoted server leads only in a later term") {
  // bukhan-pin trouble-1: a server that was replaced while unreachable, and is
  // promoted again, reports to be primary of its old term until the new begins;
  // commits there were acknowledged before the promotion took effect.
  sql::ServerStatus stale{sql::ServerRole::Primary, 5, {5, 505}};
  CHECK_FALSE(isLeading(stale, 6, false));
  CHECK(isLeading({sql::ServerRole::Primary, 7, {5, 505}}, 6, false));
  CHECK_FALSE(isLeading({sql::ServerRole::Replica, 7, {5, 505}}, 6, false));
  // The present primary keeps its term when it is promoted again.
  CHECK(isLeading({sql::ServerRole::Primary, 6, {6, 1}}, 6, true));
}

} // namespace
} // namespace baobabpin::cluster
