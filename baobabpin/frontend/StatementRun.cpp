#include "baobabpin/frontend/StatementRun.h"

#include "baobabpin/base/Hash.h"

#include <algorithm>
#include <utility>

namespace baobabpin::frontend {
namespace {

using sql::ErrorCode;
using std::chrono::milliseconds;

/// Maximum number of attempts of one statement, the first included. For a read
/// that any server may run, only attempts that may have run count; refusals
/// cost a server nothing, and the pauses after them limit their number. For a
/// statement that needs the primary, the maximum applies only after an attempt
/// that was refused; after other failures it is retried until its deadline.
constexpr int MaxAttempts = 4;
/// The first and the longest delay before the primary is tried again. A primary
/// that cannot be reached is replaced, or reachable again, within the time
/// limit of most statements.
constexpr milliseconds PrimaryRetryDelay{25};
constexpr milliseconds PrimaryRetryDelayLimit{100};
/// How long a read waits for the first log position of a primary. After a
/// restart of all nodes, reads that were sent to the primaries instead kept
/// them so busy that no position arrived for a second.
constexpr milliseconds PositionWaitLimit{150};
/// A read without a reply after this time, or after SlowReplyFactor times the
/// server's average latency if that is longer, is tried at another server,
/// because its reply may be lost.
constexpr milliseconds SlowReplyFloor{250};
constexpr int SlowReplyFactor = 8;
/// How long the reply of a commit is still awaited after its time limit, or
/// after its client has gone. A reply that has not arrived by then is taken as
/// lost.
constexpr milliseconds CommitReplyLimit{400};
/// A connection with more prepared statements than this is reset before its
/// next use.
constexpr std::size_t MaxPreparedNames = 256;

/// The name under which a statement is prepared at servers. It is derived from
/// the statement, so that sessions share prepared statements and a name cannot
/// stand for another statement, unless two 64-bit hashes collide.
std::string preparedName(const PreparedStatement &it) {
  const char *prefix = it.Access == sql::Access::Write ? "w" : "r";
  return prefix + std::to_string(base::hash64(it.Shape));
}

admission::Failure failureOf(ErrorCode code, RetryCause cause) {
  switch (cause) {
  case RetryCause::ConnectionLost:
  case RetryCause::ReplyLost:
  case RetryCause::SlowReply:
    return admission::Failure::NoReply;
  case RetryCause::NoOwner:
  case RetryCause::ServerUnreachable:
    return admission::Failure::Unreachable;
  case RetryCause::ServerRefused:
  case RetryCause::SetupRefused:
  case RetryCause::OwnerRefused:
  case RetryCause::Overloaded:
    break;
  }
  return sql::promisesNoEffect(code) ? admission::Failure::Refused
                                     : admission::Failure::NoReply;
}

/// Names statements of similar cost: those of one database, reads or writes.
std::string workKind(const RunRequest &it) {
  return it.Route.Database + (it.Writes ? " write" : " read");
}

} // namespace

StatementRun::StatementRun(kernel::EventLoop &loop, kernel::LineLog &log,
                           std::shared_ptr<GroupProxy> group,
                           RunRequest request, Callback callback)
    : Loop(loop), Log(log), Group(std::move(group)),
      Request(std::move(request)), OnDone(std::move(callback)) {
  Deadline = Request.Arrived + Request.Route.StatementTimeout;
}

void StatementRun::start() {
  DeadlineTimer =
      Loop.runAfter(Deadline - base::BootClock::now(),
                    [self = shared_from_this()] { self->onDeadline(); });
  if (!isPinned()) {
    admission::onRequest(Group->slowReadBudget());
    chooseServer();
    return;
  }
  Pool = Request.Pinned.Pool;
  Epoch = Request.Pinned.Epoch;
  GrantedAt = base::BootClock::now();
  if (Request.Pinned.Channel) {
    sendThroughOwner(Request.Pinned.Channel, Request.Pinned.TransactionId);
    return;
  }
  // finish() returns the connection to its pool.
  Connection = Request.Pinned.Connection;
  if (!Connection->isIdle()) {
    finish(ErrorCode::Aborted, "connection_lost");
    return;
  }
  if (Request.Pinned.OnPrimary && Request.Writes && !isStillPrimary()) {
    finish(ErrorCode::Aborted, "primary_replaced");
    return;
  }
  prepareConnection();
}

void StatementRun::cancel() {
  OnDone = nullptr;
  stopWaiting();
  if (Connection && Committing)
    waitForCommit();
  else
    releaseConnection();
}

void StatementRun::stopWaiting() {
  DeadlineTimer.cancel();
  SlowTimer.cancel();
  RetryTimer.cancel();
  Resume.reset();
  if (Waiter)
    Pool->cancel(Waiter);
  Waiter.reset();
}

void StatementRun::waitForCommit() {
  // The commit counts as in flight until its reply arrives. The reply may never
  // arrive, so the connection is closed after CommitReplyLimit.
  DeadlineTimer = Loop.runAfter(CommitReplyLimit, [self = shared_from_this()] {
    if (auto connection = self->Connection)
      connection->close();
  });
}

bool StatementRun::isStillPrimary() const {
  auto choice = Group->primary();
  return choice.Pool == Pool && choice.Epoch == Epoch;
}

void StatementRun::chooseServer() {
  Resume.reset();
  RetryTimer.cancel();
  if (Request.FixedServer)
    runOnFixedServer();
  else if (Request.NeedsPrimary)
    runOnPrimary();
  else
    runOnReplica();
}

void StatementRun::runOnFixedServer() {
  WaitFor = Request.FixedWaitFor;
  PoolPtr pool = Group->pool(*Request.FixedServer);
  auto choice = Group->primary();
  bool onPrimary = choice.Pool && choice.Pool == pool;
  if (!pool || (!onPrimary && (Request.NeedsPrimary || !WaitFor))) {
    finish(ErrorCode::Busy, pool ? "not_the_primary" : "unknown_server");
    return;
  }
  if (!onPrimary && Group->isLeaving(*Request.FixedServer)) {
    finish(ErrorCode::Busy, "server_leaves");
    return;
  }
  Epoch = onPrimary ? choice.Epoch : 0;
  acquire(pool);
}

void StatementRun::runOnPrimary() {
  auto choice = Group->primary();
  WaitFor.reset();
  switch (choice.Use) {
  case cluster::PrimaryUse::Allowed:
    if (endIfOverloaded(choice.Pool))
      return;
    Epoch = choice.Epoch;
    acquire(choice.Pool);
    return;
  default:
    waitOrRefuse(choice.Use, ErrorCode::Busy);
  }
}

admission::TimeBudget StatementRun::timeBudget() const {
  auto now = base::BootClock::now();
  admission::TimeBudget budget{Request.Route.Priority, Deadline - now, {}};
  if (auto it = target())
    budget.TargetLeft = *it - now;
  return budget;
}

std::optional<base::BootTime> StatementRun::target() const {
  if (Request.Route.TargetLatency.count() <= 0)
    return std::nullopt;
  return Request.Arrived + Request.Route.TargetLatency;
}

bool StatementRun::endIfOverloaded(const PoolPtr &pool) {
  if (!Group->isOverloaded(*pool, timeBudget()))
    return false;
  finish(ErrorCode::TooManyConnections, retryCauseName(RetryCause::Overloaded));
  return true;
}

void StatementRun::waitOrRefuse(cluster::PrimaryUse use, ErrorCode code) {
  // A node with an expired lease, or one that fails to register, cannot tell
  // when it will be able to use primaries. Other nodes may be able to serve the
  // statement.
  if (use == cluster::PrimaryUse::LeaseExpired ||
      (use == cluster::PrimaryUse::Unregistered &&
       Group->isRegistrationFailing())) {
    finish(code, cluster::primaryUseName(use));
    return;
  }
  // A failover, or the start of this node, takes less than the time limit of
  // most statements, and no other node would serve the statement sooner.
  Resume = Group->waitForPrimary([weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->chooseServer();
  });
}

void StatementRun::runOnReplica() {
  cluster::FreshnessRequirement need{
      Request.FreshAsOf - Request.Route.MaxStaleness, Request.OwnCommit};
  WaitFor = Group->requiredPosition(need);
  auto choice = Group->primary();
  if (!WaitFor && choice.Pool && !std::exchange(PositionAwaited, true)) {
    waitForServer(PositionWaitLimit);
    return;
  }
  if (!WaitFor) {
    readFromPrimary();
    return;
  }
  auto plan = Group->planRead(*WaitFor, Excluded, timeBudget());
  switch (plan.Step) {
  case cluster::ReadStep::Send:
    Epoch = 0;
    acquire(plan.Pool);
    return;
  case cluster::ReadStep::Wait:
    waitForServer(plan.Delay);
    return;
  case cluster::ReadStep::NoneInReach:
    readFromPrimary();
    return;
  case cluster::ReadStep::NotInTime:
    break;
  }
  if (!choice.Pool) {
    waitOrRefuse(choice.Use, ErrorCode::Lagging);
    return;
  }
  if (RefusedForLoad || plan.Overloaded)
    finish(ErrorCode::TooManyConnections,
           retryCauseName(RetryCause::Overloaded));
  else
    finish(ErrorCode::Lagging, "no_fresh_server");
}

void StatementRun::readFromPrimary() {
  auto choice = Group->primary();
  if (!choice.Pool) {
    waitOrRefuse(choice.Use, ErrorCode::Lagging);
    return;
  }
  auto now = base::BootClock::now();
  const auto &id = choice.Pool->server().Id;
  if (admission::isOutOfReach(Excluded, id, now)) {
    // The statement fails at once, so that the client can retry it at a node in
    // another availability zone, which may reach servers that this node cannot.
    finish(ErrorCode::Lagging, "no_server_in_reach");
    return;
  }
  auto pause = admission::excludedFor(Excluded, id, now);
  if (pause > std::chrono::nanoseconds(0)) {
    waitForServer(pause);
    return;
  }
  if (endIfOverloaded(choice.Pool))
    return;
  WaitFor.reset();
  Epoch = choice.Epoch;
  acquire(choice.Pool);
}

void StatementRun::waitForServer(std::chrono::nanoseconds delay) {
  auto again = [weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->chooseServer();
  };
  if (!WaitFor || !Group->primary().Pool)
    Resume = Group->waitForPrimary(again);
  RetryTimer = Loop.runAfter(delay, again);
}

void StatementRun::acquire(const PoolPtr &pool) {
  ++Attempts;
  Pool = pool;
  if (!Request.FixedServer) {
    if (ChannelPtr channel = Group->channelFor(*pool)) {
      GrantedAt = base::BootClock::now();
      sendThroughOwner(channel, 0);
      return;
    }
    if (!Group->mayConnect(*pool)) {
      retryOrFinish(ErrorCode::Busy, RetryCause::NoOwner);
      return;
    }
  }
  Waiter = std::make_shared<pooling::Waiter>();
  Waiter->Kind = Request.Begin ? pooling::WorkKind::Transaction
                               : pooling::WorkKind::Statement;
  Waiter->Organisation = Request.Organisation;
  Waiter->Share = Group->organisationShare(Request.Organisation);
  Waiter->Priority = Request.Route.Priority;
  Waiter->Deadline = Deadline;
  Waiter->Target = target();
  Waiter->Values = &Request.Values;
  Waiter->OnGranted = [weak = weak_from_this()](
                          const pooling::ServerConnectionPtr &connection) {
    if (auto self = weak.lock())
      self->onGranted(connection);
  };
  Waiter->OnRefused = [weak = weak_from_this()](ErrorCode code) {
    if (auto self = weak.lock())
      self->onRefused(code);
  };
  pool->acquire(Waiter);
}

void StatementRun::onRefused(ErrorCode code) {
  bool overloaded = code == ErrorCode::TooManyConnections;
  if (overloaded) {
    ExpectedWait = Waiter->ExpectedWait;
    // The queue is known at the node that has it, but other servers' queues are
    // compared with it.
    Group->recordWait(*Pool, Request.Route.Priority, ExpectedWait);
  }
  Waiter.reset();
  retryOrFinish(overloaded ? code : ErrorCode::Busy,
                overloaded ? RetryCause::Overloaded
                           : RetryCause::ServerUnreachable);
}

void StatementRun::onGranted(const pooling::ServerConnectionPtr &connection) {
  Waiter.reset();
  Connection = connection;
  GrantedAt = base::BootClock::now();
  // The primary may have been replaced while the statement waited.
  if (Epoch != 0 && !isStillPrimary()) {
    releaseConnection();
    chooseServer();
    return;
  }
  prepareConnection();
}

void StatementRun::prepareConnection() {
  std::string lines;
  std::size_t count = 0;
  auto &session = Connection->Session;
  bool hasExtraValues =
      std::ranges::any_of(session.Values, [&](const auto &it) {
        return !Request.Values.contains(it.first);
      });
  if (session.Uncertain || hasExtraValues ||
      session.PreparedNames.size() > MaxPreparedNames) {
    lines += platform::formatReset();
    ++count;
    session = {};
  }
  for (const auto &[name, value] : Request.Values) {
    auto it = session.Values.find(name);
    if (it != session.Values.end() && it->second == value)
      continue;
    sql::Statement set{
        .Kind = sql::Verb::SetValue, .Name = name, .Argument = value};
    lines += platform::formatProxyStatement(set);
    ++count;
    session.Values[name] = value;
  }
  if (Request.Prepared) {
    std::string name = preparedName(*Request.Prepared);
    Request.Statement.Name = name;
    if (session.PreparedNames.insert(name).second) {
      sql::Statement prepare{.Kind = sql::Verb::Prepare,
                             .Name = name,
                             .Argument = Request.Prepared->Shape,
                             .PreparedAccess = Request.Prepared->Access};
      lines += platform::formatProxyStatement(prepare);
      ++count;
    }
  }
  // If the transaction rolls back, it is not known whether the connection still
  // holds the values that were set inside it.
  if (isPinned() && count > 0)
    session.Uncertain = true;
  if (Request.Begin) {
    if (WaitFor)
      lines += platform::formatStatement(
          "-",
          {.Kind = *Request.Begin,
           .Text = *Request.Begin == sql::Verb::Begin ? "BEGIN" : "BEGIN READ"},
          WaitFor);
    else
      lines += platform::formatProxyStatement({.Kind = *Request.Begin});
    ++count;
  }
  if (count == 0) {
    sendStatement();
    return;
  }
  Connection->run(
      lines, count,
      [weak = weak_from_this()](const std::vector<sql::Reply> &replies) {
        if (auto self = weak.lock())
          self->onConnectionPrepared(replies);
      });
}

void StatementRun::onConnectionPrepared(
    const std::vector<sql::Reply> &replies) {
  for (const auto &it : replies) {
    if (it.succeeded())
      continue;
    Group->recordReply(*Pool, Connection->sentAt(), it, std::nullopt);
    // It is not known which session values and prepared statements the
    // connection now holds.
    Connection->Session.Uncertain = true;
    if (isPinned()) {
      finish(ErrorCode::Aborted, "connection_setup_failed");
      return;
    }
    retryOrFinish(it.Error.value_or(ErrorCode::Busy),
                  it.Lost ? RetryCause::ConnectionLost
                          : RetryCause::SetupRefused);
    return;
  }
  std::optional<std::uint64_t> epoch;
  if (Epoch != 0)
    epoch = Epoch;
  Group->recordReply(*Pool, Connection->sentAt(), replies.back(), epoch);
  sendStatement();
}

void StatementRun::sendStatement() {
  if (Epoch != 0 && Request.NeedsPrimary && !isPinned() && !isStillPrimary()) {
    releaseConnection();
    chooseServer();
    return;
  }
  bool carriesPosition = WaitFor && !Request.Begin && !isPinned();
  Sent = true;
  AwaitsLog = carriesPosition && Pool->condition().Applied < *WaitFor;
  Committing = Request.Writes;
  if (Committing)
    Group->beginCommit();
  Connection->run(
      platform::formatStatement(Request.Id, Request.Statement,
                                carriesPosition ? WaitFor : std::nullopt),
      1, [self = shared_from_this()](const std::vector<sql::Reply> &replies) {
        self->onReply(replies.back());
      });
  startSlowReplyTimer();
}

void StatementRun::sendThroughOwner(const ChannelPtr &channel,
                                    std::uint64_t transactionId) {
  relay::Request request;
  request.Kind = relay::RequestKind::Run;
  request.Group = Group->name();
  request.Server = Pool->server().Id;
  request.Transaction = transactionId;
  request.StatementId = Request.Id;
  request.Statement = Request.Statement;
  request.Database = Request.Route.Database;
  request.Organisation = Request.Organisation;
  request.Reads = Request.Route.Reads;
  request.Priority = Request.Route.Priority;
  RelayedAt = base::BootClock::now();
  request.TimeLeft = std::chrono::floor<milliseconds>(Deadline - RelayedAt);
  if (auto it = target())
    request.TargetLeft = std::max(
        milliseconds(1), std::chrono::floor<milliseconds>(*it - RelayedAt));
  request.Writes = Request.Writes;
  request.NeedsPrimary = Request.NeedsPrimary;
  request.Begin = Request.Begin;
  request.WaitFor = WaitFor;
  request.Values = Request.Values;
  request.Prepared = Request.Prepared;
  Sent = true;
  RelayChannel = channel;
  auto onReply = [weak = weak_from_this(), n = ++RelayAttempt,
                  channel](std::optional<relay::Reply> reply) {
    auto self = weak.lock();
    if (self && self->OnDone && self->RelayAttempt == n) {
      self->onRelayed(std::move(reply));
      return;
    }
    // The statement has been given up, so no one else would end the transaction
    // that it has opened.
    if (reply && reply->Transaction != 0)
      channel->release(reply->Transaction);
  };
  auto sequence = channel->send(std::move(request), onReply);
  RelaySequence = sequence;
  if (RelayChannel)
    startSlowReplyTimer();
}

void StatementRun::onRelayed(std::optional<relay::Reply> reply) {
  auto self = shared_from_this();
  SlowTimer.cancel();
  ChannelPtr channel = std::exchange(RelayChannel, nullptr);
  if (!reply || reply->Result.Lost) {
    onLost();
    return;
  }
  std::optional<std::uint64_t> epoch;
  if (reply->OnPrimary)
    epoch = reply->Epoch;
  Group->recordReply(*Pool, RelayedAt, reply->Result, epoch);
  Epoch = reply->OnPrimary ? reply->Epoch : 0;
  if (reply->RefusedByOwner && reply->ExpectedWait.count() > 0)
    Group->recordWait(*Pool, Request.Route.Priority, reply->ExpectedWait);
  if (reply->Result.Error) {
    onError(reply->Result, !reply->RefusedByOwner);
    return;
  }
  RunResult result;
  result.Reply = std::move(reply->Result);
  result.Pinned = {Pool,         nullptr,         nullptr, reply->Transaction,
                   reply->Epoch, reply->OnPrimary};
  if (reply->Transaction != 0)
    result.Pinned.Channel = channel;
  Request.Pinned = {};
  finish(std::move(result), "ok");
}

void StatementRun::startSlowReplyTimer() {
  if (Request.Writes || isPinned() || Request.FixedServer)
    return;
  auto slowAfter = std::max<std::chrono::nanoseconds>(
      SlowReplyFloor, SlowReplyFactor * Pool->condition().Latency);
  SlowTimer = Loop.runAfter(slowAfter, [weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->onSlowReply();
  });
}

void StatementRun::onSlowReply() {
  if ((!Connection && !RelayChannel) || !mayRepeatUnanswered() ||
      !admission::tryRetry(Group->slowReadBudget()))
    return;
  retryOrFinish(ErrorCode::Busy, RetryCause::SlowReply);
}

bool StatementRun::mayRepeatUnanswered() const {
  // A statement for the primary is only repeated at the primary, where its
  // attempts are counted together.
  int attempts = Request.NeedsPrimary ? Attempts : UnansweredAttempts + 1;
  return attempts < MaxAttempts;
}

void StatementRun::onReply(const sql::Reply &reply) {
  SlowTimer.cancel();
  if (Connection)
    Pool->recordPace(*Connection, reply,
                     AwaitsLog ? std::string() : workKind(Request));
  bool committed = std::exchange(Committing, false);
  if (!OnDone) {
    if (committed)
      Group->endCommit();
    releaseConnection();
    return;
  }
  std::optional<std::uint64_t> epoch;
  if (Epoch != 0)
    epoch = Epoch;
  Group->recordReply(*Pool, Connection->sentAt(), reply, epoch);
  // This check must come before endCommit(), which may let a failover proceed.
  bool stillPrimary = !Request.Writes || isStillPrimary();
  if (committed)
    Group->endCommit();
  if (reply.Lost)
    onLost();
  else if (reply.Error)
    onError(reply, true);
  else if (!stillPrimary)
    finish(ErrorCode::InDoubt, "primary_replaced");
  else
    onSuccess(reply);
}

void StatementRun::onLost() {
  if (Request.Writes)
    finish(ErrorCode::InDoubt, "reply_lost");
  else if (isPinned())
    finish(ErrorCode::Aborted, "connection_lost");
  else
    retryOrFinish(ErrorCode::Busy, RetryCause::ReplyLost);
}

void StatementRun::onError(const sql::Reply &reply, bool fromServer) {
  bool notRun = sql::promisesNoEffect(*reply.Error);
  if (Withdrawn && notRun) {
    finish(*Withdrawn, "access_withdrawn");
    return;
  }
  bool mayRepeat =
      notRun || (!Request.Writes && (*reply.Error == ErrorCode::Failed ||
                                     *reply.Error == ErrorCode::TimedOut));
  if (!isPinned() && mayRepeat) {
    bool overloaded =
        !fromServer && *reply.Error == ErrorCode::TooManyConnections;
    auto ownerCause =
        overloaded ? RetryCause::Overloaded : RetryCause::OwnerRefused;
    retryOrFinish(notRun ? *reply.Error : ErrorCode::Failed,
                  fromServer ? RetryCause::ServerRefused : ownerCause);
    return;
  }
  RunResult result;
  result.FromServer = fromServer;
  result.Reply = reply;
  finish(std::move(result), "server_error");
}

void StatementRun::onSuccess(sql::Reply reply) {
  RunResult result;
  bool open = reply.State == sql::TransactionState::Open;
  result.Reply = std::move(reply);
  result.Pinned.Epoch = Epoch;
  result.Pinned.OnPrimary = Epoch != 0;
  result.FromServer = true;
  if (open) {
    result.Pinned.Pool = Pool;
    result.Pinned.Connection = std::exchange(Connection, nullptr);
  }
  finish(std::move(result), "ok");
}

void StatementRun::retryOrFinish(ErrorCode code, RetryCause cause) {
  SlowTimer.cancel();
  if (Withdrawn) {
    finish(*Withdrawn, "access_withdrawn");
    return;
  }
  std::string server = Pool->server().Id;
  releaseConnection();
  Log.line("statement_retry")
      .add("id", Request.Id)
      .add("server", server)
      .add("reason", retryCauseName(cause))
      .add("try", Attempts);
  Sent = false;
  if (Request.FixedServer) {
    finish(code, retryCauseName(cause));
    return;
  }
  if (Request.NeedsPrimary) {
    retryPrimary(code, cause);
    return;
  }
  auto failure = failureOf(code, cause);
  admission::exclude(Excluded, server, failure, base::BootClock::now());
  RefusedForLoad |= cause == RetryCause::Overloaded;
  if (failure == admission::Failure::NoReply) {
    ++UnansweredAttempts;
    if (UnansweredAttempts >= MaxAttempts) {
      finish(code, retryCauseName(cause));
      return;
    }
  }
  chooseServer();
}

void StatementRun::retryPrimary(ErrorCode code, RetryCause cause) {
  bool refused = cause == RetryCause::ServerRefused ||
                 cause == RetryCause::SetupRefused ||
                 cause == RetryCause::Overloaded;
  // No other server may run the statement, and the primary cannot run it in
  // time.
  bool overloaded = cause == RetryCause::Overloaded;
  if ((Attempts >= MaxAttempts && refused) || overloaded) {
    finish(code, retryCauseName(cause));
    return;
  }
  auto delay = std::min(PrimaryRetryDelay * Attempts, PrimaryRetryDelayLimit);
  RetryTimer = Loop.runAfter(delay, [weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->chooseServer();
  });
}

void StatementRun::onDeadline() {
  if (Sent)
    giveUp("time_limit");
  else if (Waiter)
    giveUp("no_connection");
  else
    giveUp(Excluded.Servers.empty() ? "no_primary" : "no_server_in_time");
}

void StatementRun::giveUp(std::string_view reason) {
  if (!Sent) {
    finish(ErrorCode::Busy, reason);
    return;
  }
  finish(Request.Writes ? ErrorCode::InDoubt : ErrorCode::TimedOut, reason);
}

void StatementRun::withdraw(ErrorCode code) {
  Withdrawn = code;
  if (mayHaveWritten() || (Sent && !RelayChannel)) {
    // The owner of the connections answers that it has cancelled the statement,
    // or with the outcome if a server has received it.
    if (RelayChannel)
      RelayChannel->cancel(RelaySequence);
    return;
  }
  finish(code, "access_withdrawn");
}

void StatementRun::releaseConnection() {
  // Changing RelayAttempt makes a later reply to this attempt ignored.
  if (auto channel = std::exchange(RelayChannel, nullptr)) {
    ++RelayAttempt;
    channel->cancel(RelaySequence);
  }
  auto pinned = std::exchange(Request.Pinned, {});
  if (pinned.Channel)
    rollBack(*Group, pinned);
  auto connection = std::exchange(Connection, nullptr);
  if (connection)
    Group->rollBackAndRelease(Pool, connection);
}

void StatementRun::finish(ErrorCode code, std::string_view reason) {
  RunResult result;
  if (code == ErrorCode::TooManyConnections)
    result.ExpectedWait = ExpectedWait;
  result.Reply.Error = code;
  result.Reply.ErrorText = reason;
  finish(std::move(result), reason);
}

void StatementRun::logOutcome(std::string_view reason, base::BootTime now) {
  auto line = Log.line("statement");
  line.add("id", Request.Id).add("database", Request.Route.Database);
  if (!Request.Organisation.empty())
    line.add("organisation", Request.Organisation);
  line.add("outcome", reason)
      .add("server", Pool ? Pool->server().Id : "none")
      .add("epoch", static_cast<std::int64_t>(Epoch))
      .add("position", WaitFor ? platform::formatLogPosition(*WaitFor) : "none")
      .add("tries", Attempts)
      .add("waited_ms",
           (GrantedAt > Request.Arrived ? GrantedAt : now) - Request.Arrived)
      .add("took_ms", now - Request.Arrived);
}

void StatementRun::finish(RunResult result, std::string_view reason) {
  auto callback = std::exchange(OnDone, nullptr);
  if (!callback)
    return;
  auto self = shared_from_this();
  auto now = base::BootClock::now();
  stopWaiting();
  logOutcome(reason, now);
  if (Connection && Committing)
    waitForCommit();
  else
    releaseConnection();
  callback(std::move(result));
}

} // namespace baobabpin::frontend
