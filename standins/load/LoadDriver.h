/// Open-loop load of one deployment: arrivals follow the clock, however slow
/// the answers are.
#pragma once

#include "standins/load/CallerSession.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace standins::load {

struct LoadOptions {
  std::uint64_t Seed = 1;
  std::vector<baobabpin::http::Endpoint> Nodes;
  std::size_t Sessions = 200;
  double Rate = 400; ///< Operations per second over all sessions.
  std::chrono::milliseconds Duration{30'000};
  /// How long after the last arrival operations may still finish.
  std::chrono::milliseconds DrainLimit{30'000};
  /// A node that is stopping gets new work for up to this long.
  std::chrono::milliseconds HealthPeriod{500};
  CallerBehaviour Behaviour;
};

class LoadDriver {
public:
  LoadDriver(baobabpin::kernel::EventLoop &loop, Deployment deployment,
             LoadOptions options, std::ostream &history);

  /// Starts arrivals; stops the loop when all operations have ended.
  void start();
  /// Ends arrivals now and lets operations that have begun finish.
  void finishEarly();
  const CallerCounts &counts() const { return Counts; }
  std::uint64_t attemptCount() const { return Client.attemptCount(); }
  /// Operations that had not ended at the drain limit.
  std::uint64_t unfinished() const { return Unfinished; }

private:
  void scheduleArrival();
  void endArrivals();
  void checkDrained();

  baobabpin::kernel::EventLoop &Loop;
  LoadOptions Options;
  Workload Draws;
  NodePool Pool;
  CallerClient Client;
  CallerCounts Counts;
  std::vector<std::unique_ptr<CallerSession>> Sessions;
  baobabpin::base::TimePoint NextArrival;
  baobabpin::base::TimePoint ArrivalsEnd;
  bool Draining = false;
  std::uint64_t Unfinished = 0;
  baobabpin::kernel::Timer Arrival;
  baobabpin::kernel::Timer DrainCheck;
};

} // namespace standins::load
