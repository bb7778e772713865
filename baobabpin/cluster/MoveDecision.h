/// Decides when a group gets another primary, and which node runs the failover.
///
/// A failover replaces the primary of a group, either because the primary has
/// failed or because it is leaving (a planned failover). Log events and JSON
/// keys call it a "move".
#pragma once

#include "baobabpin/base/BootClock.h"
#include "baobabpin/base/Identifiers.h"
#include "baobabpin/base/LogPosition.h"
#include "baobabpin/cluster/Types.h"
#include "baobabpin/sql/Statement.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabpin::cluster {

/// A primary is suspected when it has not replied to probes for this long.
/// Probes are sent every 200 ms and need no slot at the server.
inline constexpr std::chrono::milliseconds SuspectAfter{450};
/// The shorter limit that applies when connections to the primary fail at once.
inline constexpr std::chrono::milliseconds SuspectUnreachableAfter{250};
/// A node that received a reply from the primary within this time confirms that
/// the primary is alive.
inline constexpr std::chrono::milliseconds AliveReplyAge{450};
/// A node that gets evidence from fewer than half of the nodes it asks, because
/// they do not answer or are unsure, starts a failover only after this time
/// without a reply from the primary. The delay does not apply to a planned
/// failover, to a takeover, or to a primary that never replied to this node.
inline constexpr std::chrono::milliseconds IsolatedNodeDelay{2500};
/// Another node takes over a failover whose record has not changed for this
/// long.
inline constexpr std::chrono::milliseconds FailoverStallTimeout{1200};

/// What this node itself has observed of a group's primary.
struct PrimaryObservation {
  /// The primary is leaving and is to be replaced now: another server can
  /// replace it, or it may not be used any more. The same holds for a primary
  /// that has started again under its ID, and so without its log.
  bool Leaving = false;
  /// The time since the primary's last reply. Empty if it never replied.
  std::optional<std::chrono::nanoseconds> PrimaryReplyAge;
  /// Connections to the primary fail.
  bool Unreachable = false;
  /// This node was late, and may have missed replies of the primary.
  bool Unsure = false;
  /// The primary has refused a write because it does not lead.
  bool RefusedWrite = false;
};

/// Returns whether the primary may have failed or is leaving, so that this node
/// should poll its peers. A node that is unsure suspects no primary.
bool isSuspect(const PrimaryObservation &own);

/// What a peer reported about the primary.
struct PeerEvidence {
  std::string Node;
  /// The peer reaches the store and may take the promotion duty.
  bool CanCoordinate = false;
  /// The peer is running a failover of the group.
  bool FailoverInProgress = false;
  /// The time since the primary's last reply to the peer.
  std::optional<std::chrono::milliseconds> PrimaryReplyAge;
  /// The peer was late, and does not know whether the primary is alive.
  bool Unsure = false;
};

/// The input of decideFailover().
struct FailoverEvidence {
  std::string Self;
  bool SelfCanCoordinate = false;
  PrimaryObservation Own;
  /// The replies of the peers that could be reached.
  std::vector<PeerEvidence> Peers;
  /// The number of peers that were asked.
  std::size_t PeersAsked = 0;
  /// The name of the node that holds the promotion duty.
  std::string DutyHolder;
  /// The revision of the group's record when the peers were asked.
  std::uint64_t RecordRevision = 0;
  /// A failover of the group is in progress, but its coordinator seems to have
  /// stalled.
  bool TakingOver = false;
};

/// What this node should do about a suspected primary.
enum class FailoverVerdict {
  KeepPrimary,   ///< The primary is alive, or a failover already runs.
  DeferToOther,  ///< A failover is needed; another node is to run it.
  StartFailover, ///< This node runs the failover.
  Undecided,     ///< Too few nodes are reachable to decide; ask again.
};

std::string_view failoverVerdictName(FailoverVerdict verdict);

/// A node that has lost the promotion duty to another one does not take it back
/// within this time. Without the delay, nodes whose replies are late would take
/// it from each other in turns, each with promotions of its own.
inline constexpr std::chrono::milliseconds DutyReturnDelay{5000};

/// What a node has seen of the promotion duty.
struct DutyHistory {
  std::string Holder;
  /// When another node was first seen to hold the duty after this one.
  std::optional<base::BootTime> LostAt;
};

/// Records that \p holder has the duty, as the node \p self sees it at \p now.
void noteDutyHolder(DutyHistory &history, const std::string &self,
                    const std::string &holder, base::BootTime now);

/// Returns whether the node may take the duty, or keep it.
bool mayHoldDuty(const DutyHistory &history, base::BootTime now);

