/// The monotonic clock of the process. Code that makes decisions takes the time
/// as an argument and does not read the clock, so that tests can set the time.
#pragma once

#include <chrono>

namespace baobabpin::base {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

} // namespace baobabpin::base
