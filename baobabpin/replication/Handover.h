/// Planned handover of the primary (design section 4.10): hold new writes, wait
/// for those in flight, wait for a replica at the primary's position, promote.
#pragma once

#include "baobabpin/replication/Group.h"

namespace baobabpin::replication {

/// Starts a handover; writeBlockReason() is HandoverRunning until it ends.
/// Returns no actions and does nothing when no handover is possible now: no
/// primary, not active, or a promotion or handover is running.
Actions startHandover(GroupState &state, base::TimePoint now);

/// Tells how many writes and transactions are in flight. The owner calls it
/// when the number reaches 0 during a handover.
Actions onWritesInFlight(GroupState &state, std::size_t count,
                         base::TimePoint now, Random &rng);

namespace internal {
/// Advances the handover after any input.
void advanceHandover(GroupState &state, base::TimePoint now, Actions &out);
} // namespace internal

} // namespace baobabpin::replication
