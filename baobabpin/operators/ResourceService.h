/// The operators' gRPC endpoint, as a service of the kernel.
///
/// \code
///   kernel.add(std::make_unique<ResourceService>(settings, backend));
/// \endcode
#pragma once

#include "baobabpin/kernel/Kernel.h"
#include "baobabpin/operators/OperatorSettings.h"
#include "baobabpin/operators/ResourceBackend.h"

#include <memory>

namespace baobabpin::operators {

/// Requests above this size end with RESOURCE_EXHAUSTED before they are read;
/// specs between the store's limit and this one get request_too_large.
inline constexpr int MaxRequestBytes = 4 * 1024 * 1024;

class ResourceService : public kernel::Service {
public:
  /// \p backend must outlive the service.
  ResourceService(OperatorSettings settings, ResourceBackend &backend);
  ~ResourceService() override;

  std::string_view name() const override { return "operators"; }
  /// Listens; fails with InvalidSettings when a certificate file cannot be read
  /// or the address cannot be used.
  base::Result<void> start(kernel::Kernel &kernel) override;
  void stop() override;
  /// The port in use after start().
  int port() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace baobabpin::operators
