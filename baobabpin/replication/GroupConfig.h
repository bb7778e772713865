/// Settings of the decisions for one database group. The defaults are those of
/// the design page, sections 4.1, 4.2, 4.4 and 4.10.
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

  /// Longest time without contact with a server while the group has work.
  base::Duration BusyHeartbeat = Ms(50);
  /// The same for a group without work.
  base::Duration IdleHeartbeat = Ms(1000);
  /// A group counts as busy for this long after its last request.
  base::Duration BusyFor = Ms(1000);
  /// Longest wait of a server for the awaited position. Well below
  /// SuspectAfter, since a waiting server looks like a silent one.
  base::Duration StatusWait = Ms(50);
  /// A status exchange is given up this long after its wait; the next one goes
  /// over a new connection.
  base::Duration StatusTimeout = Ms(200);
  /// Silence of the primary, with a request outstanding, that makes it suspect.
  base::Duration SuspectAfter = Ms(400);
  /// Consecutive refused connections that make the primary suspect.
  unsigned RefusalsToSuspect = 2;
  /// Replicas must have been without contact for this long.
  base::Duration ReplicaSilence = Ms(250);
  /// A server is reachable when it answered a request sent this recently.
  base::Duration ReachableWithin = Ms(200);
  /// A gap between two inputs that means the process itself was paused.
  base::Duration PauseGap = Ms(100);
  /// A write needs a confirmation of the term that is at most this old.
  base::Duration TermConfirmation = Ms(500);
  /// Wait for the prepare answers of all reachable servers.
  base::Duration PrepareWait = Ms(100);
  /// A promotion without a majority or an answer ends after this.
  base::Duration PrepareTimeout = Ms(400);
  base::Duration PromoteTimeout = Ms(300);
  /// Random back-off after a lost or failed promotion.
  base::Duration BackoffMin = Ms(50);
  base::Duration BackoffMax = Ms(150);
  /// A higher promise that no primary serves blocks replication to the server
  /// that gave it. After this long a new term includes it again.
  base::Duration StrandedPromise = Ms(600);
  /// Replicas without contact for this long, although the primary answers, mean
  /// that the primary cannot replicate; no write could be acknowledged.
  base::Duration ReplicationStall = Ms(1000);
  /// Shortest time between two follow requests to one server.
  base::Duration FollowInterval = Ms(200);
  /// Silence of a primary that replicas hear; the node is then unfit. Above
  /// SuspectAfter plus ReplicaSilence: replicas notice a crash that much later.
  base::Duration UnfitAfter = Ms(900);
  /// Without any primary, wait this long before a promotion: another owner may
  /// be between its prepare and its promote.
  base::Duration NoPrimaryFor = Ms(250);
  /// How long a node stays out after it declared itself unfit.
  base::Duration UnfitFor = Ms(10000);
  /// No majority reachable for this long makes the node unfit.
  base::Duration NoMajorityFor = Ms(1000);
  /// A handover that has not caught up within this time releases the writes.
  base::Duration HandoverCatchUp = Ms(200);
  base::Duration HandoverRetry = Ms(1000);
  /// Allowance for the difference between clock rates, in parts per million.
  unsigned ClockDriftPpm = 1000;
  /// A replica behind by less than this may get a guarded read that waits.
  base::Duration ShortLag = Ms(20);
  base::Duration SlowStart = Ms(2000);
  double SlowStartWeight = 0.1;
  /// Silence after which a returning server goes through slow start.
  base::Duration AbsentAfter = Ms(1000);
};

enum class PromotionPolicy {
  /// Suspicion, replicas' view and own-pause check (design section 4.2).
  ReplicaView,
  /// Promotes after FixedTimeout of silence. For comparison only: it promotes
  /// when this node was paused or partitioned.
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

/// Smallest number of servers that is more than half of the group.
inline std::size_t majorityOf(const GroupConfig &config) {
  return config.Servers.size() / 2 + 1;
}

} // namespace baobabpin::replication
