#include "baobabpin/pooling/PoolPolicy.h"

#include <algorithm>

namespace baobabpin::pooling {
namespace {

/// One node may borrow at most this part of a server's connections.
constexpr int BorrowDivisor = 3;
constexpr int OwnerWarmConnections = 3;
constexpr int GuestDivisor = 8;

} // namespace

ConnectionShare shareConnections(int serverLimit, int nodes) {
  ConnectionShare it;
  it.Guaranteed = std::max(1, serverLimit / std::max(1, nodes));
  it.Most = std::max(it.Guaranteed, serverLimit / BorrowDivisor);
  return it;
}

ConnectionShare ownerShare(int serverLimit) {
  int most = std::max(1, 3 * serverLimit / 4);
  return {std::min(OwnerWarmConnections, most), most};
}

ConnectionShare guestShare(int serverLimit) {
  return {0, std::max(1, serverLimit / GuestDivisor)};
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
