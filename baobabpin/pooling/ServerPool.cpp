#include "baobabpin/pooling/ServerPool.h"

#include <algorithm>
#include <utility>

namespace baobabpin::pooling {
namespace {

/// An abandoned connection is closed when its reply has not arrived within this
/// time after sending; the reply is then taken as lost. Servers work on a
/// statement for at most 110 ms, and for five times as long when they are slow.
constexpr std::chrono::milliseconds AbandonedReplyTimeout{1000};
/// Weight of a new latency in the moving average: one part in this many.
constexpr int LatencyWeight = 8;

bool removeFrom(std::vector<ServerConnectionPtr> &connections,
                const ServerConnectionPtr &connection) {
  auto it = std::ranges::find(connections, connection);
  if (it == connections.end())
    return false;
  connections.erase(it);
  return true;
}

} // namespace

ServerPool::ServerPool(kernel::EventLoop &loop,
                       cluster::ServerRegistration server)
    : Loop(loop), Server(std::move(server)) {}

ServerPool::~ServerPool() {
  for (auto *list : {&Idle, &Busy, &Opening, &Abandoned}) {
    for (auto &it : *list)
      it->OnSettled = nullptr;
  }
}

PoolCounts ServerPool::counts() const {
  int waitingStatements = static_cast<int>(
      std::ranges::count(Waiting, WorkKind::Statement,
                         [](const WaiterPtr &it) { return it->Kind; }));
  int otherWaiting = static_cast<int>(Waiting.size()) - waitingStatements;
  // Another connection does not help statements beyond Share.Statements, so
  // those are not counted as waiting.
  int allowedToStart = std::max(0, Share.Statements - use().Statements);
  return {static_cast<int>(Idle.size() + Busy.size() + Abandoned.size()),
          static_cast<int>(Opening.size()),
          otherWaiting + std::min(waitingStatements, allowedToStart)};
}

PoolUse ServerPool::use() const {
  PoolUse it;
  it.Open = static_cast<int>(openCount());
  for (const auto &connection : Busy) {
    it.Statements += connection->GrantedFor == WorkKind::Statement ? 1 : 0;
    it.Transactions += connection->GrantedFor == WorkKind::Transaction ? 1 : 0;
  }
  return it;
}

void ServerPool::acquire(const WaiterPtr &waiter) {
  if (Closing || Condition.WrongIdentity) {
    waiter->OnRefused(sql::ErrorCode::WrongServer);
    return;
  }
  // Waiting work of the same kind would have been granted the idle connection
  // already, so this request overtakes none of it.
  if (mayGrant(use(), Share, waiter->Kind)) {
    if (ServerConnectionPtr connection = takeIdleFor(*waiter)) {
      grant(connection, waiter);
      return;
    }
  }
  auto insertAt = std::ranges::find_if(Waiting, [&](const WaiterPtr &it) {
    return std::pair(waiter->Priority, waiter->Deadline) <
           std::pair(it->Priority, it->Deadline);
  });
  auto now = base::BootClock::now();
  auto ahead = std::distance(Waiting.begin(), insertAt);
  if (waiter->Deadline != base::BootTime{} && !Waiting.empty() &&
      admission::shouldRefuse(
          admission::expectedWait(Grants, static_cast<std::size_t>(ahead)),
          waiter->Deadline - now)) {
    waiter->OnRefused(sql::ErrorCode::TooManyConnections);
    return;
  }
  Waiting.insert(insertAt, waiter);
  if (shouldOpen(counts(), Share, BackoffUntil, now))
    openOne();
  else if (openCount() == 0 && Opening.empty() && Condition.Unreachable)
    refuseAll(sql::ErrorCode::Busy);
}

ServerConnectionPtr ServerPool::takeIdleFor(const Waiter &waiter) {
  if (Idle.empty())
    return nullptr;
  auto it = Idle.end() - 1;
  if (waiter.Values) {
    auto match =
        std::ranges::find_if(Idle, [&](const ServerConnectionPtr &connection) {
          return !connection->Session.Uncertain &&
                 connection->Session.Values == *waiter.Values;
        });
    if (match != Idle.end())
      it = match;
  }
  ServerConnectionPtr connection = *it;
  Idle.erase(it);
  return connection;
}

ServerConnectionPtr ServerPool::takeIdle() {
  if (Idle.empty())
    return nullptr;
  ServerConnectionPtr connection = Idle.back();
  Idle.pop_back();
  connection->GrantedFor = WorkKind::Probe;
  Busy.push_back(connection);
  return connection;
}

void ServerPool::grant(const ServerConnectionPtr &connection,
                       const WaiterPtr &waiter) {
  connection->GrantedFor = waiter->Kind;
  Busy.push_back(connection);
  waiter->OnGranted(connection);
}

void ServerPool::cancel(const WaiterPtr &waiter) { Waiting.remove(waiter); }

void ServerPool::release(const ServerConnectionPtr &connection) {
  if (!removeFrom(Busy, connection))
    return;
  bool reusable = connection->isIdle() &&
                  connection->transaction() == sql::TransactionState::Idle;
  if (!reusable || Closing) {
    connection->OnSettled = nullptr;
    connection->close();
  } else {
    Idle.push_back(connection);
  }
  serveWaiting();
}

void ServerPool::abandon(const ServerConnectionPtr &connection) {
  if (connection->phase() != ServerConnection::Phase::Running) {
    release(connection);
    return;
  }
  if (!removeFrom(Busy, connection))
    return;
  connection->discardReplies();
  Abandoned.push_back(connection);
}

void ServerPool::serveWaiting() {
  while (!Idle.empty()) {
    auto next =
        std::ranges::find_if(Waiting, [this, now = use()](const auto &it) {
          return mayGrant(now, Share, it->Kind);
        });
    if (next == Waiting.end())
      break;
    WaiterPtr waiter = *next;
    Waiting.erase(next);
    admission::recordGrant(Grants, base::BootClock::now(), !Waiting.empty());
    grant(takeIdleFor(*waiter), waiter);
  }
  if (shouldOpen(counts(), Share, BackoffUntil, base::BootClock::now()))
    openOne();
}

void ServerPool::openOne() {
  auto holder = std::make_shared<std::weak_ptr<ServerConnection>>();
  ServerConnectionPtr connection = ServerConnection::open(
      Loop, Server.Address, Server.Group, {}, Server.Id,
      [this, holder](std::optional<sql::ErrorCode> error) {
        if (ServerConnectionPtr it = holder->lock())
          onOpened(it, error);
      });
  *holder = connection;
  connection->OnSettled = [this, holder] {
    ServerConnectionPtr it = holder->lock();
    if (!it)
      return;
    // Either the server closed an idle connection, or an abandoned connection
    // has received its replies or was closed.
    if (removeFrom(Idle, it)) {
      it->OnSettled = nullptr;
      return;
    }
    if (!removeFrom(Abandoned, it))
      return;
    Busy.push_back(it);
    release(it);
  };
  Opening.push_back(connection);
}

void ServerPool::onOpened(const ServerConnectionPtr &connection,
                          std::optional<sql::ErrorCode> error) {
  if (!removeFrom(Opening, connection))
    return;
  auto now = base::BootClock::now();
  if (!error) {
    Condition.Unreachable = false;
    Condition.LastContact = std::max(Condition.LastContact, now);
    Idle.push_back(connection);
    serveWaiting();
    return;
  }
  switch (*error) {
  case sql::ErrorCode::TooManyConnections:
    // A server that refuses a connection because of its limit is alive. It
    // counts connections of hosts that lost power for some seconds.
    Condition.LastContact = now;
    Condition.Unreachable = false;
    BackoffUntil = now + LimitBackoff;
    return;
  case sql::ErrorCode::WrongServer:
    Condition.WrongIdentity = true;
    refuseAll(sql::ErrorCode::WrongServer);
    return;
  default:
    break;
  }
  BackoffUntil = now + FailureBackoff;
  if (!Condition.Unreachable)
    Condition.UnreachableSince = now;
  Condition.Unreachable = true;
  if (openCount() == 0)
    refuseAll(sql::ErrorCode::Busy);
}

void ServerPool::refuseAll(sql::ErrorCode code) {
  auto refused = std::exchange(Waiting, {});
  for (const auto &it : refused)
    it->OnRefused(code);
}

void ServerPool::recordReply(base::BootTime sentAt, const sql::Reply &reply) {
  if (reply.Lost)
    return;
  auto took = base::BootClock::now() - sentAt;
  Condition.LastContact = std::max(Condition.LastContact, sentAt);
  Condition.Unreachable = false;
  if (reply.Error == sql::ErrorCode::Lagging)
    Condition.LastLagging = base::BootClock::now();
  else
    Condition.Latency += (took - Condition.Latency) / LatencyWeight;
  if (reply.Position)
    Condition.Applied = *reply.Position;
}

void ServerPool::maintain(base::BootTime now) {
  auto stale = Abandoned;
  for (const auto &it : stale) {
    if (now - it->sentAt() < AbandonedReplyTimeout)
      continue;
    removeFrom(Abandoned, it);
    it->OnSettled = nullptr;
    it->close();
  }
  auto idle = Idle;
  for (const auto &it : idle) {
    if (!shouldCloseIdle(counts(), Share, now - it->idleSince()))
      continue;
    removeFrom(Idle, it);
    it->OnSettled = nullptr;
    it->close();
  }
  PoolCounts it = counts();
  bool belowShare = it.Open + it.Opening < std::min(1, Share.Guaranteed);
  if (!Closing && !Condition.WrongIdentity && now >= BackoffUntil &&
      it.Opening == 0 && (belowShare || it.Waiting > 0)) {
    it.Waiting = std::max(it.Waiting, 1);
    if (shouldOpen(it, Share, BackoffUntil, now))
      openOne();
  }
}

void ServerPool::shutDown() {
  Closing = true;
  refuseAll(sql::ErrorCode::WrongServer);
  auto idle = std::exchange(Idle, {});
  for (const auto &it : idle) {
    it->OnSettled = nullptr;
    it->close();
  }
}

} // namespace baobabpin::pooling
