/// The clock for leases, ages and deadlines of the proxy path.
///
/// std::chrono::steady_clock stops while a host is suspended, so a lease timed
/// with it would outlive its real term. CLOCK_BOOTTIME counts that time, and
/// steps of the time of day do not affect it.
#pragma once

#include <chrono>
#include <ctime>

namespace baobabpin::base {

struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The standard names the members of a clock.
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
