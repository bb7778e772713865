/// The callers' HTTP endpoint: checks requests, sessions and classes, routes
/// statements and returns answers with the session's new token.
///
/// \code
///   kernel.add(std::make_unique<GatewayService>(settings));
/// \endcode
#pragma once

#include "baobabpin/http/HttpClient.h"
#include "baobabpin/kernel/Kernel.h"
#include "baobabpin/session/Token.h"

#include <memory>

namespace baobabpin::gateway {

struct GatewaySettings {
  http::Endpoint Listen;
  session::KeyRing SessionKeys;
  std::uint64_t RandomSeed = 0;
};

class GatewayService : public kernel::Service {
public:
  explicit GatewayService(GatewaySettings settings);
  ~GatewayService() override;

  std::string_view name() const override { return "gateway"; }
  /// Needs the services "directory", "owner" and "peer".
  base::Result<void> start(kernel::Kernel &kernel) override;
  void stop() override;

  http::Endpoint endpoint() const;

  /// The health check fails from now on and callers are asked to reconnect
  /// elsewhere; requests that still arrive are served.
  void drain();
  std::size_t inFlight() const;
  /// When the last request arrived.
  base::TimePoint lastRequest() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace baobabpin::gateway
