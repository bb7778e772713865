/// Settings of failure detection, promotion and read qualification for one
/// database group. The design, sections 4.1, 4.2, 4.4 and 4.10, states the
/// defaults.
#pragma once

#include "baobabpin/base/Identifiers.h"
#include "baobabpin/base/Time.h"

#include <chrono>
#include <vector>

namespace baobabpin::replication {

struct ServerConfig {
  base::ServerId Id;
  base::AvailabilityZone Zone;
};

struct Timing {
  using Ms = std::chrono::milliseconds;

  /// Interval between status requests to a server while the group is busy.
  base::Duration BusyStatusInterval = Ms(50);
  /// Interval between status requests to a server while the group is idle.
  base::Duration IdleStatusInterval = Ms(1000);
  /// A group counts as busy for this long after its last request.
  base::Duration BusyFor = Ms(1000);
  /// Longest time for which a server may delay a status answer to wait for a
  /// position. It is well below SuspectAfter, because a server that delays its
  /// answer can't be told from one that does not answer.
  base::Duration StatusWait = Ms(50);
  /// A status request times out this long after it was sent, or after its
  /// StatusWait when it asks the server to wait for a position. The next one
  /// uses a new connection.
  base::Duration StatusTimeout = Ms(200);
  /// A server that has left a request unanswered for this long is suspect.
  base::Duration SuspectAfter = Ms(400);
  /// Number of consecutive refused connections that make a server suspect.
  unsigned RefusalsToSuspect = 2;
  /// A replica counts as in contact with the primary when it received a message
  /// from it less than this long ago. A suspect primary is replaced only when
  /// no reachable replica is in contact with it.
  base::Duration ReplicaSilence = Ms(250);
  /// A server is reachable when it answered a status or prepare request that
  /// was sent at most this long ago.
  base::Duration ReachableWithin = Ms(200);
  /// A longer gap between two inputs means that this process was paused.
  base::Duration PauseGap = Ms(100);
  /// A write is sent only when a majority confirmed the term at most this long
  /// ago.
  base::Duration TermConfirmation = Ms(500);
  /// Once a majority has granted the term, a promotion waits at most this long
  /// after its start for the grants of the other reachable servers.
  base::Duration PrepareWait = Ms(100);
  /// A promotion fails when no majority has granted the term within
  /// PrepareTimeout, or when the chosen server has not answered the promote
  /// request within PromoteTimeout.
  base::Duration PrepareTimeout = Ms(400);
  base::Duration PromoteTimeout = Ms(300);
  /// Bounds of the random backoff after a failed promotion.
  base::Duration BackoffMin = Ms(50);
  base::Duration BackoffMax = Ms(150);
  /// A server that has promised a term above the primary's can't replicate from
  /// that primary. When this has lasted for this long, a promotion with a still
  /// higher term lets the server follow a primary again.
  base::Duration StrandedPromise = Ms(600);
  /// The primary is replaced when it answers but for this long no replica has
  /// been in contact with it: it can't replicate then, and no write could be
  /// acknowledged.
  base::Duration ReplicationStall = Ms(1000);
  /// Shortest time between two follow requests to one server.
  base::Duration FollowInterval = Ms(200);
  /// This node is unfit when the primary has not answered it for this long
  /// while replicas are still in contact with the primary. The value is above
  /// SuspectAfter plus ReplicaSilence, so that after a crash of the primary
  /// its replicas have lost contact before this node declares itself unfit.
  base::Duration UnfitAfter = Ms(900);
  /// When no primary is known, a promotion starts only after this time, because
  /// another owner may be between its prepare and promote requests.
  base::Duration NoPrimaryFor = Ms(250);
  /// How long a node stays unfit after it declared itself unfit.
  base::Duration UnfitFor = Ms(10000);
  /// A node is unfit when it could not reach a majority for this long.
  base::Duration NoMajorityFor = Ms(1000);
  /// Longest time from the start of a handover until a replica has caught up,
  /// including the wait for the writes in flight. After it the handover is
  /// given up and writes are sent again.
  base::Duration HandoverCatchUp = Ms(200);
  /// Not read by the replication and owner packages: the owner tries a failed
  /// handover again after its own constant HandoverRetryDelay.
  base::Duration HandoverRetry = Ms(1000);
  /// Upper limit of the error of a clock's rate, in parts per million.
  unsigned ClockDriftPpm = 1000;
  /// A replica whose lag is below this may get a read that waits at the server
  /// until the replica has caught up.
  base::Duration ShortLag = Ms(20);
  /// Duration of the slow start of a server that became reachable again, and
  /// its share of the normal load at the beginning.
  base::Duration SlowStart = Ms(2000);
  double SlowStartWeight = 0.1;
  /// A server that left requests unanswered for this long goes through slow
  /// start when it answers again.
  base::Duration AbsentAfter = Ms(1000);
};

enum class PromotionPolicy {
  /// Promotes when the primary is suspect and the replicas are not in contact
  /// with it either, and ignores time during which this process was paused
  /// (design section 4.2).
  ReplicaView,
  /// Promotes when the primary has not answered for FixedTimeout. This
  /// policy is a baseline for comparisons only, because it also promotes when
  /// this node itself was paused or partitioned.
  FixedTimeout,
};

struct GroupConfig {
  base::GroupName Group;
  /// In the configured order; the zone of the first is the home zone.
  std::vector<ServerConfig> Servers;
  base::NodeId Self;
  Timing Times;
  PromotionPolicy Policy = PromotionPolicy::ReplicaView;
  base::Duration FixedTimeout = std::chrono::seconds(1);
};

/// Returns the smallest number of servers that is more than half of the group.
inline std::size_t majorityOf(const GroupConfig &config) {
  return config.Servers.size() / 2 + 1;
}

} // namespace baobabpin::replication
