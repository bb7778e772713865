/// The one event loop of a process, on one thread.
///
/// \code
///   EventLoop loop;
///   Timer timer = loop.runEvery(200ms, [&] { probe(); });
///   loop.run(); // until stop()
/// \endcode
#pragma once

#include "baobabpin/base/Time.h"

#include <functional>
#include <memory>

struct event_base;

namespace baobabpin::kernel {

/// Cancels its callback when destroyed or reset.
class Timer {
public:
  Timer();
  Timer(Timer &&) noexcept;
  Timer &operator=(Timer &&) noexcept;
  ~Timer();

  void cancel();
  /// Whether the callback has not been cancelled; it may have run already.
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
  /// Ends run() after the current callback. Callable from the loop's thread and
  /// from signal callbacks.
  void stop();

  /// The monotonic time, read once for each call.
  base::TimePoint now() const { return base::Clock::now(); }

  /// Calls \p callback once after \p delay, or never if the timer is cancelled.
  [[nodiscard]] Timer runAfter(base::Duration delay,
                               std::function<void()> callback);
  /// Calls \p callback every \p period, first after one period.
  [[nodiscard]] Timer runEvery(base::Duration period,
                               std::function<void()> callback);
  /// Calls \p callback on the loop's thread in the next iteration. The only
  /// member that other threads may call.
  void post(std::function<void()> callback);
  /// Calls \p callback on the loop's thread when the process gets \p signal.
  void onSignal(int signal, std::function<void()> callback);

  /// For libevent users such as the HTTP and UDP code.
  event_base *base() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace baobabpin::kernel
