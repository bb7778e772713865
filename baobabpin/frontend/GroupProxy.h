/// One database group as this node uses it: the pools of its servers, what its
/// primary reported, and the work that waits for a primary.
#pragma once

#include "baobabpin/admission/RetryBudget.h"
#include "baobabpin/cluster/MoveDecision.h"
#include "baobabpin/cluster/PositionHistory.h"
#include "baobabpin/control/ClusterService.h"
#include "baobabpin/frontend/Owners.h"
#include "baobabpin/pooling/ServerPool.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace baobabpin::frontend {

using PoolPtr = std::shared_ptr<pooling::ServerPool>;

/// The primary that may be used now, or why there is none.
struct PrimaryChoice {
  cluster::PrimaryUse Use = cluster::PrimaryUse::UnknownGroup;
  PoolPtr Pool;
  std::uint64_t Epoch = 0;
};

/// Reads of a group that this node may send again at once. Small, because all
/// nodes find a group slow at the same time.
inline constexpr double SlowReadBurst = 3;

class GroupProxy {
public:
  GroupProxy(kernel::EventLoop &loop, control::ClusterService &cluster,
             Owners &owners, base::GroupName name, base::AvailabilityZone zone);
  ~GroupProxy();
  GroupProxy(const GroupProxy &) = delete;
  GroupProxy &operator=(const GroupProxy &) = delete;

  /// Follows the registrations, the configuration and the number of nodes.
  void refresh();
  /// Probes the primary, gives back idle connections.
  void tick();

  PrimaryChoice primary() const;
  /// The pool of a server, or null.
  PoolPtr pool(const base::ServerId &id) const;
  /// The best server for a read that needs \p wanted, or null.
  PoolPtr chooseForRead(base::LogPosition wanted,
                        const std::set<base::ServerId> &excluded) const;

  /// The channel to the owner of the server's connections, or null when this
  /// node connects by itself.
  ChannelPtr channelFor(const pooling::ServerPool &pool) {
    return Routes.channelFor(pool.server());
  }
  /// Whether this node may connect to the server for its clients' work.
  bool mayConnect(const pooling::ServerPool &pool) {
    return Routes.mayConnect(pool.server());
  }

  /// Notes a reply of \p pool; \p epoch is the one in which the statement was
  /// sent, if the pool was the usable primary then.
  void observe(pooling::ServerPool &pool, base::BootTime sentAt,
               const sql::Reply &reply, std::optional<std::uint64_t> epoch);
  const cluster::PositionHistory &history() const { return History; }
  /// The primary's latest known position; empty if none is known.
  std::optional<control::PositionReport> positionReport() const;
  /// Notes a position that the primary of \p epoch had reported by \p sentAt.
  void addSample(std::uint64_t epoch, base::BootTime sentAt,
                 base::LogPosition position);

  /// Calls \p resume at the next change that may bring a usable primary, and
  /// when the first position of a primary is known. The
  /// returned handle forgets the call when dropped.
  using ResumeHandle = std::shared_ptr<std::function<void()>>;
  ResumeHandle waitForPrimary(std::function<void()> resume);

  /// Ends any transaction on the connection and returns it to its pool.
  void releaseClean(const PoolPtr &pool, const pooling::LinkPtr &link);

  /// Counts commits in flight at the primary.
  void beginCommit() { ++CommitsInFlight; }
  void endCommit();
  /// Calls back when no commit is in flight, or after DrainLimit.
  void whenCommitsDrained(std::function<void()> callback);

  /// Pays for sending a read again while its first reply may still come.
  admission::RetryBudget &slowReadBudget() { return SlowReadBudget; }

  cluster::PrimaryObservation observePrimary() const;
  /// Time since the primary last answered this node; empty if it never did.
  std::optional<std::chrono::milliseconds> primaryHeardAge() const;
  const base::GroupName &name() const { return Name; }

private:
  /// Whether this node asks the primary itself or its owner at short intervals.
  bool probesOften(const PrimaryChoice &choice) const;
  void probePrimary(const PrimaryChoice &choice, bool often,
                    base::BootTime now);
  void probeDirectly(const PrimaryChoice &choice, const pooling::LinkPtr &link);
  void probeThroughOwner(const ChannelPtr &channel, std::uint64_t epoch);
  pooling::ConnectionShare shareOf(const cluster::ServerRegistration &server);
  void resumeWaiting();

  kernel::EventLoop &Loop;
  control::ClusterService &Cluster;
  Owners &Routes;
  base::GroupName Name;
  base::AvailabilityZone Zone;
  std::map<base::ServerId, PoolPtr> Pools;
  /// Pools of servers that are gone, until their connections come back.
  std::list<PoolPtr> Retiring;
  cluster::PositionHistory History;
  std::list<std::weak_ptr<std::function<void()>>> WaitingForPrimary;
  admission::RetryBudget SlowReadBudget{
      .PerRequest = 0.1, .Burst = SlowReadBurst, .Tokens = SlowReadBurst};
  int CommitsInFlight = 0;
  std::list<std::function<void()>> DrainCallbacks;
  std::uint64_t LastEpoch = 0;
  base::BootTime StartedAt = base::BootClock::now();
  /// When the present primary began to be used.
  base::BootTime PrimarySince{};
  /// When the owner of the primary's connections last heard the primary.
  base::BootTime OwnerHeard{};
  bool ProbeRunning = false;
  pooling::WaiterPtr ProbeWaiter;
  kernel::Timer ResumeTimer;
};

} // namespace baobabpin::frontend
