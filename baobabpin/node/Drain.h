/// Graceful shutdown of a node. New work is directed to other nodes while the
/// requests in flight finish; the node stops after a timeout at the latest.
///
/// \code
///   DrainService &drain = kernel.find<DrainService>("drain");
///   drain.begin("signal", 30s); // stops the event loop when the drain ends
/// \endcode
#pragma once

#include "baobabpin/kernel/Kernel.h"

#include <memory>
#include <string>

namespace baobabpin::node {

class DrainService : public kernel::Service {
public:
  /// \p defaultTimeout limits drains that are started by a signal or because
  /// the host is leaving the fleet. A planned stop specifies its own timeout.
  explicit DrainService(base::Duration defaultTimeout);
  ~DrainService() override;

  std::string_view name() const override { return "drain"; }
  /// Needs the services "membership", "directory", "owner" and "gateway".
  base::Result<void> start(kernel::Kernel &kernel) override;
  void stop() override;

  /// Starts the drain, which lasts at most \p timeout. Does nothing if a drain
  /// is already in progress.
  void begin(const std::string &reason, base::Duration timeout);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace baobabpin::node
