/// Removes the registrations of nodes that are gone for good, so that moves of
/// a primary need not wait for them.
///
/// Each node watches the next one by name. A node that does not answer is
/// marked as retired; one that lives registers anew when it reads the mark. A
/// mark that stays until the node's view can no longer be confirmed leads to
/// the removal.
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
  /// When the mark of each retired node was first seen.
  std::map<std::string, base::BootTime> RetiredSeen;
  std::string Successor;
  int SuccessorMisses = 0;
  kernel::Timer SuccessorTicker;
  kernel::Timer RemovalTicker;
};

} // namespace baobabpin::control
