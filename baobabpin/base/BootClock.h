/// The clock for leases, data ages and deadlines in packages such as cluster,
/// control, frontend, pooling and relay. Other code uses base::Clock.
///
/// std::chrono::steady_clock stops while a host is suspended, so a lease that
/// it measures would last longer than granted. CLOCK_BOOTTIME includes the time
/// of suspension, and changes of the system's wall clock do not affect it.
#pragma once

#include <chrono>
#include <ctime>

namespace baobabpin::base {

/// Clock on CLOCK_BOOTTIME that meets the requirements of std::chrono clocks.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The C++ standard prescribes this name for clocks.
  static constexpr bool is_steady = true; // NOLINT

  static time_point now() noexcept {
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return time_point(std::chrono::seconds(ts.tv_sec) +
                      std::chrono::nanoseconds(ts.tv_nsec));
  }
};

using BootTime = BootClock::time_point;

} // namespace baobabpin::base
