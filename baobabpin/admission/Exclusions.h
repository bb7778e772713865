/// The servers that are not to be asked for a while, as one statement has seen
/// them. A refusal excludes its server for a short time only.
///
/// Load pattern: two replicas of a group lag for ten seconds and its primary is
/// overloaded. When each refusal excluded its server for good, a read ended
/// after three refusals within milliseconds, with most of its time left. When
/// it asked again without a pause, it would multiply the load instead. The
/// pauses double with each refusal of the statement, so a statement makes a
/// number of attempts that grows with the logarithm of its time limit.
///
/// \code
///   exclude(exclusions, server, Failure::Refused, now);
///   ...
///   auto pause = excludedFor(exclusions, server, now);
/// \endcode
#pragma once

#include "baobabpin/base/BootClock.h"
#include "baobabpin/base/Identifiers.h"

#include <chrono>
#include <map>

namespace baobabpin::admission {

/// How an attempt failed.
enum class Failure {
  Refused,     ///< The server or its owner did not run the statement.
  NoReply,     ///< The reply was lost or slow, or the server failed.
  Unreachable, ///< The server or its owner cannot be reached.
};

struct Exclusion {
  base::BootTime Until{};
  bool Unreachable = false;
};

struct Exclusions {
  std::map<base::ServerId, Exclusion> Servers;
  int Refusals = 0;
};

/// The pause after the first refusal of a statement, which doubles with each
/// further one.
inline constexpr std::chrono::milliseconds FirstPause{25};
inline constexpr std::chrono::milliseconds MaxPause{800};
/// A server that gave no reply in time is not asked again for this long. A read
/// waits 250 ms for a reply before it is tried elsewhere.
inline constexpr std::chrono::milliseconds NoReplyPause{500};
/// A server that could not be reached is not asked again for this long, which
/// is how long a node waits before it connects to a lost owner again.
inline constexpr std::chrono::milliseconds UnreachablePause{700};

void exclude(Exclusions &exclusions, const base::ServerId &server,
             Failure failure, base::BootTime now);

/// The time until the server may be asked again; 0 if it may be asked now.
std::chrono::nanoseconds excludedFor(const Exclusions &exclusions,
                                     const base::ServerId &server,
                                     base::BootTime now);

/// Whether the server is excluded because it cannot be reached.
bool isOutOfReach(const Exclusions &exclusions, const base::ServerId &server,
                  base::BootTime now);

} // namespace baobabpin::admission
