/// Measures when the event loop of this process was late, so that the process
/// does not take its own lateness for the silence of another one.
///
/// The load: a host with 0.12 core runs for 12 ms in each 100 ms. While clients
/// send it more than it can read, or while the host is suspended, its loop
/// handles what others sent hundreds of milliseconds after it has arrived.
#pragma once

#include "baobabpin/base/BootClock.h"

#include <chrono>
#include <deque>

namespace baobabpin::kernel {

/// The time between two ticks that measure the lateness.
inline constexpr std::chrono::milliseconds LatenessTickPeriod{50};
/// A tick counts as late if it runs this much after it was due.
inline constexpr std::chrono::milliseconds LatenessTolerance{50};
/// Of the time in which the loop was late, the longest gap and this much more
/// are discounted from a silence. Processes that are late all the time still
/// notice the silence of another one after that.
inline constexpr std::chrono::milliseconds MaxDiscount{2000};
/// Gaps that ended longer ago are forgotten.
inline constexpr std::chrono::seconds LatenessKept{15};

/// The times in which a loop was late.
struct LatenessHistory {
  struct Gap {
    /// When a tick was due, and when it ran.
    base::BootTime From;
    base::BootTime To;
  };
  std::deque<Gap> Gaps;
  /// Empty until the first tick. A loop without ticks is never late.
  base::BootTime LastTick{};
};

/// Records a tick that runs at \p now.
void noteTick(LatenessHistory &history, base::BootTime now);

/// Returns how long nothing has been received since \p since, without the time
/// in which the loop was late (see MaxDiscount).
std::chrono::nanoseconds onTimeSilence(const LatenessHistory &history,
                                       base::BootTime since,
                                       base::BootTime now);

/// Returns whether the loop was late within the last \p span, so that a silence
/// since \p since that lasted for \p span says nothing about the other side.
/// Returns false if the silence is longer than what may be discounted.
bool isUnsure(const LatenessHistory &history, base::BootTime since,
              base::BootTime now, std::chrono::nanoseconds span);

} // namespace baobabpin::kernel
