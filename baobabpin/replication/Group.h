/// Inputs of the decisions for one group: answers, failures and ticks go in,
/// actions come out.
///
/// \code
///   auto state = makeGroupState(config, now);
///   for (const Action &it : onTick(state, now, rng))
///     perform(it);
///   ...
///   perform(onReport(state, report, sentAt, receivedAt, rng));
/// \endcode
///
/// Call onTick on every turn of the event loop, at least every 10 ms: longer
/// gaps than Timing::PauseGap count as a pause of this process.
#pragma once

#include "baobabpin/replication/GroupState.h"

#include <random>

namespace baobabpin::replication {

using Random = std::mt19937_64;

Actions onTick(GroupState &state, base::TimePoint now, Random &rng);

/// Answer to a status request.
Actions onReport(GroupState &state, const ServerReport &report,
                 base::TimePoint sentAt, base::TimePoint receivedAt,
                 Random &rng);

/// Answer to a statement, a begin, commit or rollback.
Actions onStatementAnswer(GroupState &state, const StatementReport &report,
                          base::TimePoint sentAt, base::TimePoint receivedAt,
                          Random &rng);

/// A server refused a statement because of its term or role. \p serverTerm is
/// the term in its answer. Asks the server for its status.
Actions onStatementRefused(GroupState &state, const base::ServerId &server,
                           base::TermNumber serverTerm, base::TimePoint now,
                           Random &rng);

Actions onPrepareAnswer(GroupState &state, const PrepareAnswer &answer,
                        base::TimePoint sentAt, base::TimePoint receivedAt,
                        Random &rng);

Actions onPromoteAnswer(GroupState &state, const PromoteAnswer &answer,
                        base::TimePoint sentAt, base::TimePoint receivedAt,
                        Random &rng);

/// A request to \p server ended without an answer. Requests that ended by their
/// timeout are reported with TimedOut.
Actions onNoAnswer(GroupState &state, const base::ServerId &server,
                   RequestKind request, NoAnswerKind kind, base::TimePoint now,
                   Random &rng);

/// A statement for the group arrived: raises the heartbeat rate.
void noteRequest(GroupState &state, base::TimePoint now);

/// A write at \p position waits for its confirmation: the status requests carry
/// it from now on.
Actions awaitPosition(GroupState &state, base::LogPosition position,
                      base::TimePoint now);

/// Asks every server without an outstanding status exchange for its status, for
/// a confirmation of the term or a freshness proof.
Actions requestStatusRound(GroupState &state, base::TimePoint now);

} // namespace baobabpin::replication
