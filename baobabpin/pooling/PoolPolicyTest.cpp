#include "baobabpin/pooling/PoolPolicy.h"

#include <doctest/doctest.h>

namespace baobabpin::pooling {
namespace {

using namespace std::chrono_literals;

constexpr base::BootTime Now{1000s};

TEST_CASE("shares of a server's connections") {
  SUBCASE("all nodes together are sure of no more than the limit") {
    CHECK(shareConnections(34, 9).Guaranteed * 9 <= 34);
    CHECK(shareConnections(16, 9).Guaranteed == 1);
  }
  SUBCASE("an owner that restarts finds room beside its lost connections") {
    // After a loss of power the server counts the old connections for 3 s:
    // bukhan-pin, 16 connections, of which an owner uses about half.
    ConnectionShare share = ownerShare(16, 2);
    CHECK(share.Most == 12);
    CHECK(16 - share.Most >= share.Guaranteed);
  }
  SUBCASE("a guest keeps none open") {
    CHECK(guestShare(16).Guaranteed == 0);
    CHECK(guestShare(3).Most == 1);
  }
}

TEST_CASE("work for an owner's connections when they are few") {
  // bukhan-pin-grown, all hosts lose power: for 3 s the server counts the lost
  // connections, and 6 of 23 are left. Transactions took all of them, and
  // single statements, nine tenths of the work, waited until their time limit.
  ConnectionShare share = ownerShare(23, 2);
  SUBCASE("transactions leave some to single statements") {
    CHECK(mayGrant({6, 0, 3}, share, Work::Transaction));
    CHECK_FALSE(mayGrant({6, 0, 4}, share, Work::Transaction));
    CHECK(mayGrant({6, 3, 4}, share, Work::Statement));
  }
  SUBCASE("a single connection serves both") {
    CHECK(mayGrant({1, 0, 0}, share, Work::Transaction));
    CHECK(mayGrant({1, 0, 0}, share, Work::Statement));
  }
  SUBCASE("statements wait here, by priority, and not at the server") {
    CHECK(mayGrant({17, 3, 0}, share, Work::Statement));
    CHECK_FALSE(mayGrant({17, 4, 0}, share, Work::Statement));
  }
  SUBCASE("a probe never waits") {
    CHECK(mayGrant({6, 4, 4}, share, Work::Probe));
  }
  SUBCASE("without an owner nothing is held back") {
    ConnectionShare direct = shareConnections(34, 9);
    CHECK(mayGrant({3, 2, 2}, direct, Work::Transaction));
    CHECK(mayGrant({3, 11, 0}, direct, Work::Statement));
  }
}

TEST_CASE("opening a connection") {
  ConnectionShare share{.Guaranteed = 1, .Most = 4};
  CHECK(shouldOpen({1, 0, 1}, share, {}, Now));
  SUBCASE("not for work that a connection is being opened for") {
    CHECK_FALSE(shouldOpen({1, 1, 1}, share, {}, Now));
  }
  SUBCASE("not beyond the share") {
    CHECK_FALSE(shouldOpen({3, 1, 5}, share, {}, Now));
  }
  SUBCASE("not right after the server refused one") {
    CHECK_FALSE(shouldOpen({1, 0, 1}, share, Now + 1ms, Now));
  }
}

TEST_CASE("giving connections back") {
  ConnectionShare share{.Guaranteed = 1, .Most = 4};
  CHECK_FALSE(shouldGiveBack({1, 0, 0}, share, 1h));
  CHECK_FALSE(shouldGiveBack({2, 0, 0}, share, BorrowedIdleLimit));
  CHECK(shouldGiveBack({2, 0, 0}, share, BorrowedIdleLimit + 1ms));
}

} // namespace
} // namespace baobabpin::pooling
