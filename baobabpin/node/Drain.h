/// Graceful shutdown of a node: new work goes elsewhere, what is in flight is
/// finished, and a deadline bounds it.
///
/// \code
///   DrainService &drain = kernel.find<DrainService>("drain");
///   drain.begin("sigterm", 30s); // stops the loop when done
/// \endcode
#pragma once

#include "baobabpin/kernel/Kernel.h"

#include <memory>
#include <string>

namespace baobabpin::node {

class DrainService : public kernel::Service {
public:
  explicit DrainService(base::Duration deadline);
  ~DrainService() override;

  std::string_view name() const override { return "drain"; }
  /// Needs the services "membership", "directory", "owner" and "gateway".
  base::Result<void> start(kernel::Kernel &kernel) override;
  void stop() override;

  /// Does nothing when a shutdown has begun already.
  void begin(const std::string &reason, base::Duration deadline);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace baobabpin::node
