/// Queries about the current primary, the confirmation of its term and the
/// acknowledgement of writes (design section 4.1). A term is confirmed when a
/// majority has reported a promise of it. A position is confirmed (in Raft:
/// committed) when a majority has promised one term, has a last log entry of
/// that term, and has logs that contain the position.
#pragma once

#include "baobabpin/replication/GroupState.h"

#include <optional>
#include <string_view>

namespace baobabpin::replication {

/// A primary and the term in which it is the primary.
struct PrimaryInTerm {
  base::ServerId Primary;
  base::TermNumber Term = 0;
};

/// Returns the primary of the highest term that is known to have one; empty
/// when none is known, when that primary has promised a later term, or when it
/// is not in the configuration.
std::optional<PrimaryInTerm> currentPrimary(const GroupState &state);

/// Returns the latest time at which a majority is proven to have held a
/// promise of \p term. Each server's newest confirmation counts from the time
/// its request was sent. Among the newest of these that form a majority, the
/// result is the oldest.
std::optional<base::TimePoint> termConfirmedSince(const GroupState &state,
                                                  base::TermNumber term);

/// Why no write may be sent to the primary.
enum class WriteBlockReason {
  NoPrimary,
  /// No majority has confirmed the term recently. requestStatusRound() asks for
  /// new confirmations.
  TermNotConfirmed,
  PrimarySuspect,
  PromotionRunning,
  HandoverRunning,
};

/// Returns why no write may be sent now; empty when a write may be sent to
/// currentPrimary(). A write that has been held back for this reason since it
/// arrived has not run, so it may be reported as not_run.
std::optional<WriteBlockReason> writeBlockReason(const GroupState &state,
                                                 base::TimePoint now);

/// Returns the term in which \p position is confirmed, or nothing when it is
/// not. A write, or a replayed idempotency record of any term, may be
/// acknowledged only when its position is confirmed, because no later failover
/// can remove it then. The term may be later than the position's own: a term
/// that replaced the write may itself have been replaced by a term whose
/// primary's log contains the write.
std::optional<base::TermNumber> confirmingTerm(const GroupState &state,
                                               base::LogPosition position);
bool isConfirmed(const GroupState &state, base::LogPosition position);

/// Whether a majority confirmed \p term by requests sent at or after \p since.
/// A strict read that ran in this term before \p since may then be answered.
bool isTermConfirmedSince(const GroupState &state, base::TermNumber term,
                          base::TimePoint since);

/// Whether the server's newest report answers a request that was sent at most
/// Timing::ReachableWithin ago.
bool isReachable(const GroupState &state, const ServerState &server,
                 base::TimePoint now);

std::size_t reachableCount(const GroupState &state, base::TimePoint now);

/// Returns the share of the normal load that a server may get. The share grows
/// from Timing::SlowStartWeight to 1 during Timing::SlowStart after the server
/// became reachable again.
double slowStartWeight(const GroupState &state, const base::ServerId &server,
                       base::TimePoint now);

std::string_view writeBlockReasonName(WriteBlockReason block);

} // namespace baobabpin::replication
