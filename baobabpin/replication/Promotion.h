/// Failure detection and promotion (design section 4.2).
#pragma once

#include "baobabpin/replication/Confirmation.h"
#include "baobabpin/replication/Group.h"

namespace baobabpin::replication::internal {

/// Returns how long the server has left requests unanswered; 0 when none is
/// outstanding.
base::Duration silenceOf(const GroupState &state, const ServerState &server,
                         base::TimePoint now);
/// Whether the server has been silent for Timing::SuspectAfter or has refused
/// too many connections in a row.
bool isSuspect(const GroupState &state, const ServerState &server,
               base::TimePoint now);

/// Starts a promotion when the primary has failed or does not replicate, when
/// none is known, or when a server holds a stranded promise. Declares this node
/// unfit when only this node has lost contact with the primary, or when it
/// can't reach a majority.
void detectFailure(GroupState &state, base::TimePoint now, Actions &out);

void startPromotion(GroupState &state, PromotionReason reason,
                    base::ServerId avoid, base::TimePoint now, Actions &out);
/// Moves a running promotion to its next stage when possible; called after any
/// input.
void advancePromotion(GroupState &state, base::TimePoint now, Random &rng,
                      Actions &out);
/// Ends the running promotion as failed and starts the backoff.
void failPromotion(GroupState &state, PromotionFailure failure,
                   base::TimePoint now, Random &rng, Actions &out);

/// Returns the server to promote: the one with the highest position among those
/// that granted the term. Promotion::AvoidedServer is chosen only when it alone
/// may hold an acknowledged write.
base::ServerId chooseServerToPromote(const GroupState &state);

} // namespace baobabpin::replication::internal
