/// All that one node knows about one database group.
///
/// Plain data: the functions of Group.h, Confirmation.h, Freshness.h and
/// Handover.h change and query it. All times are of this node's clock.
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

/// What is known of one server.
struct ServerKnowledge {
  ServerConfig Config;
  /// Declared by a planned stop: gets no new work.
  bool Stopping = false;
  /// Newest accepted report; empty until the first answer.
  std::optional<ServerReport> Report;
  /// Send time of the request that Report answers.
  base::TimePoint ReportSentAt;
  /// Latest send time of a request whose answer proved Report->PromisedTerm.
  base::TimePoint PromiseSentAt;
  /// Latest send time of any answered request, and its arrival.
  std::optional<base::TimePoint> AnsweredSentAt;
  std::optional<base::TimePoint> AnsweredAt;
  /// The outstanding status exchange; at most one.
  std::optional<base::TimePoint> StatusSentAt;
  base::TimePoint StatusDeadline;
  /// When the oldest request since the last answer was sent.
  std::optional<base::TimePoint> UnansweredSince;
  std::optional<base::TimePoint> LastAttemptAt;
  unsigned ConsecutiveRefusals = 0;
  std::optional<base::TimePoint> FollowSentAt;
  /// Since when the server holds a promise above the primary's term.
  std::optional<base::TimePoint> StrandedSince;
  /// When the server came back after an absence; start of its slow start.
  std::optional<base::TimePoint> ReturnedAt;
};

/// A position that the primary reported, and since when it is proven to hold
/// every acknowledged write.
struct FreshnessSample {
  base::LogPosition Position;
  base::TimePoint SentAt;
  /// Every write acknowledged before this is at or below Position.
  std::optional<base::TimePoint> ProvenSince;
};

enum class PromotionStage { Idle, Preparing, Promoting, Backoff };

struct Promotion {
  PromotionStage Stage = PromotionStage::Idle;
  PromotionReason Reason = PromotionReason::NoPrimary;
  base::TermNumber Term = 0;
  base::TimePoint StageAt;
  std::map<base::ServerId, base::LogPosition> Grants;
  /// Servers whose prepare ended without an answer.
  std::set<base::ServerId> Silent;
  /// Not chosen while another choice is safe.
  base::ServerId Avoid;
  base::ServerId Chosen;
  base::TimePoint RetryAt;
};

enum class HandoverStage {
  Idle,
  Draining,   ///< New writes are held; waiting for those in flight.
  CatchingUp, ///< Waiting for a replica at the primary's last position.
  Promoting,  ///< The promotion runs.
};

struct Handover {
  HandoverStage Stage = HandoverStage::Idle;
  base::TimePoint StartedAt;
  base::TimePoint DrainedAt;
  base::ServerId From;
};

struct GroupState {
  GroupConfig Config;
  std::vector<ServerKnowledge> Servers;
  /// Highest term that any message mentioned, or that this node asked for.
  base::TermNumber HighestTerm = 0;
  std::deque<FreshnessSample> Samples;
  Promotion Promoting;
  Handover Handing;
  /// Highest position that a write waits for.
  base::LogPosition Awaited;
  /// Only the active owner promotes; others only answer queries.
  bool Active = true;
  /// Every member is unfit and this node is the first of the order: it promotes
  /// although replicas hear the primary.
  bool LastResort = false;
  std::optional<base::TimePoint> LastWorkAt;
  std::optional<base::TimePoint> LastInputAt;
  /// Silence before this moment does not count.
  base::TimePoint SuspicionStart;
  std::optional<base::TimePoint> NoMajoritySince;
  /// Since when no primary is known although servers answer.
  std::optional<base::TimePoint> NoPrimarySince;
  /// Since when the primary answers but no replica hears it.
  std::optional<base::TimePoint> StallSince;
  std::optional<base::TimePoint> UnfitUntil;
  bool Suspecting = false;
  /// Primary and term at the last PrimaryChanged.
  base::TermNumber AnnouncedTerm = 0;
};

/// The state of a node that has not heard from any server.
GroupState makeGroupState(GroupConfig config, base::TimePoint now);

/// Takes a changed configuration and keeps what is known of the servers that
/// stay. At most one server may be added or removed at a time (design section
/// 4.8).
void reconfigure(GroupState &state, GroupConfig config);

/// Marks a server for a planned stop, or takes the mark back.
void setStopping(GroupState &state, const base::ServerId &server,
                 bool stopping);

/// Whether the server gets no new work: by its own report or a planned stop.
bool isLeaving(const ServerKnowledge &server);

ServerKnowledge *findServer(GroupState &state, const base::ServerId &id);
const ServerKnowledge *findServer(const GroupState &state,
                                  const base::ServerId &id);

} // namespace baobabpin::replication
