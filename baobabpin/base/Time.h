/// The clock that decisions use. Decisions never read it; they take the time as
/// an argument, so that tests can choose it.
#pragma once

#include <chrono>

namespace baobabpin::base {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

} // namespace baobabpin::base
