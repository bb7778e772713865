/// The connections of this node to one server, and the work that waits for one.
///
/// \code
///   auto waiter = std::make_shared<Waiter>(...);
///   pool.acquire(waiter);
///   ... waiter->OnGranted(link) ...
///   pool.release(link);
/// \endcode
#pragma once

#include "baobabpin/admission/QueueWait.h"
#include "baobabpin/cluster/Types.h"
#include "baobabpin/pooling/PoolPolicy.h"
#include "baobabpin/pooling/ServerLink.h"

#include <functional>
#include <list>
#include <memory>
#include <vector>

namespace baobabpin::pooling {

using LinkPtr = std::shared_ptr<ServerLink>;

/// Work that needs a connection. Served by priority, then by deadline.
struct Waiter {
  Work Kind = Work::Statement;
  int Priority = 0;
  /// Work that could hardly be done by then is refused at once. Unset: it
  /// waits.
  base::BootTime Deadline{};
  /// The session state that the work needs; a connection that has it already
  /// is preferred. May be null.
  const std::map<std::string, std::string> *Values = nullptr;
  std::function<void(LinkPtr)> OnGranted;
  /// The server cannot be reached, is not the expected one, or has more work
  /// waiting than it can do (TooManyConnections).
  std::function<void(sql::ErrorCode)> OnRefused;
};
using WaiterPtr = std::shared_ptr<Waiter>;

/// What the replies of a server say about its condition.
struct ServerCondition {
  /// Sending time of the last statement that was answered.
  base::BootTime LastHeard{};
  /// Connections failed since LastHeard.
  bool Unreachable = false;
  /// The first failure since LastHeard, when Unreachable.
  base::BootTime UnreachableSince{};
  /// The server refused to be the registered one; its entry is out of date.
  bool WrongIdentity = false;
  /// Moving average of the time from sending to the reply.
  std::chrono::nanoseconds Latency{0};
  /// End of the log that the server has applied.
  base::LogPosition Applied;
  /// Last time that the server's log lacked a wanted position.
  base::BootTime LastLagging{};
};

class ServerPool {
public:
  ServerPool(kernel::EventLoop &loop, cluster::ServerRegistration server);
  ~ServerPool();
  ServerPool(const ServerPool &) = delete;
  ServerPool &operator=(const ServerPool &) = delete;

  /// Grants or refuses through \p waiter, at once or later.
  void acquire(const WaiterPtr &waiter);
  /// Forgets the waiter if it still waits.
  void cancel(const WaiterPtr &waiter);
  /// Takes a connection back. One that is closed, or is still in a transaction,
  /// is dropped.
  void release(const LinkPtr &link);
  /// Takes back a connection whose reply nobody waits for any more.
  void abandon(const LinkPtr &link);
  /// An idle connection for a short statement of the proxy's own, or null.
  LinkPtr takeIdle();

  /// Notes what a reply to a statement sent at \p sentAt says.
  void observe(base::BootTime sentAt, const sql::Reply &reply);
  /// Opens connections up to the guaranteed share, closes borrowed ones.
  void maintain(base::BootTime now);
  /// Refuses all waiting work and closes idle connections.
  void shutDown();

  void setShare(ConnectionShare share) { Share = share; }
  const cluster::ServerRegistration &server() const { return Server; }
  void update(const cluster::ServerRegistration &server) { Server = server; }
  const ServerCondition &condition() const { return Condition; }
  /// Work in flight and waiting.
  std::size_t load() const { return Busy.size() + Waiting.size(); }
  std::size_t openCount() const { return Idle.size() + Busy.size(); }
  bool hasIdle() const { return !Idle.empty(); }

private:
  void openOne();
  void onOpened(const LinkPtr &link, std::optional<sql::ErrorCode> error);
  void grant(const LinkPtr &link, const WaiterPtr &waiter);
  void serveWaiting();
  void refuseAll(sql::ErrorCode code);
  LinkPtr takeIdleFor(const Waiter &waiter);
  PoolCounts counts() const;
  PoolUse use() const;

  kernel::EventLoop &Loop;
  cluster::ServerRegistration Server;
  ConnectionShare Share;
  ServerCondition Condition;
  std::vector<LinkPtr> Idle;
  std::vector<LinkPtr> Busy;
  std::vector<LinkPtr> Opening;
  std::vector<LinkPtr> Abandoned;
  std::list<WaiterPtr> Waiting;
  admission::QueuePace Pace;
  base::BootTime BackoffUntil{};
  bool Closing = false;
};

} // namespace baobabpin::pooling
