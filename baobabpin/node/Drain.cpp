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
/// Time for the balancer and the other nodes to notice.
constexpr auto NoticeTime = 1s;
/// Without a request for this long, callers have moved away.
constexpr auto QuietTime = 300ms;

} // namespace

struct DrainService::State {
  explicit State(base::Duration deadline) : Deadline(deadline) {}

  base::Duration Deadline;
  kernel::Kernel *Kernel = nullptr;
  membership::MembershipService *Members = nullptr;
  directory::Directory *Fleet = nullptr;
  owner::OwnerService *Owner = nullptr;
  gateway::GatewayService *Gateway = nullptr;
  kernel::Timer Check;
  base::TimePoint BeganAt;
  base::TimePoint EndsAt;
  bool Draining = false;

  void begin(const std::string &reason, base::Duration deadline);
  void check();
  void onCatalogChange();
};

void DrainService::State::begin(const std::string &reason,
                                base::Duration deadline) {
  if (std::exchange(Draining, true))
    return;
  Kernel->log().record("drain_started", {{"reason", reason}});
  BeganAt = Kernel->loop().now();
  EndsAt = BeganAt + deadline;
  Members->declareLeaving();
  Gateway->drain();
  Owner->drain();
  Check = Kernel->loop().runEvery(CheckPeriod, [this] { check(); });
}

void DrainService::State::check() {
  auto now = Kernel->loop().now();
  std::size_t inFlight = Gateway->inFlight() + Owner->inFlight();
  bool quiet = now - BeganAt >= NoticeTime &&
               now - Gateway->lastRequest() >= QuietTime && inFlight == 0;
  if (!quiet && now < EndsAt)
    return;
  Check.cancel();
  Kernel->log().record("drain_finished",
                       {{"in_flight", std::to_string(inFlight)}});
  Kernel->loop().stop();
}

void DrainService::State::onCatalogChange() {
  const auto &self = Members->self();
  for (const auto &target : {self.Node, self.Host}) {
    auto stop = Fleet->catalog().findStop(resources::StopTarget::Node, target);
    if (stop)
      begin("planned_stop", stop->Deadline);
  }
}

DrainService::DrainService(base::Duration deadline)
    : Impl(std::make_unique<State>(deadline)) {}

DrainService::~DrainService() = default;

base::Result<void> DrainService::start(kernel::Kernel &kernel) {
  auto &state = *Impl;
  state.Kernel = &kernel;
  state.Members = &kernel.find<membership::MembershipService>("membership");
  state.Fleet = &kernel.find<directory::Directory>("directory");
  state.Owner = &kernel.find<owner::OwnerService>("owner");
  state.Gateway = &kernel.find<gateway::GatewayService>("gateway");
  state.Fleet->onCatalogChange([&state] {
    // The service that reported the change may not be changed from within.
    state.Kernel->loop().post([&state] { state.onCatalogChange(); });
  });
  state.Members->onHostLeaving(
      [&state] { state.begin("host_leaving", state.Deadline); });
  for (int signal : {SIGTERM, SIGINT})
    kernel.loop().onSignal(signal,
                           [&state] { state.begin("signal", state.Deadline); });
  state.onCatalogChange();
  return {};
}

void DrainService::stop() { Impl->Check.cancel(); }

void DrainService::begin(const std::string &reason, base::Duration deadline) {
  Impl->begin(reason, deadline);
}

} // namespace baobabpin::node
