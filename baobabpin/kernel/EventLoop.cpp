#include "baobabpin/kernel/EventLoop.h"

#include "baobabpin/kernel/Guard.h"

#include <event2/event.h>
#include <event2/thread.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <mutex>
#include <utility>
#include <vector>

namespace baobabpin::kernel {
namespace {

timeval toTimeval(base::Duration duration) {
  if (duration < base::Duration::zero())
    duration = base::Duration::zero();
  auto us = std::chrono::ceil<std::chrono::microseconds>(duration).count();
  return {.tv_sec = static_cast<time_t>(us / 1000000),
          .tv_usec = static_cast<suseconds_t>(us % 1000000)};
}

struct EventDeleter {
  void operator()(event *it) const { event_free(it); }
};
using EventPtr = std::unique_ptr<event, EventDeleter>;

} // namespace

struct Timer::State {
  EventPtr Event;
  std::function<void()> Callback;
  bool Running = false;
  bool Cancelled = false;
};

Timer::Timer(std::unique_ptr<State> impl) : Impl(std::move(impl)) {}
Timer::Timer() = default;
Timer::Timer(Timer &&) noexcept = default;

Timer &Timer::operator=(Timer &&other) noexcept {
  if (this != &other) {
    cancel();
    Impl = std::move(other.Impl);
  }
  return *this;
}

Timer::~Timer() { cancel(); }

void Timer::cancel() {
  if (!Impl)
    return;
  event_del(Impl->Event.get());
  if (Impl->Running) {
    // The callback is cancelling its own timer. The code that called it deletes
    // the state when the callback returns.
    Impl->Cancelled = true;
    (void)Impl.release();
    return;
  }
  Impl.reset();
}

Timer Timer::schedule(event_base *base, base::Duration delay, short flags,
                      std::function<void()> callback) {
  auto state = std::make_unique<State>();
  state->Callback = std::move(callback);
  auto run = [](evutil_socket_t, short, void *arg) {
    auto *it = static_cast<Timer::State *>(arg);
    it->Running = true;
    runGuarded("timer", it->Callback);
    it->Running = false;
    if (it->Cancelled)
      delete it;
  };
  state->Event.reset(event_new(base, -1, flags, run, state.get()));
  timeval tv = toTimeval(delay);
  event_add(state->Event.get(), &tv);
  return Timer(std::move(state));
}

struct EventLoop::State {
  event_base *Base = nullptr;
  EventPtr Wakeup;
  int WakeupFd = -1;
  std::mutex Mutex;
  std::vector<std::function<void()>> Posted;
  std::vector<std::pair<EventPtr, std::unique_ptr<std::function<void()>>>>
      Signals;
  LatenessHistory Lateness;
  Timer LatenessTicker;

  /// Runs the callbacks that have been posted so far.
  void runPosted() {
    std::uint64_t n = 0;
    (void)!read(WakeupFd, &n, sizeof n);
    std::vector<std::function<void()>> batch;
    {
      std::lock_guard lock(Mutex);
      batch.swap(Posted);
    }
    for (auto &it : batch)
      runGuarded("posted_callback", it);
  }
};

EventLoop::EventLoop() : Impl(std::make_unique<State>()) {
  evthread_use_pthreads();
  event_config *config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  // Merges several changes to one descriptor within an iteration into one
  // system call.
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  Impl->Base = event_base_new_with_config(config);
  event_config_free(config);
  Impl->WakeupFd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  Impl->Wakeup.reset(event_new(
      Impl->Base, Impl->WakeupFd, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void *arg) {
        static_cast<State *>(arg)->runPosted();
      },
      Impl.get()));
  event_add(Impl->Wakeup.get(), nullptr);
}

EventLoop::~EventLoop() {
  Impl->Signals.clear();
  Impl->LatenessTicker.cancel();
  Impl->Wakeup.reset();
  close(Impl->WakeupFd);
  event_base_free(Impl->Base);
}

void EventLoop::run() { event_base_loop(Impl->Base, EVLOOP_NO_EXIT_ON_EMPTY); }

void EventLoop::stop() { event_base_loopbreak(Impl->Base); }

event_base *EventLoop::base() const { return Impl->Base; }

Timer EventLoop::runAfter(base::Duration delay,
                          std::function<void()> callback) {
  return Timer::schedule(Impl->Base, delay, 0, std::move(callback));
}

Timer EventLoop::runEvery(base::Duration period,
                          std::function<void()> callback) {
  return Timer::schedule(Impl->Base, period, EV_PERSIST, std::move(callback));
}

void EventLoop::post(std::function<void()> callback) {
  {
    std::lock_guard lock(Impl->Mutex);
    Impl->Posted.push_back(std::move(callback));
    if (Impl->Posted.size() > 1)
      return;
  }
  // Only the first callback of a batch has to wake the loop.
  std::uint64_t one = 1;
  (void)!write(Impl->WakeupFd, &one, sizeof one);
}

void EventLoop::postAfter(base::Duration delay,
                          std::function<void()> callback) {
  auto timer = std::make_shared<Timer>();
  *timer = runAfter(delay, [timer, callback = std::move(callback)] {
    callback();
    // The callback owns its timer, which therefore has to end itself.
    timer->cancel();
  });
}

void EventLoop::measureLateness() {
  Impl->LatenessTicker = runEvery(LatenessTickPeriod, [it = Impl.get()] {
    noteTick(it->Lateness, base::BootClock::now());
  });
}

const LatenessHistory &EventLoop::lateness() const { return Impl->Lateness; }

void EventLoop::onSignal(int signal, std::function<void()> callback) {
  auto holder = std::make_unique<std::function<void()>>(std::move(callback));
  EventPtr it(event_new(
      Impl->Base, signal, EV_SIGNAL | EV_PERSIST,
      [](evutil_socket_t, short, void *arg) {
        runGuarded("signal", *static_cast<std::function<void()> *>(arg));
      },
      holder.get()));
  event_add(it.get(), nullptr);
  Impl->Signals.emplace_back(std::move(it), std::move(holder));
}

} // namespace baobabpin::kernel
