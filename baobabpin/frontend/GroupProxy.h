/// This node's access to one database group: the connection pools of the
/// group's servers, the log positions that its primary reported, and the
/// statements that wait for a primary.
#pragma once

#include "baobabpin/admission/Exclusions.h"
#include "baobabpin/admission/RetryBudget.h"
#include "baobabpin/admission/WaitHints.h"
#include "baobabpin/cluster/MoveDecision.h"
#include "baobabpin/cluster/PositionHistory.h"
#include "baobabpin/cluster/ReplicaChoice.h"
#include "baobabpin/cluster/ReplicaLag.h"
#include "baobabpin/control/ClusterService.h"
#include "baobabpin/frontend/OwnerChannels.h"
#include "baobabpin/pooling/ServerPool.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace baobabpin::frontend {

using PoolPtr = std::shared_ptr<pooling::ServerPool>;

/// The primary that may be used now, or why there is none.
struct PrimaryChoice {
  cluster::PrimaryUse Use = cluster::PrimaryUse::UnknownGroup;
  PoolPtr Pool;
  std::uint64_t Epoch = 0;
};

/// The next step of a read, and the server to send it to.
struct ReadChoice {
  cluster::ReadStep Step = cluster::ReadStep::NoneInReach;
  PoolPtr Pool;
  std::chrono::nanoseconds Delay{0};
  /// A server was not considered because it is overloaded.
  bool Overloaded = false;
};

/// The burst of the retry budget for reads without a timely reply. It is small
/// because all nodes detect a slow group at about the same time and would all
/// retry at once.
inline constexpr double SlowReadBurst = 3;

class GroupProxy {
public:
  GroupProxy(kernel::EventLoop &loop, control::ClusterService &cluster,
             OwnerChannels &channels, base::GroupName name,
             base::AvailabilityZone zone);
  ~GroupProxy();
  GroupProxy(const GroupProxy &) = delete;
  GroupProxy &operator=(const GroupProxy &) = delete;

  /// Updates the pools and their connection shares after the registrations, the
  /// configuration or the number of nodes changed.
  void refresh();
  /// Probes the primary when necessary, and lets the pools open and close
  /// connections. A probe is a short statement that shows whether the primary
  /// replies and which log position it has reached.
  void tick();

  PrimaryChoice primary() const;
  /// Returns whether this node may use no primary until the store accepts its
  /// registration.
  bool isRegistrationFailing() const { return Cluster.isRegistrationFailing(); }
  /// Returns whether servers of the group were lost, and none is known to be
  /// reached.
  bool isCutOff() const;
  /// Returns whether the server is draining or has no registration. New reads
  /// are not sent to a replica that is leaving.
  bool isLeaving(const base::ServerId &id) const {
    return Cluster.leavingSince(id).has_value();
  }
  /// The pool of a server, or null.
  PoolPtr pool(const base::ServerId &id) const;
  /// Plans the next step of a read that needs the log position \p wanted.
  /// Servers in \p exclusions are not asked until their exclusion ends.
  ReadChoice planRead(base::LogPosition wanted,
                      const admission::Exclusions &exclusions,
                      const admission::TimeBudget &budget);
  /// Records the wait that the owner of a server's connections reported when it
  /// refused a statement of this priority.
  void recordWait(const pooling::ServerPool &pool, int priority,
                  std::chrono::nanoseconds wait);
  /// Whether the owner of the server's connections is expected to refuse a
  /// statement because of its load.
  bool isOverloaded(const pooling::ServerPool &pool,
                    const admission::TimeBudget &budget) const;

  /// The channel to the node that owns the server's connections, or null when
  /// this node connects to the server directly.
  ChannelPtr channelFor(const pooling::ServerPool &pool) {
    return Channels.channelFor(pool.server());
  }
  /// Whether this node may connect to the server to run its clients'
  /// statements.
  bool mayConnect(const pooling::ServerPool &pool) {
    return Channels.mayConnect(pool.server());
  }

  /// Calls \p report for each server whose limit of statements in flight has
  /// changed since the last call, with 0 if this node no longer limits them.
  void reportStatementLimits(
      const std::function<void(const base::ServerId &, int)> &report);

  /// Records a reply from the server of \p pool. \p epoch is the epoch in which
  /// the statement was sent, if the server was the usable primary then.
  void recordReply(pooling::ServerPool &pool, base::BootTime sentAt,
                   const sql::Reply &reply, std::optional<std::uint64_t> epoch);
  /// Returns the position that a read needs, or nothing while none is known
  /// that satisfies \p need.
  std::optional<base::LogPosition>
  requiredPosition(const cluster::FreshnessRequirement &need) const;
  /// The primary's latest known log position; empty if none is known.
  std::optional<control::PositionReport> positionReport() const;
  /// Records a log position that the primary of \p epoch had reached by
  /// \p sentAt.
  void addSample(std::uint64_t epoch, base::BootTime sentAt,
                 base::LogPosition position);

