/// The event loop of a process. It runs on one thread and wraps libevent.
///
/// \code
///   EventLoop loop;
///   Timer timer = loop.runEvery(200ms, [&] { probe(); });
///   loop.run(); // until stop()
/// \endcode
#pragma once

#include "baobabpin/base/Time.h"
#include "baobabpin/kernel/Lateness.h"

#include <functional>
#include <memory>

struct event_base;

namespace baobabpin::kernel {

/// Handle of a scheduled callback. Destroying the handle, or assigning another
/// timer to it, cancels the callback.
class Timer {
public:
  Timer();
  Timer(Timer &&) noexcept;
  Timer &operator=(Timer &&) noexcept;
  ~Timer();

  /// Prevents further calls of the callback. The callback itself may call this.
  void cancel();
  /// Whether the timer was scheduled and has not been cancelled, even if a
  /// one-shot callback has already run.
  bool isActive() const { return Impl != nullptr; }

private:
  friend class EventLoop;
  struct State;
  explicit Timer(std::unique_ptr<State> impl);
  static Timer schedule(event_base *base, base::Duration delay, short flags,
                        std::function<void()> callback);
  std::unique_ptr<State> Impl;
};

class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Runs callbacks until stop(). Must be called on the loop's thread.
  void run();
  /// Makes run() return after the current callback. May only be called on the
  /// loop's thread, which includes the callbacks of onSignal().
  void stop();

  /// Returns the current monotonic time. The clock is read on each call.
  base::TimePoint now() const { return base::Clock::now(); }

  /// Calls \p callback once after \p delay, unless the timer is cancelled
  /// before.
  [[nodiscard]] Timer runAfter(base::Duration delay,
                               std::function<void()> callback);
  /// Calls \p callback once after \p delay. It cannot be cancelled.
  void postAfter(base::Duration delay, std::function<void()> callback);
  /// Calls \p callback every \p period, first after one period.
  [[nodiscard]] Timer runEvery(base::Duration period,
                               std::function<void()> callback);
  /// Calls \p callback on the loop's thread in the next iteration. This is the
  /// only member that other threads may call.
  void post(std::function<void()> callback);
  /// Calls \p callback on the loop's thread when the process receives \p
  /// signal.
  void onSignal(int signal, std::function<void()> callback);

  /// Begins to measure how late the loop runs.
  void measureLateness();
  /// Empty without measureLateness().
  const LatenessHistory &lateness() const;

  /// Returns the underlying libevent object, for code that uses libevent
  /// directly, such as HTTP and UDP.
  event_base *base() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace baobabpin::kernel
