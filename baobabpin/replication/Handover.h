/// Planned handover of the primary role to a replica (design section 4.10). A
/// handover holds back new writes, waits until those in flight have ended,
/// waits until a replica has reached the primary's position, and promotes a
/// replica.
#pragma once

#include "baobabpin/replication/Group.h"

namespace baobabpin::replication {

/// Starts a handover; writeBlockReason() is HandoverRunning until it ends. Does
/// nothing and returns no actions when no handover is possible now: no primary
/// is known, this node is not active, or a promotion or handover is running.
Actions startHandover(GroupState &state, base::TimePoint now);

/// Reports how many writes and transactions are in flight. During a handover
/// the owner calls this whenever the number may have reached 0.
Actions onWritesInFlight(GroupState &state, std::size_t count,
                         base::TimePoint now, Random &rng);

namespace internal {
/// Moves the handover to its next stage when possible; called after any input.
void advanceHandover(GroupState &state, base::TimePoint now, Actions &out);
} // namespace internal

} // namespace baobabpin::replication
