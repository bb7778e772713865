/// The SWIM member list of one node: plain data and free functions that take
/// the time and return the datagrams to send.
///
/// \code
///   MemberList list = makeMemberList(self, seeds, timing, seed);
///   for (Outgoing &it : tick(list, now)) send(it);
///   for (Outgoing &it : receive(list, datagram, sender, now)) send(it);
///   for (MemberChange &it : takeChanges(list)) report(it);
/// \endcode
#pragma once

#include "baobabpin/base/Time.h"
#include "baobabpin/membership/Member.h"
#include "baobabpin/proto/membership.pb.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace baobabpin::membership {

using namespace std::chrono_literals;

struct MembershipTiming {
  base::Duration ProbePeriod = 200ms;
  base::Duration AckTimeout = 100ms;
  /// From suspicion to death, on the node whose probe failed.
  base::Duration SuspicionPeriod = 1s;
  /// The same on nodes that only heard of the suspicion. Longer, because the
  /// refutation reaches them later than the suspicion.
  base::Duration HeardSuspicionPeriod = 3s;
  base::Duration DeadRetention = 10min;
  base::Duration DeadProbePeriod = 30s;
  /// Bounds the probes of dead records per node when a whole zone is away.
  base::Duration DeadProbeGap = 1s;
  /// A gap between ticks beyond this means that this process was paused.
  base::Duration PauseThreshold = 250ms;
  /// A starting node asks seeds for the list this often.
  base::Duration SeedPeriod = 1s;
  /// After that, one page of the list is compared with a random member's.
  base::Duration PagePeriod = 2s;
  int IndirectProbes = 3;
};

/// Largest datagram on the wire, with its authentication code.
inline constexpr std::size_t MaxDatagramBytes = 1200;
/// Kept free in each datagram for the code, the digest and the clock stamp.
inline constexpr std::size_t ReservedBytes = 120;
/// Bound of a node's own record, so that others fit into the datagram as well;
/// unfit groups beyond it are left out, those that expire first.
inline constexpr std::size_t MaxRecordBytes = 500;

/// Piggybacked updates per second. With 1.5 KB/s of datagrams without updates
/// a node stays below its limit of 7 KB/s; the budget saved up in quiet times
/// lets the failure of a rack spread at full speed.
inline constexpr double UpdateBytesPerSecond = 3'000;
inline constexpr double MaxUpdateBudget = 60'000;

struct Outgoing {
  /// "address:port".
  std::string Endpoint;
  proto::Datagram Datagram;
};

/// One visible change, for the event log and for the users of the list.
struct MemberChange {
  MemberRecord Record;
  /// Empty for a member seen for the first time.
  std::optional<MemberState> Previous;
  /// The member left the list: expired, or replaced by a younger process.
  bool Removed = false;
};

struct MemberEntry {
  MemberRecord Record;
  base::TimePoint StateSince;
  /// End of the suspicion; for dead members the next probe.
  base::TimePoint Deadline;
  /// This node's own probe failed, so it keeps probing the suspect.
  bool ProbedHere = false;
  base::TimePoint NextPing;
};

/// A probe that waits for its acknowledgement.
struct Probe {
  base::NodeId Target;
  base::TimePoint SentAt;
  bool Indirect = false;
};

/// A probe made on behalf of another node.
struct Relay {
  std::string OriginEndpoint;
  std::uint64_t OriginSequence = 0;
  base::TimePoint Deadline;
};

/// State changes go first: a refutation must not wait behind a burst of joins.
enum class BroadcastClass { Change, Join };

/// A record to piggyback, with the number of times it has been sent.
struct Broadcast {
  base::NodeId Node;
  BroadcastClass Class = BroadcastClass::Change;
  int Sent = 0;
};

struct MemberList {
  MembershipTiming Timing;
  MemberRecord Self;
  std::vector<std::string> Seeds;
  std::map<base::NodeId, MemberEntry> Members; ///< Without this node itself.
  std::map<base::GroupName, base::TimePoint> UnfitUntil;

  std::set<base::NodeId> Suspects;
  std::set<base::NodeId> Dead;
  std::vector<base::NodeId> Round; ///< Rest of the probe round, from the back.
  std::map<std::uint64_t, Probe> Probes;
  std::map<std::uint64_t, Relay> Relays;
  std::deque<Broadcast> Broadcasts;
  /// Bytes of queued updates that may be piggybacked now.
  double UpdateBudget = MaxUpdateBudget;
  std::vector<MemberChange> Changes;
  std::mt19937_64 Random;
  std::uint64_t NextSequence = 1;
  /// Where the next page of other members' lists begins; see LIST_REQUEST.
  std::string ListCursor;
  bool ListPulled = false;
  /// Size of the list at the end of the last pull, and when to look whether it
  /// has grown so much that another pull is worth it.
  std::size_t PulledSize = 0;
  base::Duration PullDelay = 1s;
  base::TimePoint NextPull;
  /// Members to ping at the next tick, because the own record changed.
  int PromptPings = 0;
  base::TimePoint LastTick;
  base::TimePoint NextProbe;
  base::TimePoint NextDeadProbe;
  base::TimePoint NextSeedContact;
  base::TimePoint NextPage;
};

/// A list that knows only \p self; \p randomSeed fixes the probe order.
MemberList makeMemberList(MemberRecord self, std::vector<std::string> seeds,
                          const MembershipTiming &timing,
                          std::uint64_t randomSeed, base::TimePoint now);

/// Runs what is due; to be called every AckTimeout / 2 or more often.
std::vector<Outgoing> tick(MemberList &list, base::TimePoint now);

/// Handles an authenticated datagram that came from \p sender. Kinds that are
/// not about members only have their records merged.
std::vector<Outgoing> receive(MemberList &list, const proto::Datagram &datagram,
                              const std::string &sender, base::TimePoint now);

/// Suspects \p node at once and probes it. Does nothing for unknown, suspect or
/// dead nodes.
std::vector<Outgoing> suspectAtOnce(MemberList &list, const base::NodeId &node,
                                    base::TimePoint now);

/// Declares this node unfit to own \p group until \p until.
void declareUnfit(MemberList &list, const base::GroupName &group,
                  base::TimePoint until);
void withdrawUnfit(MemberList &list, const base::GroupName &group);
/// This node gets no new work from now on.
void declareLeaving(MemberList &list);
/// Datagrams that tell some members that this process ends now.
std::vector<Outgoing> farewell(MemberList &list);

/// Datagrams in which one update is repeated by a node of a fleet of \p n.
int retransmitLimit(std::size_t n);

/// Changes since the last call.
std::vector<MemberChange> takeChanges(MemberList &list);

/// Starts a datagram of this node with its own record.
proto::Datagram makeDatagram(const MemberList &list,
                             proto::Datagram::Kind kind);
/// Up to \p count random members that are alive or leaving.
std::vector<const MemberRecord *> randomMembers(MemberList &list,
                                                std::size_t count);

} // namespace baobabpin::membership
