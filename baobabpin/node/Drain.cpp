#include "baobabpin/node/Drain.h"

#include "baobabpin/directory/Directory.h"
#include "baobabpin/gateway/GatewayService.h"
#include "baobabpin/membership/MembershipService.h"
#include "baobabpin/owner/OwnerService.h"

#include <csignal>

namespace baobabpin::node {

using namespace std::chrono_literals;

namespace {

constexpr auto CheckPeriod = 50ms;
/// Minimum duration of a drain unless its timeout is shorter. It gives the load
/// balancer and the other nodes time to notice that this node is leaving.
constexpr auto MinDrainTime = 1s;
/// If no request has arrived for this long, callers are assumed to use other
/// nodes by now.
constexpr auto RequiredIdleTime = 300ms;

} // namespace

struct DrainService::State {
  explicit State(base::Duration defaultTimeout)
      : DefaultTimeout(defaultTimeout) {}

  base::Duration DefaultTimeout;
  kernel::Kernel *Kernel = nullptr;
  membership::MembershipService *Membership = nullptr;
  directory::Directory *Directory = nullptr;
  owner::OwnerService *Owner = nullptr;
  gateway::GatewayService *Gateway = nullptr;
  kernel::Timer CheckTimer;
  base::TimePoint StartedAt;
  base::TimePoint ForcedStopAt;
  bool Draining = false;

  void begin(const std::string &reason, base::Duration timeout);
  /// Stops the event loop if the drain is complete or has timed out.
  void checkProgress();
  /// Starts a drain if the catalog holds a planned stop for this node or its
  /// host.
  void checkPlannedStops();
};

void DrainService::State::begin(const std::string &reason,
                                base::Duration timeout) {
  if (std::exchange(Draining, true))
    return;
  Kernel->log().record("drain_started", {{"reason", reason}});
  StartedAt = Kernel->loop().now();
  ForcedStopAt = StartedAt + timeout;
  Membership->declareLeaving();
  Gateway->drain();
  Owner->drain();
  CheckTimer =
      Kernel->loop().runEvery(CheckPeriod, [this] { checkProgress(); });
}

void DrainService::State::checkProgress() {
  auto now = Kernel->loop().now();
  std::size_t inFlight = Gateway->inFlight() + Owner->inFlight();
  bool isComplete = now - StartedAt >= MinDrainTime &&
                    now - Gateway->lastRequest() >= RequiredIdleTime &&
                    inFlight == 0;
  if (!isComplete && now < ForcedStopAt)
    return;
  CheckTimer.cancel();
  Kernel->log().record("drain_finished",
                       {{"in_flight", std::to_string(inFlight)}});
  Kernel->loop().stop();
}

void DrainService::State::checkPlannedStops() {
  const auto &self = Membership->self();
  for (const auto &target : {self.Node, self.Host}) {
    auto stop =
        Directory->catalog().findStop(resources::StopTarget::Node, target);
    if (stop)
      begin("planned_stop", stop->Deadline);
  }
}

DrainService::DrainService(base::Duration defaultTimeout)
    : Impl(std::make_unique<State>(defaultTimeout)) {}

DrainService::~DrainService() = default;

base::Result<void> DrainService::start(kernel::Kernel &kernel) {
  auto &state = *Impl;
  state.Kernel = &kernel;
  state.Membership = &kernel.find<membership::MembershipService>("membership");
  state.Directory = &kernel.find<directory::Directory>("directory");
  state.Owner = &kernel.find<owner::OwnerService>("owner");
  state.Gateway = &kernel.find<gateway::GatewayService>("gateway");
  state.Directory->onCatalogChange([&state] {
    // begin() changes other services, which must not happen while the directory
    // is still calling its callbacks. The check therefore runs in the next
    // iteration of the event loop.
    state.Kernel->loop().post([&state] { state.checkPlannedStops(); });
  });
  state.Membership->onHostLeaving(
      [&state] { state.begin("host_leaving", state.DefaultTimeout); });
  for (int signal : {SIGTERM, SIGINT})
    kernel.loop().onSignal(
        signal, [&state] { state.begin("signal", state.DefaultTimeout); });
  state.checkPlannedStops();
  return {};
}

void DrainService::stop() { Impl->CheckTimer.cancel(); }

void DrainService::begin(const std::string &reason, base::Duration timeout) {
  Impl->begin(reason, timeout);
}

} // namespace baobabpin::node
