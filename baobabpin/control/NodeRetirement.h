/// Removes the registrations of nodes that are gone permanently, so that
/// failovers need not wait for their acknowledgements.
///
/// Each node checks its successor, which is the next node by name. A node that
/// does not answer is marked as retired. If it is still running, it registers
/// again when it reads the mark. Otherwise its registration is removed once its
/// view can no longer be confirmed.
#pragma once

#include "baobabpin/control/ClusterService.h"
#include "baobabpin/kernel/Kernel.h"
#include "baobabpin/kernel/LineLog.h"

#include <map>
#include <string>

namespace baobabpin::control {

class NodeRetirement : public kernel::Service {
public:
  explicit NodeRetirement(kernel::LineLog &log) : Log(log) {}

  std::string_view name() const override { return "retirement"; }
  base::Result<void> start(kernel::Kernel &kernel) override;
  void stop() override;

private:
  void checkSuccessor();
  void retire(const std::string &node);
  void removeRetired();

  kernel::LineLog &Log;
  ClusterService *Cluster = nullptr;
  /// When each retired node was first seen as retired.
  std::map<std::string, base::BootTime> RetiredSince;
  std::string Successor;
  /// The number of consecutive checks that the successor did not answer.
  int SuccessorMisses = 0;
  kernel::Timer SuccessorTicker;
  kernel::Timer RemovalTicker;
};

} // namespace baobabpin::control
