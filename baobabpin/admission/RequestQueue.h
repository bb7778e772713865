/// The bounded request queue of one database group. Requests are ordered by
/// priority; within a priority, sessions take turns (round robin), and the
/// requests of a session for the same target keep their order of arrival.
///
/// \code
///   auto change = enqueue(queue, request);
///   if (auto next = dequeue(queue, {.Primary = true, .Replica = false}))
///     send(*next);
///   for (auto it : takeExpired(queue, now))
///     refuse(it); // Its deadline has passed.
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

/// The priority of a request, highest first.
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
  /// Requests of one session keep their order within a target and priority.
  std::uint64_t Session = 0;
  base::TimePoint Deadline;
};

/// The targets that have a free slot.
struct FreeTargets {
  bool Primary = false;
  bool Replica = false;
};

struct QueueLimits {
  std::size_t Capacity = 256;
  /// One of this many dequeues starts with the lowest priority, so that
  /// requests of low priority do not starve.
  unsigned LowPriorityInterval = 8;
};

namespace internal {

/// The waiting requests of one priority and target, by session. SessionOrder
/// lists the sessions in the order in which they are served.
struct SessionRing {
  std::deque<std::uint64_t> SessionOrder;
  std::unordered_map<std::uint64_t, std::deque<QueuedRequest>> Waiting;
};

} // namespace internal

struct RequestQueue {
  QueueLimits Limits;
  std::array<std::array<internal::SessionRing, TargetServerCount>,
             PriorityCount>
      Rings;
  std::size_t Size = 0;
  unsigned DequeueCount = 0;
};

/// The result of enqueue().
struct EnqueueResult {
  bool Accepted = false;
  /// The request of lower priority that was removed from a full queue to make
  /// room; it did not run.
  std::optional<QueuedRequest> Evicted;
};

EnqueueResult enqueue(RequestQueue &queue, const QueuedRequest &request);

/// Removes and returns the next request for one of the targets in \p free.
std::optional<QueuedRequest> dequeue(RequestQueue &queue, FreeTargets free);

/// Removes and returns every request whose deadline is at or before \p now.
std::vector<QueuedRequest> takeExpired(RequestQueue &queue,
                                       base::TimePoint now);

/// Removes and returns all requests, for a group that this node no longer
/// serves.
std::vector<QueuedRequest> takeAll(RequestQueue &queue);

} // namespace baobabpin::admission