/// Peers that are unsure count as if they had not answered. A node that is
/// unsure itself starts a failover only if the primary is leaving or if it
/// takes a failover over.
FailoverVerdict decideFailover(const FailoverEvidence &evidence);

/// A server that could become the primary.
struct Candidate {
  base::ServerId Server;
  sql::ServerStatus Status;
  /// The server is draining, or its registration is missing.
  bool Leaving = false;
  /// Clients' statements may not be sent to the server for long enough, because
  /// it is leaving.
  bool EndsSoon = false;
  /// The server is the current primary. It is chosen only if every other
  /// candidate is leaving or may not lead.
  bool IsCurrentPrimary = false;
  /// The server has no registration, so that no statement may be sent to it. It
  /// may not lead, and its log counts.
  bool Unregistered = false;
  /// How often the platform accepted the server's promotion in this failover
  /// without the server leading a later term afterwards.
  int PromotionsWithoutEffect = 0;
};

/// What is known of the group whose primary is replaced.
struct PromotionContext {
  /// The term of that primary. A server that leads a later term was promoted by
  /// an earlier attempt of the same failover. A server that reports to lead an
  /// earlier term has missed a promotion.
  base::TermNumber RecordTerm = 0;
  /// The beginnings of that term and of earlier ones, in ascending order. A
  /// server whose log ends after the beginning of a later term still holds
  /// commits that a promotion discarded.
  std::vector<TermStart> Terms = {};
  /// The number of replicas that have received a commit before it is
  /// acknowledged.
  int SyncReplicas = 0;
  /// The number of replicas that are no candidates because their status is not
  /// known. They may hold commits that no candidate has.
  std::size_t UnheardReplicas = 0;
};

/// Returns the best candidate for promotion, or nothing if there is none that
/// may lead. A server that already leads a later term comes first, then those
/// with the fewest promotions without effect, then servers that are not
/// leaving, then those other than the current primary. Among equals, the one
/// that has received the most wins, so that the fewest commits are lost.
///
/// A server with discarded commits may not lead until it has been rolled back,
/// which happens when it reaches the primary: reads have been served without
/// those commits, so they must not reappear. A server counts as one if the
/// beginning of the term that followed its last entry is not known.
///
/// A server that ends soon is not chosen. There is one exception: with
/// SyncReplicas it may be the only one in reach with every acknowledged commit.
/// It is promoted then so that the other candidates receive these commits; one
/// of them replaces it before clients use it.
///
/// With SyncReplicas, only a server may lead that has every acknowledged
/// commit: the current primary itself, a server that has received its whole
/// log, or the one that has received the most of all replicas, if so few are
/// unheard that each acknowledged commit is on one of the others.
std::optional<Candidate> choosePrimary(const std::vector<Candidate> &candidates,
                                       const PromotionContext &context);

/// Returns the server that is the current primary under another ID: it has
/// restarted with its log, and leads the term of the record. The platform does
/// not change anything when this server is promoted. Returns nothing if the
/// primary itself has replied, or if no server, or more than one, reports to
/// lead that term.
std::optional<Candidate>
findRestartedPrimary(const std::vector<Candidate> &candidates,
                     const PromotionContext &context);

/// Returns the server that leads the group according to the status of its
/// servers. Returns nothing unless that is certain: all \p asked servers have
/// replied, one of them leads, and no server knows a later term than it, nor a
/// term before \p knownTerm. A server that missed a promotion still reports to
/// be the primary of its term.
std::optional<Candidate> findLeader(const std::vector<Candidate> &replies,
                                    std::size_t asked,
                                    base::TermNumber knownTerm);

/// Returns the beginnings of the record's term and of the earlier ones that it
/// remembers, in ascending order.
std::vector<TermStart> knownTerms(const GroupRecord &record);

/// Makes \p leader, whose run began at \p startedMs and which leads in \p term,
/// the primary of the record and ends the failover. \p start is the end of its
/// log when it began to lead; it is ignored if the term is the one of the
/// record.
void recordPrimary(GroupRecord &record, const base::ServerId &leader,
                   std::int64_t startedMs, base::TermNumber term,
                   base::LogPosition start);

/// Returns the end of a leader's log when it began to lead, or nothing if the
/// status does not show it, because the log has entries of the leader's term.
std::optional<base::LogPosition> startOfTerm(const sql::ServerStatus &leader);

/// Returns whether the promoted server leads already, given its reported
/// status. A server that missed an earlier promotion reports to be the primary
/// of an old term until the new term begins. \p recordTerm is the term of the
/// primary that is replaced. \p isCurrentPrimary: the promoted server is that
/// primary itself, which keeps its term.
bool isLeading(const sql::ServerStatus &status, base::TermNumber recordTerm,
               bool isCurrentPrimary);

} // namespace baobabpin::cluster
