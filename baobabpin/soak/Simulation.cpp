#include "baobabpin/soak/Simulation.h"

#include <memory>

namespace baobabpin::soak {
namespace {

constexpr std::size_t TraceLines = 400;
constexpr Duration BaseLatency = std::chrono::microseconds(500);

Duration latency(Simulation &sim) {
  auto delay =
      BaseLatency + pickDuration(sim, Duration::zero(), sim.Network.Jitter);
  if (chance(sim, sim.Network.Spike))
    delay += pickDuration(sim, Duration::zero(), sim.Network.SpikeLength);
  return delay;
}

bool isCut(const Simulation &sim, const Process &from, const Process &to) {
  return sim.Network.Cuts.contains({from.Index, to.Index});
}

} // namespace

bool chance(Simulation &sim, double probability) {
  if (probability <= 0)
    return false;
  return std::uniform_real_distribution<double>(0, 1)(sim.Rng) < probability;
}

std::int64_t pick(Simulation &sim, std::int64_t low, std::int64_t high) {
  return std::uniform_int_distribution<std::int64_t>(low, high)(sim.Rng);
}

Duration pickDuration(Simulation &sim, Duration low, Duration high) {
  return Duration(pick(sim, low.count(), high.count()));
}

void trace(Simulation &sim, const std::function<std::string()> &line) {
  if (!sim.Tracing)
    return;
  auto us = std::chrono::duration_cast<std::chrono::microseconds>(
      sim.Now.time_since_epoch() - std::chrono::hours(1));
  sim.Trace.push_back(std::to_string(us.count()) + "us " + line());
  if (sim.Trace.size() > TraceLines)
    sim.Trace.pop_front();
}

void schedule(Simulation &sim, Duration delay, Task task) {
  sim.Events.push({sim.Now + delay, sim.Sequence++, std::move(task)});
}

void runUntil(Simulation &sim, TimePoint until) {
  while (!sim.Events.empty() && sim.Events.top().At <= until) {
    Event event = sim.Events.top();
    sim.Events.pop();
    sim.Now = event.At;
    event.Run();
  }
  sim.Now = until;
}

void runOn(Process &process, Task task) {
  if (!process.Alive)
    return;
  if (process.Paused)
    process.Held.push_back(std::move(task));
  else
    task();
}

void scheduleOn(Simulation &sim, Process &process, Duration delay, Task task) {
  auto epoch = process.Epoch;
  schedule(sim, delay, [&process, epoch, task = std::move(task)] {
    if (process.Epoch == epoch)
      runOn(process, task);
  });
}

void pauseProcess(Process &process) { process.Paused = process.Alive; }

void resumeProcess(Process &process) {
  process.Paused = false;
  auto held = std::move(process.Held);
  process.Held.clear();
  for (const auto &it : held)
    it();
}

void stopProcess(Process &process) {
  process.Alive = false;
  process.Paused = false;
  process.Held.clear();
  ++process.Epoch;
}

void startProcess(Process &process) { process.Alive = true; }

void send(Simulation &sim, Process &from, Process &to, bool isAnswer,
          Task task) {
  if (isAnswer && chance(sim, sim.Network.LoseAnswer)) {
    ++sim.AnswersLost;
    return;
  }
  if (isCut(sim, from, to) || chance(sim, sim.Network.Drop)) {
    ++sim.Dropped;
    return;
  }
  schedule(sim, latency(sim), [&sim, &from, &to, task = std::move(task)] {
    if (isCut(sim, from, to)) {
      ++sim.Dropped;
      return;
    }
    ++sim.Delivered;
    runOn(to, task);
  });
}

namespace {

struct CallState {
  bool Done = false;
  std::uint64_t Epoch = 0;
};

/// Runs \p task on the calling process unless the call is over.
void finishCall(Process &from, const std::shared_ptr<CallState> &state,
                const Task &task) {
  if (state->Done || from.Epoch != state->Epoch)
    return;
  state->Done = true;
  task();
}

} // namespace

void call(Simulation &sim, Process &from, Process &to, Duration timeout,
          std::function<void(Reply)> serve,
          std::function<void(CallFailure)> fail) {
  auto state = std::make_shared<CallState>(CallState{.Epoch = from.Epoch});
  Reply reply = [&sim, &from, &to, state](Task task) {
    send(sim, to, from, true, [&from, state, task = std::move(task)] {
      finishCall(from, state, task);
    });
  };
  if (!to.Alive && !isCut(sim, from, to) && !isCut(sim, to, from)) {
    scheduleOn(sim, from, latency(sim), [&from, state, fail] {
      finishCall(from, state, [&] { fail(CallFailure::Refused); });
    });
    return;
  }
  send(sim, from, to, false,
       [serve = std::move(serve), reply] { serve(reply); });
  scheduleOn(sim, from, timeout, [&from, state, fail = std::move(fail)] {
    finishCall(from, state, [&] { fail(CallFailure::TimedOut); });
  });
}

} // namespace baobabpin::soak
