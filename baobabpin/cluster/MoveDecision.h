/// When a group gets another primary, and which node sees to it.
#pragma once

#include "baobabpin/base/BootClock.h"
#include "baobabpin/base/Identifiers.h"
#include "baobabpin/base/LogPosition.h"
#include "baobabpin/sql/Statement.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabpin::cluster {

/// A primary that has not answered for this long, although asked, is suspected.
/// Probes need no slot at the server and are sent every 200 ms.
inline constexpr std::chrono::milliseconds SuspectAfter{450};
/// The same when connections to it fail at once.
inline constexpr std::chrono::milliseconds SuspectUnreachableAfter{250};
/// A peer that heard the primary within this time vouches for it.
inline constexpr std::chrono::milliseconds VouchWithin{450};
/// With fewer than half of the nodes in touch, a node acts alone only after
/// this time.
inline constexpr std::chrono::milliseconds LonelyAfter{2500};
/// A move that makes no progress for this long is taken over.
inline constexpr std::chrono::milliseconds StuckAfter{1200};

/// What one node knows about a group's primary by itself.
struct PrimaryObservation {
  /// The primary is draining, or its registration is gone.
  bool Leaving = false;
  /// Time since it last answered; empty if it never did.
  std::optional<std::chrono::nanoseconds> PrimaryReplyAge;
  bool Unreachable = false;
};

/// Whether it is worth asking the peers.
bool isSuspect(const PrimaryObservation &own);

/// What a peer reported.
struct PeerEvidence {
  std::string Node;
  bool StoreReachable = false;
  bool FailoverInProgress = false;
  std::optional<std::chrono::milliseconds> PrimaryReplyAge;
};

struct MoveQuestion {
  std::string Self;
  bool SelfStoreReachable = false;
  PrimaryObservation Own;
  /// Replies of the peers that could be reached.
  std::vector<PeerEvidence> Peers;
  /// How many were asked.
  std::size_t PeersAsked = 0;
  /// Present holder of the duty, by node name.
  std::string DutyHolder;
  /// Revision of the group's record when the peers were asked.
  std::uint64_t RecordRevision = 0;
  /// The group is already being moved, by a node that seems stuck.
  bool TakeOver = false;
};

enum class MoveVerdict {
  Stay,    ///< The primary is fine, or another node already moves the group.
  LeaveIt, ///< A move is needed; another node is to do it.
  MoveNow, ///< This node moves the group.
  NotSure, ///< Too few nodes in touch to tell; ask again.
};

std::string_view moveVerdictName(MoveVerdict verdict);

MoveVerdict decideMove(const MoveQuestion &question);

/// A server that could become the primary.
struct Candidate {
  base::ServerId Server;
  sql::ServerStatus Status;
  bool Leaving = false;
  /// The present primary; kept only when there is no other choice.
  bool Present = false;
};

/// The candidate that loses the fewest commits; empty if there is none.
/// \p recordTerm is the term of the primary that is replaced: a server that
/// leads a later one was promoted by an earlier attempt of the same move. A
/// server that claims to lead an earlier term has missed a promotion.
///
/// \p recordBase is the end of the log with which that primary began to lead. A
/// server with later entries of an earlier term still holds commits that the
/// promotion cut off; reads have been served without them, so they must not
/// come back.
std::optional<Candidate> choosePrimary(const std::vector<Candidate> &candidates,
                                       base::TermNumber recordTerm,
                                       base::LogPosition recordBase);

/// Whether the promoted server leads already, given its report. A server that
/// missed an earlier promotion reports to be primary of an old term until the
/// new one begins.
bool isLeading(const sql::ServerStatus &status, base::TermNumber recordTerm,
               bool isPresentPrimary);

} // namespace baobabpin::cluster
