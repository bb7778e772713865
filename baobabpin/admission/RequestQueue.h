/// The bounded queue of one database group: priority first, round robin over
/// sessions within a priority, then order of arrival.
///
/// \code
///   auto change = enqueue(queue, request);
///   if (auto next = dequeue(queue, {.Primary = true, .Replica = false}))
///     send(*next);
///   for (auto it : takeExpired(queue, now))
///     refuse(it);
/// \endcode
#pragma once

#include "baobabpin/base/Time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace baobabpin::admission {

/// Highest first.
enum class Priority : std::uint8_t { Urgent, High, Normal, Low };
inline constexpr std::size_t PriorityCount = 4;

/// Which server a request needs.
enum class TargetServer : std::uint8_t {
  Primary, ///< Only the primary may run it.
  Replica, ///< A replica may run it.
};
inline constexpr std::size_t TargetServerCount = 2;

struct QueuedRequest {
  std::uint64_t Id = 0;
  Priority Level = Priority::Normal;
  TargetServer Target = TargetServer::Primary;
  /// Requests of one session keep their order within a lane and priority.
  std::uint64_t Session = 0;
  base::TimePoint Deadline;
};

/// Lanes for which a slot is free.
struct FreeTargets {
  bool Primary = false;
  bool Replica = false;
};

struct QueueLimits {
  std::size_t Capacity = 256;
  /// One of this many dequeues starts with the lowest priority, which keeps
  /// low priorities from starving.
  unsigned LowPriorityTurn = 8;
};

namespace internal {

/// Requests of one priority and lane.
struct SessionRing {
  std::deque<std::uint64_t> Turns;
  std::unordered_map<std::uint64_t, std::deque<QueuedRequest>> Waiting;
};

} // namespace internal

struct RequestQueue {
  QueueLimits Limits;
  std::array<std::array<internal::SessionRing, TargetServerCount>,
             PriorityCount>
      Rings;
  std::size_t Size = 0;
  unsigned Turn = 0;
};

/// What enqueue() did.
struct EnqueueResult {
  bool Accepted = false;
  /// A request of lower priority that had to leave; it did not run.
  std::optional<QueuedRequest> Evicted;
};

EnqueueResult enqueue(RequestQueue &queue, const QueuedRequest &request);

/// The next request for one of the open lanes.
std::optional<QueuedRequest> dequeue(RequestQueue &queue, FreeTargets open);

/// Removes every request whose deadline is at or before \p now.
std::vector<QueuedRequest> takeExpired(RequestQueue &queue,
                                       base::TimePoint now);

/// Removes everything, for a group that this node no longer serves.
std::vector<QueuedRequest> takeAll(RequestQueue &queue);

} // namespace baobabpin::admission
