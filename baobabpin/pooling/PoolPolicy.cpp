#include "baobabpin/pooling/PoolPolicy.h"

#include <algorithm>

namespace baobabpin::pooling {
namespace {

/// When all nodes connect directly, a node may hold at most the server's limit
/// divided by this, borrowed connections included, but always its guaranteed
/// connections.
constexpr int MaxShareDivisor = 3;
constexpr int OwnerGuaranteedConnections = 3;
constexpr int NonOwnerDivisor = 8;
/// Statements sent beyond the server's slots. They wait at the server and keep
/// its slots busy while replies are on the network.
constexpr int StatementsQueuedAtServer = 2;
/// A transaction may be aborted in favour of waiting work after this many times
/// the usual rest, and after MinReclaimRest.
constexpr int ReclaimFactor = 8;
constexpr std::chrono::milliseconds MinReclaimRest{250};
/// The first and the longest delay after a refused connection.
constexpr std::chrono::milliseconds FirstLimitBackoff{250};
/// A server counts the connections of a lost host for some seconds. A longer
/// delay would leave those that it frees unused.
constexpr std::chrono::milliseconds MaxLimitBackoff{500};

} // namespace

ConnectionShare shareConnections(int serverLimit, int nodes) {
  ConnectionShare it;
  it.Guaranteed = std::max(1, serverLimit / std::max(1, nodes));
  it.Maximum = std::max(it.Guaranteed, serverLimit / MaxShareDivisor);
  return it;
}

ConnectionShare ownerShare(int serverLimit, int slots) {
  int maximum = std::max(1, 3 * serverLimit / 4);
  return {.Guaranteed = std::min(OwnerGuaranteedConnections, maximum),
          .Maximum = maximum,
          .Statements = slots + StatementsQueuedAtServer,
          .Reserved = std::min(slots, maximum / 2)};
}

ConnectionShare nonOwnerShare(int serverLimit) {
  return {.Guaranteed = 0,
          .Maximum = std::max(1, serverLimit / NonOwnerDivisor)};
}

bool mayGrant(const PoolUse &use, const ConnectionShare &share, WorkKind work) {
  switch (work) {
  case WorkKind::Statement:
    return use.Statements < share.Statements;
  case WorkKind::Transaction:
    return use.Transactions < std::max(1, use.Open - share.Reserved);
  case WorkKind::Probe:
    break;
  }
  return true;
}

bool mayGrantToOrganisation(const PoolUse &use, const ConnectionShare &share,
                            WorkKind work) {
  if (work != WorkKind::Transaction)
    return mayGrant(use, share, work);
  return use.Transactions < std::max(1, share.Maximum - share.Reserved);
}

std::chrono::milliseconds limitBackoff(int refusals) {
  auto delay = FirstLimitBackoff;
  for (int n = 1; n < refusals && delay < MaxLimitBackoff; ++n)
    delay *= 2;
  return std::min(delay, MaxLimitBackoff);
}

int openingLimit(int slots, bool byOrganisation, bool refused) {
  if (refused)
    return 1;
  return byOrganisation ? slots : std::numeric_limits<int>::max();
}

bool mayReclaim(std::chrono::nanoseconds rest,
                std::chrono::nanoseconds usualRest) {
  return rest > std::max<std::chrono::nanoseconds>(MinReclaimRest,
                                                   ReclaimFactor * usualRest);
}

bool shouldOpen(const PoolCounts &counts, const ConnectionShare &share,
                base::BootTime backoffUntil, base::BootTime now) {
  if (now < backoffUntil || counts.Opening >= counts.Waiting)
    return false;
  return counts.Open + counts.Opening < share.Maximum;
}

bool shouldCloseIdle(const PoolCounts &counts, const ConnectionShare &share,
                     std::chrono::nanoseconds idleFor) {
  return counts.Open > share.Guaranteed && idleFor > BorrowedIdleLimit;
}

} // namespace baobabpin::pooling
