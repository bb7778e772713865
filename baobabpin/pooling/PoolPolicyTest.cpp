#include "baobabpin/pooling/PoolPolicy.h"

#include <doctest/doctest.h>

namespace baobabpin::pooling {
namespace {

using namespace std::chrono_literals;

constexpr base::BootTime Now{1000s};

TEST_CASE("nodes share a server's connections by their role") {
  SUBCASE("the guaranteed shares of all nodes do not exceed the limit") {
    CHECK(shareConnections(34, 9).Guaranteed * 9 <= 34);
    CHECK(shareConnections(16, 9).Guaranteed == 1);
  }
  SUBCASE("a restarted owner can connect while its old connections count") {
    // After a power loss the server counts the owner's old connections for 3 s.
    // In the deployment bukhan-pin a server has 16 connections, of which an
    // owner uses about half.
    ConnectionShare share = ownerShare(16, 2);
    CHECK(share.Maximum == 12);
    CHECK(16 - share.Maximum >= share.Guaranteed);
  }
  SUBCASE(
      "a non-owner has no guaranteed connection and may open at least one") {
    CHECK(nonOwnerShare(16).Guaranteed == 0);
    CHECK(nonOwnerShare(3).Maximum == 1);
  }
}

TEST_CASE("an owner with few connections divides them between kinds of work") {
  // Guards against starvation of single statements. In the deployment
  // bukhan-pin-grown all hosts lost power: for 3 s the server counted the lost
  // connections, and 6 of 23 were left. Transactions took all of them, and
  // single statements, nine tenths of the work, waited until their time limit.
  ConnectionShare share = ownerShare(23, 2);
  SUBCASE("transactions leave connections to single statements") {
    CHECK(mayGrant({6, 0, 3}, share, WorkKind::Transaction));
    CHECK_FALSE(mayGrant({6, 0, 4}, share, WorkKind::Transaction));
    CHECK(mayGrant({6, 3, 4}, share, WorkKind::Statement));
  }
  SUBCASE("the only connection may serve either kind") {
    CHECK(mayGrant({1, 0, 0}, share, WorkKind::Transaction));
    CHECK(mayGrant({1, 0, 0}, share, WorkKind::Statement));
  }
  SUBCASE(
      "surplus statements wait in the pool, by priority, not at the server") {
    CHECK(mayGrant({17, 3, 0}, share, WorkKind::Statement));
    CHECK_FALSE(mayGrant({17, 4, 0}, share, WorkKind::Statement));
  }
  SUBCASE("a probe is granted beyond the limits of other work") {
    CHECK(mayGrant({6, 4, 4}, share, WorkKind::Probe));
  }
  SUBCASE("without an owner no connection is reserved") {
    ConnectionShare direct = shareConnections(34, 9);
    CHECK(mayGrant({3, 2, 2}, direct, WorkKind::Transaction));
    CHECK(mayGrant({3, 11, 0}, direct, WorkKind::Statement));
  }
}

TEST_CASE("a connection is opened only when waiting work needs it") {
  ConnectionShare share{.Guaranteed = 1, .Maximum = 4};
  CHECK(shouldOpen({1, 0, 1}, share, {}, Now));
  SUBCASE("none for work for which a connection is already being opened") {
    CHECK_FALSE(shouldOpen({1, 1, 1}, share, {}, Now));
  }
  SUBCASE("none beyond the maximum share") {
    CHECK_FALSE(shouldOpen({3, 1, 5}, share, {}, Now));
  }
  SUBCASE("none during the backoff after a refused connection") {
    CHECK_FALSE(shouldOpen({1, 0, 1}, share, Now + 1ms, Now));
  }
}

TEST_CASE("only borrowed connections are closed, after the idle limit") {
  ConnectionShare share{.Guaranteed = 1, .Maximum = 4};
  CHECK_FALSE(shouldCloseIdle({1, 0, 0}, share, 1h));
  CHECK_FALSE(shouldCloseIdle({2, 0, 0}, share, BorrowedIdleLimit));
  CHECK(shouldCloseIdle({2, 0, 0}, share, BorrowedIdleLimit + 1ms));
}

} // namespace
} // namespace baobabpin::pooling
