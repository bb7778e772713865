#include "baobabpin/admission/RequestQueue.h"

#include <algorithm>

namespace baobabpin::admission {

using internal::SessionRing;

namespace {

SessionRing &ringOf(RequestQueue &queue, Priority level, TargetServer target) {
  return queue
      .Rings[static_cast<std::size_t>(level)][static_cast<std::size_t>(target)];
}

void dropSession(SessionRing &ring, std::uint64_t session) {
  ring.Waiting.erase(session);
  std::erase(ring.SessionOrder, session);
}

QueuedRequest popTurn(RequestQueue &queue, SessionRing &ring) {
  std::uint64_t session = ring.SessionOrder.front();
  ring.SessionOrder.pop_front();
  auto it = ring.Waiting.find(session);
  QueuedRequest request = it->second.front();
  it->second.pop_front();
  if (it->second.empty())
    ring.Waiting.erase(it);
  else
    ring.SessionOrder.push_back(session);
  --queue.Size;
  return request;
}

/// Removes and returns the newest request of the session at the end of the
/// turns in the lowest non-empty priority below \p level.
std::optional<QueuedRequest> evictBelow(RequestQueue &queue, Priority level) {
  for (std::size_t n = PriorityCount;
       n-- > static_cast<std::size_t>(level) + 1;) {
    for (auto &ring : queue.Rings[n]) {
      if (ring.SessionOrder.empty())
        continue;
      std::uint64_t session = ring.SessionOrder.back();
      auto &waiting = ring.Waiting[session];
      QueuedRequest request = waiting.back();
      waiting.pop_back();
      if (waiting.empty())
        dropSession(ring, session);
      --queue.Size;
      return request;
    }
  }
  return std::nullopt;
}

std::optional<QueuedRequest> popLevel(RequestQueue &queue, std::size_t level,
                                      FreeTargets free) {
  auto &targets = queue.Rings[level];
  auto &primary = targets[static_cast<std::size_t>(TargetServer::Primary)];
  auto &replica = targets[static_cast<std::size_t>(TargetServer::Replica)];
  if (free.Primary && !primary.SessionOrder.empty())
    return popTurn(queue, primary);
  if (free.Replica && !replica.SessionOrder.empty())
    return popTurn(queue, replica);
  return std::nullopt;
}

} // namespace

EnqueueResult enqueue(RequestQueue &queue, const QueuedRequest &request) {
  EnqueueResult result;
  if (queue.Size >= queue.Limits.Capacity) {
    result.Evicted = evictBelow(queue, request.Level);
    if (!result.Evicted)
      return result;
  }
  auto &ring = ringOf(queue, request.Level, request.Target);
  auto &waiting = ring.Waiting[request.Session];
  if (waiting.empty())
    ring.SessionOrder.push_back(request.Session);
  waiting.push_back(request);
  ++queue.Size;
  result.Accepted = true;
  return result;
}

std::optional<QueuedRequest> dequeue(RequestQueue &queue, FreeTargets free) {
  if (queue.Size == 0)
    return std::nullopt;
  bool lowFirst =
      (queue.DequeueCount + 1) % queue.Limits.LowPriorityInterval == 0;
  for (std::size_t n = 0; n < PriorityCount; ++n) {
    std::size_t level = lowFirst ? PriorityCount - 1 - n : n;
    auto request = popLevel(queue, level, free);
    if (!request)
      continue;
    ++queue.DequeueCount;
    return request;
  }
  return std::nullopt;
}

namespace {

template <typename Predicate>
std::vector<QueuedRequest> takeIf(RequestQueue &queue, Predicate leaves) {
  std::vector<QueuedRequest> taken;
  for (auto &rings : queue.Rings) {
    for (auto &ring : rings) {
      std::vector<std::uint64_t> emptied;
      for (auto &[session, waiting] : ring.Waiting) {
        auto stays = std::stable_partition(
            waiting.begin(), waiting.end(),
            [&](const QueuedRequest &it) { return !leaves(it); });
        taken.insert(taken.end(), stays, waiting.end());
        waiting.erase(stays, waiting.end());
        if (waiting.empty())
          emptied.push_back(session);
      }
      for (std::uint64_t session : emptied)
        dropSession(ring, session);
    }
  }
  queue.Size -= taken.size();
  return taken;
}

} // namespace

std::vector<QueuedRequest> takeExpired(RequestQueue &queue,
                                       base::TimePoint now) {
  if (queue.Size == 0)
    return {};
  return takeIf(queue,
                [&](const QueuedRequest &it) { return it.Deadline <= now; });
}

std::vector<QueuedRequest> takeAll(RequestQueue &queue) {
  return takeIf(queue, [](const QueuedRequest &) { return true; });
}

} // namespace baobabpin::admission
