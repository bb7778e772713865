/// The HTTP endpoint for callers. It validates requests, session tokens and
/// request classes, routes statements to the owner of their group, and returns
/// replies with an updated session token.
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
  /// Seed for generated request IDs.
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

  /// The address that the endpoint listens on, with the port that was bound.
  http::Endpoint endpoint() const;

  /// Makes the health check fail and closes each connection after its next
  /// reply, so that callers connect to other nodes. Requests that still arrive
  /// are processed.
  void drain();
  /// Number of requests without a reply yet.
  std::size_t inFlight() const;
  /// Time when the last request arrived, or of the start if there was none.
  base::TimePoint lastRequest() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace baobabpin::gateway
