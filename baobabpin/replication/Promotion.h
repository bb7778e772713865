/// Failure detection and promotion (design section 4.2).
#pragma once

#include "baobabpin/replication/Confirmation.h"
#include "baobabpin/replication/Group.h"

namespace baobabpin::replication::internal {

/// Time without an answer from the server, with a request outstanding.
base::Duration silenceOf(const GroupState &state, const ServerKnowledge &server,
                         base::TimePoint now);
bool isSuspect(const GroupState &state, const ServerKnowledge &server,
               base::TimePoint now);

/// Starts a promotion when one is called for; declares this node unfit when it
/// is the one that is cut off.
void detectFailure(GroupState &state, base::TimePoint now, Actions &out);

void startPromotion(GroupState &state, PromotionReason reason,
                    base::ServerId avoid, base::TimePoint now, Actions &out);
/// Advances a running promotion after an input.
void advancePromotion(GroupState &state, base::TimePoint now, Random &rng,
                      Actions &out);
void failPromotion(GroupState &state, PromotionFailure failure,
                   base::TimePoint now, Random &rng, Actions &out);

/// The server to promote: the highest position of the grants. \p avoid is
/// chosen only when its entries could be acknowledged ones.
base::ServerId chooseCandidate(const GroupState &state);

} // namespace baobabpin::replication::internal
