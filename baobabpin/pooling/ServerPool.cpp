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
/// The same for the time between two statements of a transaction.
constexpr int RestWeight = 16;

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
    for (auto &it : *list) {
      it->OnSettled = nullptr;
      it->OnResumed = nullptr;
    }
  }
}

PoolCounts ServerPool::counts() const {
  return {static_cast<int>(Idle.size() + Busy.size() + Abandoned.size()),
          static_cast<int>(Opening.size())};
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
  // Waiting work of the same kind and organisation would have been granted the
  // idle connection already, so this request overtakes none of it.
  if (mayGrantNow(*waiter, use())) {
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
  auto position = std::distance(Waiting.begin(), insertAt);
  auto ahead = countAhead(waitingWork(), waiter->Organisation, waiter->Priority,
                          static_cast<std::size_t>(position));
  auto wait = admission::expectedWait(Grants, ahead);
  bool hopeless = admission::shouldRefuse(wait, waiter->Deadline - now);
  if (waiter->Target && !hopeless) {
    bool lateWorkWaits = std::ranges::any_of(
        Waiting, [&](const WaiterPtr &it) { return isLate(*it, now); });
    hopeless = admission::shouldRefuseLate(
        wait + Condition.Latency, *waiter->Target - now, lateWorkWaits);
  }
  if (waiter->Deadline != base::BootTime{} && !Waiting.empty() && hopeless) {
    waiter->ExpectedWait = wait;
    waiter->OnRefused(sql::ErrorCode::TooManyConnections);
    return;
  }
  Waiting.insert(insertAt, waiter);
  HasOrganisations = HasOrganisations || !waiter->Organisation.empty();
  openForWaiting(now);
  if (openCount() == 0 && Opening.empty() && Condition.Unreachable)
    refuseAll(sql::ErrorCode::Busy);
}

bool ServerPool::isLate(const Waiter &waiter, base::BootTime now) const {
  return waiter.Target && now + Condition.Latency > *waiter.Target;
}

bool ServerPool::mayGrantNow(const Waiter &waiter, const PoolUse &use) const {
  ConnectionShare share = Share;
  if (auto limit = statementLimit())
    share.Statements = *limit;
  return waiter.Organisation.empty()
             ? mayGrant(use, share, waiter.Kind)
             : mayGrantToOrganisation(use, share, waiter.Kind);
}

bool ServerPool::limitsStatements() const {
  return Share.Statements != std::numeric_limits<int>::max();
}

std::optional<int> ServerPool::statementLimit() const {
  if (!limitsStatements())
    return std::nullopt;
  return std::min(Share.Statements, Pace.Limit);
}

void ServerPool::setShare(ConnectionShare share) {
  bool limited = limitsStatements();
  Share = share;
  if (!limitsStatements())
    return;
  pacing::setCapacity(Pace, Server.Slots, Share.Statements);
  if (!limited)
    pacing::restart(Pace, base::BootClock::now());
}

void ServerPool::update(const cluster::ServerRegistration &server) {
  bool otherRun = !cluster::maybeSameRun(server.StartedMs, Server.StartedMs);
  Server = server;
  if (otherRun)
    pacing::restart(Pace, base::BootClock::now());
}

std::vector<WaitingWork> ServerPool::waitingWork() const {
  std::vector<WaitingWork> list;
  list.reserve(Waiting.size());
  auto used = use();
  auto now = base::BootClock::now();
  for (const auto &it : Waiting)
    list.push_back({it->Organisation, it->Priority, mayGrantNow(*it, used),
                    it->Kind == WorkKind::Probe, isLate(*it, now)});
  return list;
}

std::vector<WaitingWork> ServerPool::startableWork() const {
  std::vector<WaitingWork> list;
  list.reserve(Waiting.size());
  auto expected = use();
  for (const auto &it : Waiting) {
    bool mayStart = mayGrantNow(*it, expected);
    list.push_back({it->Organisation, it->Priority, mayStart,
                    it->Kind == WorkKind::Probe});
    if (!mayStart)
      continue;
    expected.Statements += it->Kind == WorkKind::Statement ? 1 : 0;
    expected.Transactions += it->Kind == WorkKind::Transaction ? 1 : 0;
  }
  return list;
}

bool ServerPool::lacksConnections() const {
  auto now = use();
  return std::ranges::any_of(Waiting, [&](const WaiterPtr &it) {
    return it->Kind == WorkKind::Transaction || mayGrantNow(*it, now);
  });
}

OrganisationUses ServerPool::organisationUses() const {
  OrganisationUses uses;
  for (const auto &it : Idle)
    ++uses[it->Organisation].Idle;
  for (const auto &it : Busy)
    ++uses[it->Organisation].Busy;
  for (const auto &it : Opening)
    ++uses[it->Organisation].Opening;
  for (const auto &it : Waiting)
    ++uses[it->Organisation].Waiting;
  for (auto &[name, it] : uses)
    it.Turn = turnOf(Turns, name);
  return uses;
}

ServerConnectionPtr ServerPool::takeIdleFor(const Waiter &waiter) {
  // A probe runs no statement of a client, so it may use any connection.
  auto usable = [&](const ServerConnectionPtr &it) {
    return waiter.Kind == WorkKind::Probe ||
           it->Organisation == waiter.Organisation;
  };
  auto best = Idle.end();
  for (auto it = Idle.begin(); it != Idle.end(); ++it) {
    if (!usable(*it))
      continue;
    best = it;
    const auto &session = (*it)->Session;
    if (waiter.Values && !session.Uncertain && session.Values == *waiter.Values)
      break;
  }
  if (best == Idle.end())
    return nullptr;
  ServerConnectionPtr connection = *best;
  Idle.erase(best);
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
  auto now = use();
  connection->InFlightWhenGranted =
      now.Statements + now.Transactions + counts().Opening;
  recordTurn(Turns, waiter->Organisation, waiter->Share);
  waiter->OnGranted(connection);
}

void ServerPool::cancel(const WaiterPtr &waiter) { Waiting.remove(waiter); }

void ServerPool::release(const ServerConnectionPtr &connection) {
  bool wanted = yieldsConnection(connection->Organisation);
  if (!removeFrom(Busy, connection))
    return;
  bool reusable = connection->isIdle() &&
                  connection->transaction() == sql::TransactionState::Idle;
  bool yields = reusable && wanted;
  Events.Replaced += yields ? 1 : 0;
  if (!reusable || Closing || yields) {
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
  while (!Idle.empty() && !Waiting.empty()) {
    auto next = chooseToServe(waitingWork(), organisationUses());
    if (!next)
      break;
    auto it = std::next(Waiting.begin(), static_cast<std::ptrdiff_t>(*next));
    WaiterPtr waiter = *it;
    Waiting.erase(it);
    admission::recordGrant(Grants, base::BootClock::now(), !Waiting.empty());
    grant(takeIdleFor(*waiter), waiter);
  }
  openForWaiting(base::BootClock::now());
}

void ServerPool::openForWaiting(base::BootTime now) {
  if (Waiting.empty() || now < BackoffUntil ||
      counts().Opening >=
          openingLimit(Server.Slots, HasOrganisations, LimitRefusals > 0))
    return;
  auto uses = organisationUses();
  auto organisation = chooseToOpenFor(startableWork(), uses);
  if (!organisation && needsMoreOpen())
    organisation.emplace();
  if (!organisation)
    return;
  ConnectionShare share = Share;
  share.Maximum =
      openLimitFor(Share.Maximum, *organisation, uses[*organisation].held());
  PoolCounts it = counts();
  // The chosen work is not served by any of the connections being opened.
  it.Waiting = it.Opening + 1;
  bool hasRoom = shouldOpen(it, share, BackoffUntil, now);
  bool replaces = (!hasRoom || LimitRefusals > 0) &&
                  mayReplace(uses, *organisation, Share.Maximum) &&
                  closeIdleInFavourOf(*organisation, uses);
  if (hasRoom || replaces)
    openOne(*organisation);
}

bool ServerPool::yieldsConnection(
    const base::OrganisationName &organisation) const {
  // Nothing yields while a connection is being opened, which may be the one
  // that is needed.
  if (Waiting.empty() || !Opening.empty() || !Idle.empty() || !isFull())
    return false;
  auto uses = organisationUses();
  auto work = startableWork();
  std::erase_if(work, [](const WaitingWork &it) { return it.AnyOrganisation; });
  auto waiting = chooseToOpenFor(work, uses);
  return waiting && *waiting != organisation &&
         mustYield(uses, organisation, *waiting);
}

bool ServerPool::needsMoreOpen() const {
  auto now = use();
  return std::ranges::any_of(Waiting, [&](const WaiterPtr &it) {
    return it->Organisation.empty() && !mayGrant(now, Share, it->Kind) &&
           mayGrantToOrganisation(now, Share, it->Kind);
  });
}

bool ServerPool::closeIdleInFavourOf(const base::OrganisationName &organisation,
                                     const OrganisationUses &uses) {
  std::vector<IdleConnection> idle;
  idle.reserve(Idle.size());
  for (const auto &it : Idle)
    idle.push_back({it->Organisation, it->idleSince()});
  auto surplus = chooseToClose(idle, uses, organisation);
  if (!surplus)
    return false;
  ServerConnectionPtr connection = Idle[*surplus];
  removeFrom(Idle, connection);
  connection->OnSettled = nullptr;
  connection->close();
  ++Events.Replaced;
  return true;
}

void ServerPool::reclaimIdleTransaction(base::BootTime now) {
  if (!lacksConnections() || !isFull())
    return;
  ServerConnectionPtr longest;
  for (const auto &it : Busy) {
    bool rests = it->GrantedFor == WorkKind::Transaction && it->isIdle() &&
                 it->transaction() != sql::TransactionState::Idle;
    if (rests && (!longest || it->idleSince() < longest->idleSince()))
      longest = it;
  }
  if (!longest || !mayReclaim(now - longest->idleSince(), UsualRest))
    return;
  // The server rolls the transaction back. Its holder finds the connection
  // closed when the client sends the next statement, and reports the abort.
  removeFrom(Busy, longest);
  longest->OnSettled = nullptr;
  longest->close();
  ++Events.Reclaimed;
  openForWaiting(now);
}

bool ServerPool::isFull() const {
  auto counted = counts();
  int total = counted.Open + counted.Opening;
  if (total >= Share.Maximum || LimitRefusals > 0)
    return true;
  auto uses = organisationUses();
  auto organisation = chooseToOpenFor(startableWork(), uses);
  return organisation && total >= openLimitFor(Share.Maximum, *organisation,
                                               uses[*organisation].held());
}

void ServerPool::openOne(const base::OrganisationName &organisation) {
  auto holder = std::make_shared<std::weak_ptr<ServerConnection>>();
  ServerConnectionPtr connection = ServerConnection::open(
      Loop, Server.Address, Server.Group, organisation, Server.Id,
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
      if (openCount() == 0)
        pacing::restart(Pace, base::BootClock::now());
      it->OnSettled = nullptr; // Destroys this closure.
      return;
    }
    if (!removeFrom(Abandoned, it))
      return;
    Busy.push_back(it);
    release(it);
  };
  connection->OnResumed = [this](std::chrono::nanoseconds rest) {
    UsualRest += (rest - UsualRest) / RestWeight;
  };
  Opening.push_back(connection);
}

void ServerPool::onOpened(const ServerConnectionPtr &connection,
                          std::optional<sql::ErrorCode> error) {
  if (!removeFrom(Opening, connection))
    return;
  auto now = base::BootClock::now();
  if (!error) {
    LimitRefusals = 0;
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
    // Connections that were being opened at the same time count as one.
    if (now >= BackoffUntil)
      ++LimitRefusals;
    BackoffUntil = now + limitBackoff(LimitRefusals);
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
  if (openCount() == 0) {
    pacing::restart(Pace, now);
    refuseAll(sql::ErrorCode::Busy);
  }
}

void ServerPool::addConnections(PoolConnections &sum) const {
  sum.Idle += Idle.size();
  sum.Busy += Busy.size();
  sum.Opening += Opening.size();
  sum.Abandoned += Abandoned.size();
  for (const auto *list : {&Idle, &Busy, &Opening, &Abandoned}) {
    for (const auto &it : *list) {
      if (!it->Organisation.empty())
        sum.Organisations.insert(it->Organisation);
    }
  }
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

void ServerPool::recordPace(const ServerConnection &connection,
                            const sql::Reply &reply, std::string_view kind) {
  if (!limitsStatements())
    return;
  auto now = base::BootClock::now();
  if (reply.Lost) {
    pacing::recordLoss(Pace, connection.sentAt(), now);
    return;
  }
  bool refused = reply.Error == sql::ErrorCode::Busy;
  if (reply.Error && !refused) {
    pacing::recordError(Pace, now);
    return;
  }
  // Statements of a transaction keep the slot that its first one waited for.
  bool comparable = connection.GrantedFor == WorkKind::Statement;
  pacing::recordReply(Pace, {.SentAt = connection.sentAt(),
                             .At = now,
                             .Kind = comparable ? kind : std::string_view(),
                             .InFlight = connection.InFlightWhenGranted,
                             .Refused = refused});
}

void ServerPool::checkSilence(base::BootTime now) {
  if (!limitsStatements())
    return;
  for (const auto *list : {&Busy, &Abandoned}) {
    for (const auto &it : *list) {
      if (it->phase() == ServerConnection::Phase::Running &&
          it->GrantedFor != WorkKind::Probe)
        pacing::recordSilence(Pace, it->sentAt(), now);
    }
  }
}

void ServerPool::maintain(base::BootTime now) {
  checkSilence(now);
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
    // Another connection of an organisation would have to be opened for it,
    // while others do not need this one.
    bool kept = !it->Organisation.empty() && counts().Open <= Share.Maximum;
    if (kept || !shouldCloseIdle(counts(), Share, now - it->idleSince()))
      continue;
    removeFrom(Idle, it);
    it->OnSettled = nullptr;
    it->close();
  }
  if (Closing || Condition.WrongIdentity)
    return;
  PoolCounts it = counts();
  bool belowShare = it.Open + it.Opening < std::min(1, Share.Guaranteed);
  if (belowShare && it.Opening == 0 && now >= BackoffUntil && Waiting.empty())
    openOne({});
  else
    openForWaiting(now);
  reclaimIdleTransaction(now);
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
