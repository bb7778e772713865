/// Freshness proofs and the qualification of replicas for reads (design section
/// 4.4).
///
/// A position that the primary of term t reported is *proven since s* when a
/// majority confirmed term t, and the primary answered, by requests sent at or
/// after s: every write acknowledged before s is at or below it. A log that
/// ends at or above it (by term, then index) holds all those writes.
#pragma once

#include "baobabpin/replication/GroupState.h"

#include <optional>

namespace baobabpin::replication {

/// What a read asks for; an empty field asks for nothing.
struct ReadRequirement {
  std::optional<base::LogPosition> Session;
  std::optional<base::Duration> MaxAge;
};

/// Upper bound of the age of data read at \p position, with the allowance for
/// clock drift; empty when nothing is proven. Check it again when the answer
/// has arrived, with the position in the answer: the answer may be late.
std::optional<base::Duration> provenAge(const GroupState &state,
                                        base::LogPosition position,
                                        base::TimePoint now);

enum class Qualification {
  Qualifies,
  SlightlyBehind, ///< Only the position is missing, lag below ShortLag.
  Behind,         ///< The position is missing.
  PositionLost,   ///< The server's history replaced the session's position.
  TooOld,         ///< No proof that is young enough.
  Unreachable,    ///< Does not answer, or no report yet.
  Leaving,        ///< Gets no new work.
};

struct ReadFit {
  Qualification Result = Qualification::Unreachable;
  /// Guard to send with the read (`min_position`).
  base::LogPosition MinPosition;
};

/// Whether \p server is known to qualify for a read.
ReadFit qualifyForRead(const GroupState &state, const base::ServerId &server,
                       const ReadRequirement &wanted, base::TimePoint now);

/// Whether an answer satisfies the age that the read asked for.
bool isWithinMaxAge(const GroupState &state, const ReadRequirement &wanted,
                    base::LogPosition answered, base::TimePoint now);

/// Whether \p position is in no surviving history: a majority serves a term
/// whose history replaced it. Only then may a session get position_lost, and
/// only then is an unconfirmed write lost. The `position_lost` of one server is
/// not enough: its term may itself be replaced by one that has the position.
bool isPositionLost(const GroupState &state, base::LogPosition position);

/// Estimated replication lag of \p server at its last report.
base::Duration replicationLag(const GroupState &state,
                              const ServerKnowledge &server);

namespace internal {
/// Takes the end of the primary's log as a sample. It was the end at some time
/// after \p sentAt.
void recordSample(GroupState &state, base::LogPosition position,
                  base::TimePoint sentAt);
/// Extends the proofs by what the newest reports confirm.
void extendProofs(GroupState &state);
} // namespace internal

} // namespace baobabpin::replication
