/// The connections of this node to one server, and the queue of work that waits
/// for a connection.
///
/// \code
///   auto waiter = std::make_shared<Waiter>(...);
///   pool.acquire(waiter);
///   ... waiter->OnGranted(connection) ...
///   pool.release(connection);
/// \endcode
#pragma once

#include "baobabpin/admission/QueueWait.h"
#include "baobabpin/cluster/Types.h"
#include "baobabpin/pacing/StatementPace.h"
#include "baobabpin/pooling/OrganisationPolicy.h"
#include "baobabpin/pooling/PoolPolicy.h"
#include "baobabpin/pooling/ServerConnection.h"

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace baobabpin::pooling {

using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

/// A request for a connection. Waiting requests are served by priority, lowest
/// number first. Organisations with requests of the same priority take turns by
/// their shares; those of the same organisation are served by deadline.
struct Waiter {
  WorkKind Kind = WorkKind::Statement;
  /// The organisation for which the work runs, or empty. It gets a connection
  /// that was opened for the same organisation.
  base::OrganisationName Organisation;
  /// The share of the organisation in the server, relative to the others.
  double Share = 1;
  int Priority = 0;
  /// Work that is unlikely to be done by this time is refused at once. Work
  /// without a deadline waits until it is granted or cancelled.
  base::BootTime Deadline{};
  /// When the target latency of the work ends; empty if it is not known.
  std::optional<base::BootTime> Target;
  /// The session values that the work needs; a connection that holds exactly
  /// these is preferred. May be null.
  const std::map<std::string, std::string> *Values = nullptr;
  std::function<void(ServerConnectionPtr)> OnGranted;
  /// Called when the server cannot be reached (Busy), is not the expected one
  /// or is being removed (WrongServer), or has too much work waiting
  /// (TooManyConnections).
  std::function<void(sql::ErrorCode)> OnRefused;
  /// Set before OnRefused is called with TooManyConnections: the wait that the
  /// work would have had.
  std::chrono::nanoseconds ExpectedWait{0};
};
using WaiterPtr = std::shared_ptr<Waiter>;

/// How often a pool took connections from some work for the sake of other work.
struct PoolEvents {
  /// Transactions that were aborted because their clients rested while other
  /// work waited for a connection.
  std::uint64_t Reclaimed = 0;
  /// Idle connections that were closed in favour of another organisation.
  std::uint64_t Replaced = 0;

  PoolEvents &operator+=(const PoolEvents &it) {
    Reclaimed += it.Reclaimed;
    Replaced += it.Replaced;
    return *this;
  }
};

/// The connections of pools by state, and the organisations that have any.
struct PoolConnections {
  std::size_t Idle = 0;
  std::size_t Busy = 0;
  std::size_t Opening = 0;
  /// Their replies are outstanding, but no longer needed.
  std::size_t Abandoned = 0;
  std::set<base::OrganisationName> Organisations;
};

/// The condition of a server, as far as its replies show it.
struct ServerCondition {
  /// When the latest statement that got a reply was sent, or when the server
  /// last accepted a connection or refused one because of its limit.
  base::BootTime LastContact{};
  /// A connection failed to open since LastContact.
  bool Unreachable = false;
  /// The first failure since LastContact, when Unreachable.
  base::BootTime UnreachableSince{};
  /// The server at the registered address refused a connection because it is
  /// not the registered server, so the registration is out of date.
  bool WrongIdentity = false;
  /// Moving average of the time from sending to the reply.
  std::chrono::nanoseconds Latency{0};
  /// End of the log that the server has applied.
  base::LogPosition Applied;
  /// When the server last refused a read because it had not applied the
  /// required log position.
  base::BootTime LastLagging{};
};

class ServerPool {
public:
  ServerPool(kernel::EventLoop &loop, cluster::ServerRegistration server);
  ~ServerPool();
  ServerPool(const ServerPool &) = delete;
  ServerPool &operator=(const ServerPool &) = delete;

  /// Requests a connection. Calls OnGranted or OnRefused of \p waiter, possibly
  /// before this function returns.
  void acquire(const WaiterPtr &waiter);
  /// Removes the waiter if it is still waiting.
  void cancel(const WaiterPtr &waiter);
  /// Returns a connection to the pool. A connection that is not idle, or is
  /// still in a transaction, is closed instead.
  void release(const ServerConnectionPtr &connection);
  /// Returns a connection whose outstanding replies are no longer needed. It
  /// becomes available again when they have arrived.
  void abandon(const ServerConnectionPtr &connection);
  /// Takes an idle connection for a probe, or returns null if there is none.
  ServerConnectionPtr takeIdle();

  /// Updates the condition of the server from the reply to a statement that was
  /// sent at \p sentAt.
  void recordReply(base::BootTime sentAt, const sql::Reply &reply);
  /// Updates the limit of statements in flight from the reply to a statement of
  /// a client. \p kind names statements of similar cost, or is empty if the
  /// time until the reply does not show the load.
  void recordPace(const ServerConnection &connection, const sql::Reply &reply,
                  std::string_view kind);
  /// Opens a connection if requests wait, or if there is none and the share
  /// guarantees one. Closes borrowed connections that have been idle too long,
  /// and abandoned connections whose reply is lost.
  void maintain(base::BootTime now);
  /// Refuses all waiting work and closes idle connections.
  void shutDown();

  void setShare(ConnectionShare share);
  /// The single statements that may be in flight now, or nothing if the share
  /// of this node does not limit them.
  std::optional<int> statementLimit() const;
  const PoolEvents &events() const { return Events; }
  /// Adds the connections of this pool to \p sum.
  void addConnections(PoolConnections &sum) const;
  const cluster::ServerRegistration &server() const { return Server; }
  void update(const cluster::ServerRegistration &server);
  const ServerCondition &condition() const { return Condition; }
  /// The number of connections in use plus the number of waiting requests.
  std::size_t load() const { return Busy.size() + Waiting.size(); }
  std::size_t openCount() const { return Idle.size() + Busy.size(); }
  bool hasIdle() const { return !Idle.empty(); }

private:
  /// Opens a connection if waiting work needs one and the limits allow it.
  /// Closes an idle one of another organisation if that makes room for it.
  void openForWaiting(base::BootTime now);
  /// Whether a connection of \p organisation that becomes free is closed in
  /// favour of an organisation without any.
  bool yieldsConnection(const base::OrganisationName &organisation) const;
  /// Whether a transaction without organisation waits that could run if more
  /// connections were open, whether idle or not.
  bool needsMoreOpen() const;
  bool closeIdleInFavourOf(const base::OrganisationName &organisation,
                           const OrganisationUses &uses);
  void openOne(const base::OrganisationName &organisation);
  /// Closes the connection of the transaction that has rested longest, if it
  /// has rested for unusually long and work waits that cannot get another one.
  void reclaimIdleTransaction(base::BootTime now);
  /// Whether the limits allow no further connection for the waiting work.
  bool isFull() const;
  void onOpened(const ServerConnectionPtr &connection,
                std::optional<sql::ErrorCode> error);
  void grant(const ServerConnectionPtr &connection, const WaiterPtr &waiter);
  void serveWaiting();
  void refuseAll(sql::ErrorCode code);
  /// Takes an idle connection that \p waiter may use, or returns null.
  ServerConnectionPtr takeIdleFor(const Waiter &waiter);
  /// Whether the work can no longer meet its target.
  bool isLate(const Waiter &waiter, base::BootTime now) const;
  bool mayGrantNow(const Waiter &waiter, const PoolUse &use) const;
  bool limitsStatements() const;
  /// Lets the limit of statements start again if the server owes replies for
  /// too long.
  void checkSilence(base::BootTime now);
  /// The waiting work, each entry judged by the limits as if it were the next
  /// to run.
  std::vector<WaitingWork> waitingWork() const;
  /// The same, each entry judged as if those before it were running.
  std::vector<WaitingWork> startableWork() const;
  /// Whether work waits that would run if a connection were free.
  bool lacksConnections() const;
  OrganisationUses organisationUses() const;
  PoolCounts counts() const;
  PoolUse use() const;

  kernel::EventLoop &Loop;
  cluster::ServerRegistration Server;
  ConnectionShare Share;
  ServerCondition Condition;
  pacing::StatementPace Pace;
  /// Open connections that are not in use.
  std::vector<ServerConnectionPtr> Idle;
  /// Connections that have been granted and not yet returned.
  std::vector<ServerConnectionPtr> Busy;
  std::vector<ServerConnectionPtr> Opening;
  /// Connections returned by abandon() whose replies are still outstanding.
  std::vector<ServerConnectionPtr> Abandoned;
  std::list<WaiterPtr> Waiting;
  admission::GrantRate Grants;
  base::BootTime BackoffUntil{};
  /// Work of an organisation has waited here.
  bool HasOrganisations = false;
  /// Connections that the server refused because of its limit since it last
  /// accepted one.
  int LimitRefusals = 0;
  FairTurns Turns;
  /// Moving average of the time between two statements of a transaction.
  std::chrono::nanoseconds UsualRest{0};
  PoolEvents Events;
  bool Closing = false;
};

} // namespace baobabpin::pooling
