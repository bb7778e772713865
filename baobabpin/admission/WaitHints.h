/// The expected waits that the owner of a server's connections has reported
/// with its refusals, as an entry node remembers them.
///
/// Load pattern: all nodes send twice what the servers can do. A node that
/// knows the wait refuses hopeless work at once and sends other work to the
/// server with the shortest wait, without asking each owner for each statement.
/// A report says little about the queue some tenths of a second later, so its
/// weight halves every 100 ms, and new work is sent to the owner again.
///
/// \code
///   recordWait(hints, priority, wait, now);
///   ...
///   if (shouldRefuse(rememberedWait(hints, priority, now), timeLeft))
///     refuse();
/// \endcode
#pragma once

#include "baobabpin/base/BootClock.h"

#include <chrono>
#include <map>
#include <optional>

namespace baobabpin::admission {

struct WaitHint {
  std::chrono::nanoseconds Wait{0};
  base::BootTime At{};
};

/// The latest report for each priority.
using WaitHints = std::map<int, WaitHint>;

inline constexpr std::chrono::milliseconds HintHalfLife{100};

void recordWait(WaitHints &hints, int priority, std::chrono::nanoseconds wait,
                base::BootTime now);

/// The wait that work of this priority has to expect; 0 if nothing is known.
/// Work waits at least as long as work of a higher priority, which has a lower
/// number.
std::chrono::nanoseconds rememberedWait(const WaitHints &hints, int priority,
                                        base::BootTime now);

/// What limits when a statement has to be done.
struct TimeBudget {
  int Priority = 0;
  std::chrono::nanoseconds TimeLeft{0};
  /// The time left until its target latency ends; empty if it is not known.
  std::optional<std::chrono::nanoseconds> TargetLeft;
};

/// A wait below this is not a reason to refuse work that has missed its target.
/// It is the shortest pause after a refusal.
inline constexpr std::chrono::milliseconds MinLateWait{25};

/// Whether the owner is expected to refuse the work because of \p wait, which
/// it has reported. An owner that refuses work lets no further work wait that
/// misses its target.
bool willBeRefused(std::chrono::nanoseconds wait, const TimeBudget &budget);

} // namespace baobabpin::admission
