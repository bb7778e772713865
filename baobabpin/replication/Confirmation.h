/// Queries about the primary, the term and acknowledged writes (design section
/// 4.1).
#pragma once

#include "baobabpin/replication/GroupState.h"

#include <optional>
#include <string_view>

namespace baobabpin::replication {

struct Leadership {
  base::ServerId Primary;
  base::TermNumber Term = 0;
};

/// The primary of the highest term that is known to have one.
std::optional<Leadership> currentPrimary(const GroupState &state);

/// The latest time at which a majority is proven to have served \p term: the
/// send time of the oldest of the newest confirmations that form a majority.
std::optional<base::TimePoint> termConfirmedSince(const GroupState &state,
                                                  base::TermNumber term);

enum class WriteBlockReason {
  NoPrimary,
  TermNotConfirmed, ///< Call requestStatusRound and wait for the answers.
  PrimarySuspect,
  PromotionRunning,
  HandoverRunning,
};

/// Why no write may be sent now; empty when one may be sent to
/// currentPrimary(). A refusal here is a true not_run.
std::optional<WriteBlockReason> writeBlockReason(const GroupState &state,
                                                 base::TimePoint now);

/// Whether a write (or a replayed record, whatever its term) is in the history
/// that survives for ever: the rule for its acknowledgement. A majority has
/// reported a promise for one term, a last entry of that term, and a log that
/// contains \p position.
/// Returns the term that confirms it, which may be later than its own: a term
/// that replaced the write may itself have been replaced by one that has it.
std::optional<base::TermNumber> confirmingTerm(const GroupState &state,
                                               base::LogPosition position);
bool isConfirmed(const GroupState &state, base::LogPosition position);

/// Whether the answer of a strict read of \p term may be returned: a majority
/// confirmed the term by requests sent at or after \p since.
bool isTermConfirmedSince(const GroupState &state, base::TermNumber term,
                          base::TimePoint since);

/// Whether the server's newest status answer belongs to a request that was sent
/// within Timing::ReachableWithin.
bool isReachable(const GroupState &state, const ServerKnowledge &server,
                 base::TimePoint now);

std::size_t reachableCount(const GroupState &state, base::TimePoint now);

/// Share of the normal load for a server, 0.1 to 1; grows over
/// Timing::SlowStart after the server came back.
double slowStartWeight(const GroupState &state, const base::ServerId &server,
                       base::TimePoint now);

std::string_view writeBlockReasonName(WriteBlockReason block);

} // namespace baobabpin::replication
