/// Proofs of the age of data, and the qualification of replicas for reads
/// (design section 4.4).
///
/// A position that the primary of term t reported is *proven since s* when a
/// majority confirmed term t, and the primary reported the position, by answers
/// to requests sent at or after s. Every write acknowledged before s is then at
/// or below the position. A log that ends at or above the position (compared by
/// term, then index) holds all those writes.
#pragma once

#include "baobabpin/replication/GroupState.h"

#include <optional>

namespace baobabpin::replication {

/// What a read requires of the data; an empty field requires nothing.
struct ReadRequirement {
  /// The data must include the session's own writes up to this position.
  std::optional<base::LogPosition> Session;
  /// Upper limit of the data's age.
  std::optional<base::Duration> MaxAge;
};

/// Returns an upper bound of the age of data read at \p position, including the
/// allowance for clock drift; empty when no age is proven. Callers have to
/// check the age again, with the position in the answer, when the answer has
/// arrived, because the data has aged in the meantime.
std::optional<base::Duration> provenAge(const GroupState &state,
                                        base::LogPosition position,
                                        base::TimePoint now);

enum class Qualification {
  Qualifies,
  SlightlyBehind,   ///< Lacks the position; its lag is below Timing::ShortLag.
  Behind,           ///< Lacks the position.
  PositionReplaced, ///< The server's log has replaced the session's position.
  TooOld,           ///< The data is not proven to be within the maximum age.
  Unreachable,      ///< The server is suspect or has not reported yet.
  Leaving,          ///< The server gets no new requests.
};

struct ReadQualification {
  Qualification Result = Qualification::Unreachable;
  /// Minimum position to send with the read (`min_position`), so that the
  /// server checks its log itself.
  base::LogPosition MinPosition;
};

/// Decides by the newest report whether \p server qualifies for a read.
ReadQualification qualifyForRead(const GroupState &state,
                                 const base::ServerId &server,
                                 const ReadRequirement &wanted,
                                 base::TimePoint now);

/// Whether data at the position \p answered satisfies the read's maximum age.
bool isWithinMaxAge(const GroupState &state, const ReadRequirement &wanted,
                    base::LogPosition answered, base::TimePoint now);

/// Whether a failover removed \p position from the group's log for good: a
/// majority has promised a term, has a last log entry of it, and a log among
/// theirs has replaced the position. Only then may a session get the error
/// position_lost, and only then is an unconfirmed write lost. The error
/// `position_lost` of a single server is not enough, because its term may
/// itself be replaced by a term whose primary's log contains the position.
bool isPositionLost(const GroupState &state, base::LogPosition position);

/// Estimates the replication lag of \p server at its last report.
base::Duration replicationLag(const GroupState &state,
                              const ServerState &server);

namespace internal {
/// Records as a sample that the primary's log ended at \p position at some time
/// after \p sentAt.
void recordSample(GroupState &state, base::LogPosition position,
                  base::TimePoint sentAt);
/// Updates ProvenSince of the samples by the newest confirmations of their
/// term.
void extendProofs(GroupState &state);
} // namespace internal

} // namespace baobabpin::replication
