/// Fake time, processes and messages of the randomised run.
///
/// All runs on one thread in the order of (time, sequence number), with one
/// seeded generator, so that a seed replays exactly.
#pragma once

#include "baobabpin/base/Time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace baobabpin::soak {

using base::Duration;
using base::TimePoint;
using Random = std::mt19937_64;
using Task = std::function<void()>;

constexpr Duration ms(std::int64_t n) { return std::chrono::milliseconds(n); }

struct Process {
  std::string Name;
  /// Index over all processes; end points of cuts.
  std::size_t Index = 0;
  bool Alive = true;
  bool Paused = false;
  /// Grows with each restart.
  std::uint64_t Epoch = 0;
  /// What arrived during a pause.
  std::deque<Task> Held;
};

struct Event {
  TimePoint At;
  std::uint64_t Sequence = 0;
  Task Run;
};

struct LaterFirst {
  bool operator()(const Event &a, const Event &b) const {
    return a.At != b.At ? a.At > b.At : a.Sequence > b.Sequence;
  }
};

struct NetworkFaults {
  /// (from, to) by process index; one direction each.
  std::set<std::pair<std::size_t, std::size_t>> Cuts;
  double Drop = 0;
  /// Drop probability of answers, whose requests took effect.
  double LoseAnswer = 0;
  Duration Jitter = ms(1);
  /// Probability and length of a long delay of one message.
  double Spike = 0;
  Duration SpikeLength = ms(300);
};

struct Simulation {
  TimePoint Now{std::chrono::hours(1)};
  std::uint64_t Sequence = 0;
  std::priority_queue<Event, std::vector<Event>, LaterFirst> Events;
  Random Rng;
  NetworkFaults Network;
  std::uint64_t Dropped = 0;
  std::uint64_t AnswersLost = 0;
  std::uint64_t Delivered = 0;
  /// Recent lines, only when Tracing.
  bool Tracing = false;
  std::deque<std::string> Trace;
};

bool chance(Simulation &sim, double probability);
/// Uniform in [low, high].
std::int64_t pick(Simulation &sim, std::int64_t low, std::int64_t high);
Duration pickDuration(Simulation &sim, Duration low, Duration high);

void trace(Simulation &sim, const std::function<std::string()> &line);

void schedule(Simulation &sim, Duration delay, Task task);
/// Runs everything up to \p until.
void runUntil(Simulation &sim, TimePoint until);

/// Runs \p task on the process now, after its pause, or never when it is dead.
void runOn(Process &process, Task task);
/// A timer of this incarnation of the process.
void scheduleOn(Simulation &sim, Process &process, Duration delay, Task task);
void pauseProcess(Process &process);
void resumeProcess(Process &process);
void stopProcess(Process &process);
void startProcess(Process &process);

/// Sends one message. Messages overtake each other unless the sender waits for
/// an answer first.
void send(Simulation &sim, Process &from, Process &to, bool isAnswer,
          Task task);

enum class CallFailure { TimedOut, Refused };

/// Hands a task back to the caller of call().
using Reply = std::function<void(Task)>;

/// Request and answer on a connection of their own: the answer arrives once, or
/// \p fail runs once. A late answer is dropped, as its connection is closed.
void call(Simulation &sim, Process &from, Process &to, Duration timeout,
          std::function<void(Reply)> serve,
          std::function<void(CallFailure)> fail);

} // namespace baobabpin::soak
