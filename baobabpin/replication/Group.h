/// The failover logic of one database group, as a state machine: answers,
/// failures and ticks are its inputs, and each input returns the actions that
/// the caller has to perform.
///
/// \code
///   auto state = makeGroupState(config, now);
///   for (const Action &it : onTick(state, now, rng))
///     perform(it);
///   ...
///   perform(onReport(state, report, sentAt, receivedAt, rng));
/// \endcode
///
/// The caller has to call onTick() at least every 10 ms. A gap between two
/// inputs that is longer than Timing::PauseGap counts as a pause of this
/// process.
#pragma once

#include "baobabpin/replication/GroupState.h"

#include <random>

namespace baobabpin::replication {

using Random = std::mt19937_64;

/// Lets time-dependent steps run.
Actions onTick(GroupState &state, base::TimePoint now, Random &rng);

/// Takes the answer to a status request.
Actions onReport(GroupState &state, const ServerReport &report,
                 base::TimePoint sentAt, base::TimePoint receivedAt,
                 Random &rng);

/// Takes the answer to a statement or to a begin, commit or rollback.
Actions onStatementAnswer(GroupState &state, const StatementReport &report,
                          base::TimePoint sentAt, base::TimePoint receivedAt,
                          Random &rng);

/// Takes note that a server refused a statement because of its term or role,
/// and asks the server for its status. \p serverTerm is the term in its answer.
Actions onStatementRefused(GroupState &state, const base::ServerId &server,
                           base::TermNumber serverTerm, base::TimePoint now,
                           Random &rng);

Actions onPrepareAnswer(GroupState &state, const PrepareAnswer &answer,
                        base::TimePoint sentAt, base::TimePoint receivedAt,
                        Random &rng);

Actions onPromoteAnswer(GroupState &state, const PromoteAnswer &answer,
                        base::TimePoint sentAt, base::TimePoint receivedAt,
                        Random &rng);

/// Takes note that a request to \p server ended without an answer. \p kind is
/// TimedOut when a timeout or an abort by the owner ended the request.
Actions onNoAnswer(GroupState &state, const base::ServerId &server,
                   RequestKind request, NoAnswerKind kind, base::TimePoint now,
                   Random &rng);

/// Takes note that a request for the group arrived, which raises the rate of
/// the status requests.
void noteRequest(GroupState &state, base::TimePoint now);

/// Takes note that a write at \p position awaits its confirmation. From now on
/// the status requests ask the replicas to answer when they reach it.
Actions awaitPosition(GroupState &state, base::LogPosition position,
                      base::TimePoint now);

/// Asks every server without an outstanding status request for its status, to
/// get a confirmation of the term or a proof of the data's age.
Actions requestStatusRound(GroupState &state, base::TimePoint now);

} // namespace baobabpin::replication