  /// Calls \p resume once: at the next change that may bring a usable primary,
  /// or when the first log position of a primary becomes known. Destroying the
  /// returned handle cancels the call.
  using ResumeHandle = std::shared_ptr<std::function<void()>>;
  ResumeHandle waitForPrimary(std::function<void()> resume);

  /// Rolls back any open transaction on the connection and returns the
  /// connection to its pool.
  void rollBackAndRelease(const PoolPtr &pool,
                          const pooling::ServerConnectionPtr &connection);

  /// Counts the commits in flight at the primary, including writes outside of a
  /// transaction. Each beginCommit() must be followed by one endCommit().
  void beginCommit() { ++CommitsInFlight; }
  void endCommit();
  /// Calls \p callback when no commit is in flight, or after
  /// CommitDrainTimeout.
  void whenCommitsDrained(std::function<void()> callback);

  /// The budget for retrying a read elsewhere while its first reply may still
  /// arrive.
  admission::RetryBudget &slowReadBudget() { return SlowReadBudget; }

  /// The share of an organisation in the servers of the group, relative to the
  /// others.
  double organisationShare(const base::OrganisationName &organisation) const;

  /// The events of all pools since the start of this node.
  pooling::PoolEvents poolEvents() const;
  /// Adds the connections of all pools to \p sum.
  void addConnections(pooling::PoolConnections &sum) const;

  /// The reply age of the observation does not count time in which this node
  /// was late (kernel/Lateness.h).
  cluster::PrimaryObservation primaryObservation() const;
  /// Time since the primary last replied to this node or, as far as this node
  /// knows, to the owner of its connections. The time at which this node began
  /// to use the primary counts as a reply. Empty if none of these times is
  /// known. Other nodes take it as evidence that the primary is alive, so it
  /// counts all time.
  std::optional<std::chrono::milliseconds> primaryReplyAge() const;
  const base::GroupName &name() const { return Name; }

private:
  /// Whether this node probes the primary, directly or through the owner of its
  /// connections, at ProbePeriod rather than LongProbePeriod.
  bool usesShortProbeInterval(const PrimaryChoice &choice) const;
  void probePrimary(const PrimaryChoice &choice, bool shortInterval,
                    base::BootTime now);
  void probeDirectly(const PrimaryChoice &choice,
                     const pooling::ServerConnectionPtr &connection);
  void probeThroughOwner(const ChannelPtr &channel, std::uint64_t epoch);
  pooling::ConnectionShare shareOf(const cluster::ServerRegistration &server);
  void resumeWaiting();
  /// Returns when the primary last replied, or nothing if that is not known.
  std::optional<base::BootTime> lastPrimaryReply() const;
  /// Returns whether a server other than \p primary is not known to be leaving
  /// or out of reach.
  bool hasReplacementFor(const base::ServerId &primary) const;

  kernel::EventLoop &Loop;
  control::ClusterService &Cluster;
  OwnerChannels &Channels;
  base::GroupName Name;
  base::AvailabilityZone Zone;
  std::map<base::ServerId, PoolPtr> Pools;
  std::map<base::ServerId, int> ReportedLimits;
  /// Pools of servers that were removed or changed address, kept until their
  /// connections in use have been released.
  std::list<PoolPtr> Retiring;
  /// The events of pools that exist no longer.
  pooling::PoolEvents PastEvents;
  cluster::PositionHistory History;
  std::map<base::ServerId, cluster::ReplicaProgress> Progress;
  std::map<base::ServerId, admission::WaitHints> Waits;
  std::list<std::weak_ptr<std::function<void()>>> WaitingForPrimary;
  admission::RetryBudget SlowReadBudget{
      .PerRequest = 0.1, .Burst = SlowReadBurst, .Tokens = SlowReadBurst};
  /// The shares of the configuration of version SharesVersion.
  std::map<base::OrganisationName, double> OrganisationShares;
  std::uint64_t SharesVersion = 0;
  int CommitsInFlight = 0;
  std::list<std::function<void()>> DrainCallbacks;
  std::uint64_t LastEpoch = 0;
  /// The latest epoch in which the primary refused a write as a replica.
  std::uint64_t RefusedWriteEpoch = 0;
  base::BootTime StartedAt = base::BootClock::now();
  /// When this node began to use the current primary.
  base::BootTime PrimarySince{};
  /// When the owner of the primary's connections last received a reply from the
  /// primary.
  base::BootTime OwnerLastReply{};
  /// Whether the primary could be used at the latest tick, and since when.
  bool PrimaryUsable = false;
  base::BootTime UsableSince{};
  bool ProbeRunning = false;
  pooling::WaiterPtr ProbeWaiter;
  kernel::Timer ResumeTimer;
};

} // namespace baobabpin::frontend
