/// Chooses the server for a read that any sufficiently fresh server may run.
#pragma once

#include "baobabpin/base/BootClock.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace baobabpin::cluster {

/// A server that may run the read, and what this node knows about it.
struct ReadCandidate {
  /// The server is in the availability zone of this node.
  bool SameZone = false;
  /// The server is the primary of the group, which alone can run writes.
  bool Primary = false;
  bool Unreachable = false;
  /// The log of the server is known to include the required position.
  bool CoversPosition = false;
  /// The time until the server may be asked and is expected to have the
  /// required position. A server that has to be waited for is not chosen.
  std::chrono::nanoseconds ReadyIn{0};
  /// The expected wait in the queue of the owner of its connections.
  std::chrono::nanoseconds QueueWait{0};
  /// The owner would refuse the read because of QueueWait.
  bool Overloaded = false;
  /// The time since the server last lacked a required position.
  std::chrono::nanoseconds SinceLagging{0};
  /// The moving average of the time until a reply, or 0 if none is known. The
  /// server is then taken to be as fast as the median of the others.
  std::chrono::nanoseconds Latency{0};
  /// The statements of this node that the server runs or that wait for it.
  std::size_t Load = 0;
  /// The connections of this node to the server.
  std::size_t Connections = 0;
};

/// The cost that is added to a server in another zone: the round trip, and the
/// price of the traffic.
inline constexpr std::chrono::microseconds OtherZoneCost{3000};
/// The cost that is added to the primary, whose slots are needed for writes and
/// strict reads.
inline constexpr std::chrono::milliseconds PrimaryCost{40};
/// The cost that is added to a server that lagged within RecentLagPeriod and is
/// not known to have caught up.
inline constexpr std::chrono::milliseconds LaggingCost{200};
inline constexpr std::chrono::milliseconds RecentLagPeriod{150};

/// How often a read that waits for a server is planned again, because the
/// server may become ready earlier than expected. Planning sends no message.
inline constexpr std::chrono::milliseconds ReplanInterval{100};

enum class ReadStep {
  Send,        ///< Send the read to a server.
  Wait,        ///< Plan again after a delay.
  NotInTime,   ///< No reachable server is expected to be ready in time.
  NoneInReach, ///< No server can be reached.
};

struct ReadPlan {
  ReadStep Step = ReadStep::NoneInReach;
  /// The index of the server, for Send.
  std::size_t Server = 0;
  /// For Wait.
  std::chrono::nanoseconds Delay{0};
  /// A server was not considered because it is overloaded.
  bool Overloaded = false;
};

/// Plans the next step of a read that has \p timeLeft. Of the servers that are
/// ready, the one with the lowest cost, which is the expected time to
/// completion, is chosen.
///
/// Load pattern: two replicas of a group lag for seconds and its primary is
/// overloaded, so that each of them refuses the read once. The read waits until
/// one of them is ready, and does not fail while it has time.
ReadPlan planRead(const std::vector<ReadCandidate> &candidates,
                  std::chrono::nanoseconds timeLeft);

} // namespace baobabpin::cluster
