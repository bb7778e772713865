/// Verifies the records of the groups after the store was restored from an
/// older copy, as far as the nodes that were registered before remember them
/// (first way of cluster/ClusterView.h).
///
/// \code
///   verifier.OnDoubt = [this](const auto &group) { announce(group); };
///   verifier.add("ledger-1"); // OnDoubt("ledger-1") unless it is verified
/// \endcode
#pragma once

#include "baobabpin/control/ClusterService.h"
#include "baobabpin/kernel/EventLoop.h"
#include "baobabpin/kernel/LineLog.h"

#include <functional>
#include <set>
#include <vector>

namespace baobabpin::control {

class RecordVerifier {
public:
  RecordVerifier(kernel::EventLoop &loop, ClusterService &cluster,
                 kernel::LineLog &log)
      : Loop(loop), Cluster(cluster), Log(log) {}

  /// Called when the nodes do not remember enough to verify a group's record.
  std::function<void(const base::GroupName &)> OnDoubt;

  /// Returns whether a verification is in progress. Groups must not be added
  /// until it has ended.
  bool isBusy() const { return Asking || Writing; }
  /// Verifies the group's record, together with the others that are added
  /// within a few milliseconds.
  void add(const base::GroupName &group);

private:
  struct Round;

  /// Asks all nodes what they know of the groups in Due.
  void askNodes();
  void endRound(const Round &round);
  /// Writes the records of \p groups as verified in \p era.
  void write(const std::vector<base::GroupName> &groups, std::uint64_t era);

  kernel::EventLoop &Loop;
  ClusterService &Cluster;
  kernel::LineLog &Log;
  std::set<base::GroupName> Due;
  /// Replies of the nodes are outstanding.
  bool Asking = false;
  /// The outcome of a change of records is not known yet.
  bool Writing = false;
};

} // namespace baobabpin::control
