#include "standins/load/LoadDriver.h"

#include <algorithm>
#include <utility>

namespace standins::load {

using namespace baobabpin;
using namespace std::chrono_literals;

LoadDriver::LoadDriver(kernel::EventLoop &loop, Deployment deployment,
                       LoadOptions options, std::ostream &history)
    : Loop(loop), Options(std::move(options)),
      Draws(std::move(deployment), Options.Seed), Pool(loop, Options.Nodes),
      Client(loop, Pool, Draws.deployment().ClientLatency, history) {
  for (std::size_t i = 0; i < Options.Sessions; ++i) {
    Sessions.push_back(
        std::make_unique<CallerSession>("s" + std::to_string(i), loop, Client,
                                        Draws, Options.Behaviour, Counts));
  }
}

void LoadDriver::start() {
  Pool.watchHealth(Options.HealthPeriod);
  NextArrival = Loop.now();
  ArrivalsEnd = NextArrival + Options.Duration;
  scheduleArrival();
}

void LoadDriver::scheduleArrival() {
  NextArrival += Draws.drawGap(Options.Rate);
  if (NextArrival >= ArrivalsEnd) {
    endArrivals();
    return;
  }
  // A late timer is followed by early ones, so that the rate holds.
  auto delay = std::max<base::Duration>(NextArrival - Loop.now(), 0us);
  Arrival = Loop.runAfter(delay, [this] {
    Sessions[Draws.drawIndex(Sessions.size())]->addOperation();
    scheduleArrival();
  });
}

void LoadDriver::endArrivals() {
  if (std::exchange(Draining, true))
    return;
  ArrivalsEnd = Loop.now();
  DrainCheck = Loop.runEvery(20ms, [this] { checkDrained(); });
}

void LoadDriver::finishEarly() {
  Arrival.cancel();
  for (auto &session : Sessions)
    Unfinished += session->dropWaiting();
  endArrivals();
}

void LoadDriver::checkDrained() {
  auto busy = std::count_if(Sessions.begin(), Sessions.end(),
                            [](auto &session) { return !session->isIdle(); });
  bool isLate = Loop.now() - ArrivalsEnd > Options.DrainLimit;
  if (busy > 0 && !isLate)
    return;
  Unfinished += static_cast<std::uint64_t>(busy);
  DrainCheck.cancel();
  Loop.stop();
}

} // namespace standins::load
