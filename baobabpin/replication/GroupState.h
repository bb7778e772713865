/// What one node knows about one database group.
///
/// The state is plain data. The functions of Group.h and Handover.h change it;
/// those of Confirmation.h and Freshness.h query it. All times are those of
/// this node's monotonic clock.
#pragma once

#include "baobabpin/replication/Actions.h"
#include "baobabpin/replication/GroupConfig.h"
#include "baobabpin/replication/ServerReport.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace baobabpin::replication {

/// What this node knows about one server.
struct ServerState {
  ServerConfig Config;
  /// A planned stop is declared for the server, so it gets no new requests.
  bool HasPlannedStop = false;
  /// The newest accepted report; empty before the first one.
  std::optional<ServerReport> Report;
  /// Send time of the request that Report answers.
  base::TimePoint ReportSentAt;
  /// Latest send time of a request whose answer confirmed Report->PromisedTerm.
  base::TimePoint PromiseSentAt;
  /// Latest send time of any answered request.
  std::optional<base::TimePoint> AnsweredSentAt;
  /// Arrival time of the last answer.
  std::optional<base::TimePoint> AnsweredAt;
  /// Send time of the outstanding status request; empty when there is none.
  std::optional<base::TimePoint> StatusSentAt;
  base::TimePoint StatusDeadline;
  /// Since when a request to the server has been unanswered; empty when none
  /// is.
  std::optional<base::TimePoint> UnansweredSince;
  /// Send time of the last status request.
  std::optional<base::TimePoint> LastStatusRequestAt;
  unsigned ConsecutiveRefusals = 0;
  std::optional<base::TimePoint> FollowSentAt;
  /// Since when the server has been known to have promised a term above the
  /// primary's.
  std::optional<base::TimePoint> StrandedSince;
  /// When the server answered again after an absence: its slow start begins.
  std::optional<base::TimePoint> ReturnedAt;
};

/// A position at which the primary's log ended, and the time before which all
/// acknowledged writes are proven to be at or below it.
struct FreshnessSample {
  base::LogPosition Position;
  /// Send time of the request whose answer reported the position.
  base::TimePoint SentAt;
  /// Every write acknowledged before this time is at or below Position; empty
  /// before the first proof.
  std::optional<base::TimePoint> ProvenSince;
};

enum class PromotionStage {
  Idle,
  Preparing, ///< Collects promises of the new term.
  Promoting, ///< Waits for the chosen server's answer to the promote request.
  Backoff    ///< Waits until RetryAt after a failure.
};

/// The state of a promotion, which makes one server the primary of a new term.
struct Promotion {
  PromotionStage Stage = PromotionStage::Idle;
  PromotionReason Reason = PromotionReason::NoPrimary;
  base::TermNumber Term = 0;
  /// When the stage began.
  base::TimePoint StageAt;
  /// The servers that granted the term, with the ends of their logs.
  std::map<base::ServerId, base::LogPosition> Grants;
  /// Servers whose prepare request ended without an answer.
  std::set<base::ServerId> UnansweredPrepares;
  /// This server is promoted only when no other choice is safe; may be empty.
  base::ServerId AvoidedServer;
  /// The server that the promote request was sent to.
  base::ServerId Chosen;
  base::TimePoint RetryAt;
};

enum class HandoverStage {
  Idle,
  AwaitingWrites, ///< New writes are held back until those in flight have
                  ///< ended.
  CatchingUp,     ///< Waits until a replica has the primary's last position.
  Promoting,      ///< A promotion is running.
};

/// The state of a planned handover.
struct Handover {
  HandoverStage Stage = HandoverStage::Idle;
  base::TimePoint StartedAt;
  /// When the last write in flight had ended.
  base::TimePoint DrainedAt;
  /// The primary that is to be replaced.
  base::ServerId From;
};

struct GroupState {
  GroupConfig Config;
  std::vector<ServerState> Servers;
  /// Highest term in any message so far, including this node's own prepare
  /// requests.
  base::TermNumber HighestTerm = 0;
  /// Ordered by position.
  std::deque<FreshnessSample> Samples;
  Promotion CurrentPromotion;
  Handover CurrentHandover;
  /// Highest position for which a write awaits confirmation.
  base::LogPosition AwaitedPosition;
  /// Whether this node acts as the group's owner. Only then does it promote
  /// servers, start handovers and send follow requests.
  bool Active = true;
  /// Every member is unfit and this node is the first in the order of
  /// preference. It then replaces a suspect primary even if replicas are in
  /// contact with that primary.
  bool LastResort = false;
  /// When the last request for the group arrived.
  std::optional<base::TimePoint> LastRequestAt;
  std::optional<base::TimePoint> LastInputAt;
  /// Failure detection ignores silence before this time. It is the creation of
  /// this state or the end of the last pause of this process.
  base::TimePoint SuspicionStart;
  /// Since when no majority has been reachable and so many servers have been
  /// silent for Timing::SuspectAfter that the others are no majority.
  std::optional<base::TimePoint> NoMajoritySince;
  /// Since when no primary has been known although a majority answers.
  std::optional<base::TimePoint> NoPrimarySince;
  /// Since when the primary has answered while no replica was in contact with
  /// it.
  std::optional<base::TimePoint> StallSince;
  std::optional<base::TimePoint> UnfitUntil;
  /// Whether the primary was suspect at the last check, so that
  /// PrimarySuspected is reported only once.
  bool WasPrimarySuspect = false;
  /// The term in the last PrimaryChanged.
  base::TermNumber ReportedTerm = 0;
};

/// Makes the state of a node that has not received any answer yet.
GroupState makeGroupState(GroupConfig config, base::TimePoint now);

/// Applies a changed configuration, keeps what is known about the remaining
/// servers, and cancels a running promotion or handover. Callers must not add
/// or remove more than one server at a time (design section 4.8).
void reconfigure(GroupState &state, GroupConfig config);

/// Sets or clears ServerState::HasPlannedStop.
void setPlannedStop(GroupState &state, const base::ServerId &server,
                    bool planned);

/// Whether the server gets no new requests, by its own report or because of a
/// planned stop.
bool isLeaving(const ServerState &server);

ServerState *findServer(GroupState &state, const base::ServerId &id);
const ServerState *findServer(const GroupState &state,
                              const base::ServerId &id);

} // namespace baobabpin::replication
