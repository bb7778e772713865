#include "baobabpin/pooling/ServerPool.h"

#include <algorithm>
#include <utility>

namespace baobabpin::pooling {
namespace {

/// A reply that nobody waits for and that is not there by then is lost. Servers
/// work on a statement for 110 ms at most, on a slow day five times as long.
constexpr std::chrono::milliseconds AbandonedLimit{1000};
/// Weight of a new latency in the moving average: one part in this many.
constexpr int LatencyWeight = 8;

bool take(std::vector<LinkPtr> &links, const LinkPtr &link) {
  auto it = std::ranges::find(links, link);
  if (it == links.end())
    return false;
  links.erase(it);
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
  int waitingStatements = static_cast<int>(std::ranges::count(
      Waiting, Work::Statement, [](const WaiterPtr &it) { return it->Kind; }));
  int others = static_cast<int>(Waiting.size()) - waitingStatements;
  // One more connection helps no statement that waits for its turn.
  int startable = std::max(0, Share.Statements - use().Statements);
  return {static_cast<int>(Idle.size() + Busy.size() + Abandoned.size()),
          static_cast<int>(Opening.size()),
          others + std::min(waitingStatements, startable)};
}

PoolUse ServerPool::use() const {
  PoolUse it;
  it.Open = static_cast<int>(openCount());
  for (const auto &link : Busy) {
    it.Statements += link->GivenTo == Work::Statement ? 1 : 0;
    it.Transactions += link->GivenTo == Work::Transaction ? 1 : 0;
  }
  return it;
}

void ServerPool::acquire(const WaiterPtr &waiter) {
  if (Closing || Condition.WrongIdentity) {
    waiter->OnRefused(sql::ErrorCode::WrongServer);
    return;
  }
  // Whoever waits has no idle connection, or may not be given one; so this work
  // overtakes nobody who needs the same.
  if (mayGrant(use(), Share, waiter->Kind)) {
    if (LinkPtr link = takeIdleFor(*waiter)) {
      grant(link, waiter);
      return;
    }
  }
  auto before = std::ranges::find_if(Waiting, [&](const WaiterPtr &it) {
    return std::pair(waiter->Priority, waiter->Deadline) <
           std::pair(it->Priority, it->Deadline);
  });
  auto now = base::BootClock::now();
  auto ahead = std::distance(Waiting.begin(), before);
  if (waiter->Deadline != base::BootTime{} && !Waiting.empty() &&
      admission::isHopeless(
          admission::expectedWait(Pace, static_cast<std::size_t>(ahead)),
          waiter->Deadline - now)) {
    waiter->OnRefused(sql::ErrorCode::TooManyConnections);
    return;
  }
  Waiting.insert(before, waiter);
  if (shouldOpen(counts(), Share, BackoffUntil, now))
    openOne();
  else if (openCount() == 0 && Opening.empty() && Condition.Unreachable)
    refuseAll(sql::ErrorCode::Busy);
}

LinkPtr ServerPool::takeIdleFor(const Waiter &waiter) {
  if (Idle.empty())
    return nullptr;
  auto it = Idle.end() - 1;
  if (waiter.Values) {
    auto match = std::ranges::find_if(Idle, [&](const LinkPtr &link) {
      return !link->Session.Uncertain && link->Session.Values == *waiter.Values;
    });
    if (match != Idle.end())
      it = match;
  }
  LinkPtr link = *it;
  Idle.erase(it);
  return link;
}

LinkPtr ServerPool::takeIdle() {
  if (Idle.empty())
    return nullptr;
  LinkPtr link = Idle.back();
  Idle.pop_back();
  link->GivenTo = Work::Probe;
  Busy.push_back(link);
  return link;
}

void ServerPool::grant(const LinkPtr &link, const WaiterPtr &waiter) {
  link->GivenTo = waiter->Kind;
  Busy.push_back(link);
  waiter->OnGranted(link);
}

void ServerPool::cancel(const WaiterPtr &waiter) { Waiting.remove(waiter); }

void ServerPool::release(const LinkPtr &link) {
  if (!take(Busy, link))
    return;
  bool reusable =
      link->isIdle() && link->transaction() == sql::TransactionState::Idle;
  if (!reusable || Closing) {
    link->OnSettled = nullptr;
    link->close();
  } else {
    Idle.push_back(link);
  }
  serveWaiting();
}

void ServerPool::abandon(const LinkPtr &link) {
  if (link->phase() != ServerLink::Phase::Running) {
    release(link);
    return;
  }
  if (!take(Busy, link))
    return;
  link->dropCallback();
  Abandoned.push_back(link);
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
    admission::noteGrant(Pace, base::BootClock::now(), !Waiting.empty());
    grant(takeIdleFor(*waiter), waiter);
  }
  if (shouldOpen(counts(), Share, BackoffUntil, base::BootClock::now()))
    openOne();
}

void ServerPool::openOne() {
  auto holder = std::make_shared<std::weak_ptr<ServerLink>>();
  LinkPtr link =
      ServerLink::open(Loop, Server.Address, Server.Group, Server.Id,
                       [this, holder](std::optional<sql::ErrorCode> error) {
                         if (LinkPtr it = holder->lock())
                           onOpened(it, error);
                       });
  *holder = link;
  link->OnSettled = [this, holder] {
    LinkPtr it = holder->lock();
    if (!it)
      return;
    // Either an idle connection was closed by the server, or an abandoned one
    // has settled.
    if (take(Idle, it)) {
      it->OnSettled = nullptr;
      return;
    }
    if (!take(Abandoned, it))
      return;
    Busy.push_back(it);
    release(it);
  };
  Opening.push_back(link);
}

void ServerPool::onOpened(const LinkPtr &link,
                          std::optional<sql::ErrorCode> error) {
  if (!take(Opening, link))
    return;
  auto now = base::BootClock::now();
  if (!error) {
    Condition.Unreachable = false;
    Condition.LastHeard = std::max(Condition.LastHeard, now);
    Idle.push_back(link);
    serveWaiting();
    return;
  }
  switch (*error) {
  case sql::ErrorCode::TooManyConnections:
    // A server that refuses for its limit is alive. Connections of hosts that
    // lost power count against the limit for some seconds.
    Condition.LastHeard = now;
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

void ServerPool::observe(base::BootTime sentAt, const sql::Reply &reply) {
  if (reply.Lost)
    return;
  auto took = base::BootClock::now() - sentAt;
  Condition.LastHeard = std::max(Condition.LastHeard, sentAt);
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
    if (now - it->sentAt() < AbandonedLimit)
      continue;
    take(Abandoned, it);
    it->OnSettled = nullptr;
    it->close();
  }
  auto idle = Idle;
  for (const auto &it : idle) {
    if (!shouldGiveBack(counts(), Share, now - it->idleSince()))
      continue;
    take(Idle, it);
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
