/// One-shot calls that nobody needs to cancel one by one.
///
/// \code
///   DelayedCalls calls(loop);
///   calls.after(20ms, [&] { answer(); });
/// \endcode
#pragma once

#include "baobabpin/kernel/EventLoop.h"

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <utility>

namespace standins::common {

class DelayedCalls {
public:
  explicit DelayedCalls(baobabpin::kernel::EventLoop &loop) : Loop(loop) {}

  /// Calls \p callback once on the loop, unless this object goes before.
  void after(baobabpin::base::Duration delay, std::function<void()> callback) {
    std::uint64_t id = NextId++;
    Timers.emplace(
        id, Loop.runAfter(delay, [this, id, callback = std::move(callback)] {
          // The callback may destroy this object.
          auto done = Timers.extract(id);
          callback();
        }));
  }

private:
  baobabpin::kernel::EventLoop &Loop;
  std::uint64_t NextId = 1;
  std::unordered_map<std::uint64_t, baobabpin::kernel::Timer> Timers;
};

} // namespace standins::common
