/// The slots of one server: a running statement or an open transaction holds
/// one, everything else waits in order of arrival.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>

namespace standins::upstream {

/// Names who holds or awaits a slot.
using SlotTicket = std::uint64_t;

struct Slots {
  std::size_t Limit = 2;
  std::set<SlotTicket> Holders;
  std::deque<SlotTicket> Queue;
};

/// Whether \p ticket got a slot at once; otherwise it is queued.
inline bool acquire(Slots &slots, SlotTicket ticket) {
  if (slots.Queue.empty() && slots.Holders.size() < slots.Limit) {
    slots.Holders.insert(ticket);
    return true;
  }
  slots.Queue.push_back(ticket);
  return false;
}

/// Gives up the slot or the place in the queue. Returns the ticket that got the
/// slot, if one waited.
inline std::optional<SlotTicket> release(Slots &slots, SlotTicket ticket) {
  std::erase(slots.Queue, ticket);
  slots.Holders.erase(ticket);
  if (slots.Queue.empty() || slots.Holders.size() >= slots.Limit)
    return std::nullopt;
  SlotTicket next = slots.Queue.front();
  slots.Queue.pop_front();
  slots.Holders.insert(next);
  return next;
}

} // namespace standins::upstream
