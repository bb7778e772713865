#include "baobabpin/pooling/PoolPolicy.h"

#include <algorithm>

namespace baobabpin::pooling {
namespace {

/// One node may borrow at most this part of a server's connections.
constexpr int BorrowDivisor = 3;
constexpr int OwnerWarmConnections = 3;
constexpr int GuestDivisor = 8;
/// Statements that wait at a server, so that its slots stay busy while a reply
/// travels.
constexpr int QueuedAtServer = 2;

} // namespace

ConnectionShare shareConnections(int serverLimit, int nodes) {
  ConnectionShare it;
  it.Guaranteed = std::max(1, serverLimit / std::max(1, nodes));
  it.Most = std::max(it.Guaranteed, serverLimit / BorrowDivisor);
  return it;
}

ConnectionShare ownerShare(int serverLimit, int slots) {
  int most = std::max(1, 3 * serverLimit / 4);
  return {.Guaranteed = std::min(OwnerWarmConnections, most),
          .Most = most,
          .Statements = slots + QueuedAtServer,
          .Reserved = std::min(slots, most / 2)};
}

ConnectionShare guestShare(int serverLimit) {
  return {.Guaranteed = 0, .Most = std::max(1, serverLimit / GuestDivisor)};
}

bool mayGrant(const PoolUse &use, const ConnectionShare &share, Work work) {
  switch (work) {
  case Work::Statement:
    return use.Statements < share.Statements;
  case Work::Transaction:
    return use.Transactions < std::max(1, use.Open - share.Reserved);
  case Work::Probe:
    break;
  }
  return true;
}

bool shouldOpen(const PoolCounts &counts, const ConnectionShare &share,
                base::BootTime backoffUntil, base::BootTime now) {
  if (now < backoffUntil || counts.Opening >= counts.Waiting)
    return false;
  return counts.Open + counts.Opening < share.Most;
}

bool shouldGiveBack(const PoolCounts &counts, const ConnectionShare &share,
                    std::chrono::nanoseconds idleFor) {
  return counts.Open > share.Guaranteed && idleFor > BorrowedIdleLimit;
}

} // namespace baobabpin::pooling
