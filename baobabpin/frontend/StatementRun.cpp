#include "baobabpin/frontend/StatementRun.h"

#include "baobabpin/base/Hash.h"

#include <algorithm>
#include <utility>

namespace baobabpin::frontend {
namespace {

using sql::ErrorCode;
using std::chrono::milliseconds;

/// Tries of one statement at servers that answered, the first included.
constexpr int MaxTries = 4;
/// Pauses before the primary is tried again. One that cannot be reached is
/// replaced, or comes back, within the time limit of most statements.
constexpr milliseconds PrimaryRetryDelay{25};
constexpr milliseconds PrimaryRetryDelayLimit{100};
/// How long a read waits for the first position of a primary. After a restart
/// of all nodes, reads that went to the primaries instead kept them busy, so
/// that no position came for a second.
constexpr milliseconds PositionPatience{150};
/// A read without a reply after this, or after several times the server's usual
/// latency, is tried elsewhere: its reply may be lost.
constexpr milliseconds SlowReplyFloor{250};
constexpr int SlowReplyFactor = 8;
/// A commit without a reply after this much more than its time limit never gets
/// one.
constexpr milliseconds CommitReplyLimit{400};
/// A connection with more prepared statements is reset.
constexpr std::size_t MaxPreparedNames = 256;

/// Equal statements get equal names, so that sessions share them and a name
/// can never mean another statement.
std::string preparedName(const PreparedStatement &it) {
  const char *prefix = it.Access == sql::Access::Write ? "w" : "r";
  return prefix + std::to_string(base::hash64(it.Shape));
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
    place();
    return;
  }
  Pool = Request.Pinned.Pool;
  Epoch = Request.Pinned.Epoch;
  GrantedAt = base::BootClock::now();
  if (Request.Pinned.Channel) {
    sendThroughOwner(Request.Pinned.Channel, Request.Pinned.Token);
    return;
  }
  if (!Request.Pinned.Link->isIdle()) {
    finish(ErrorCode::Aborted, "connection_lost");
    return;
  }
  Link = Request.Pinned.Link;
  if (Request.Pinned.OnPrimary && Request.Writes && !isStillPrimary()) {
    finish(ErrorCode::Aborted, "primary_replaced");
    return;
  }
  prepareLink();
}

void StatementRun::cancel() {
  OnDone = nullptr;
  stopWaiting();
  if (Link && Committing)
    waitForCommit();
  else
    releaseLink();
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
  // The commit counts as in flight until its reply, which may never come.
  DeadlineTimer = Loop.runAfter(CommitReplyLimit, [self = shared_from_this()] {
    if (auto link = self->Link)
      link->close();
  });
}

bool StatementRun::isStillPrimary() const {
  auto choice = Group->primary();
  return choice.Pool == Pool && choice.Epoch == Epoch;
}

void StatementRun::place() {
  Resume.reset();
  RetryTimer.cancel();
  if (Request.FixedServer)
    placeFixed();
  else if (Request.NeedsPrimary)
    placeOnPrimary();
  else
    placeOnReplica();
}

void StatementRun::placeFixed() {
  WaitFor = Request.FixedWaitFor;
  PoolPtr pool = Group->pool(*Request.FixedServer);
  auto choice = Group->primary();
  bool onPrimary = choice.Pool && choice.Pool == pool;
  if (!pool || (!onPrimary && (Request.NeedsPrimary || !WaitFor))) {
    finish(ErrorCode::Busy, pool ? "not_the_primary" : "unknown_server");
    return;
  }
  Epoch = onPrimary ? choice.Epoch : 0;
  acquire(pool);
}

void StatementRun::placeOnPrimary() {
  auto choice = Group->primary();
  WaitFor.reset();
  switch (choice.Use) {
  case cluster::PrimaryUse::Allowed:
    Epoch = choice.Epoch;
    acquire(choice.Pool);
    return;
  default:
    waitOrRefuse(choice.Use, ErrorCode::Busy);
  }
}

void StatementRun::waitOrRefuse(cluster::PrimaryUse use, ErrorCode code) {
  // A node that lost touch cannot tell for how long; other nodes may serve.
  if (use == cluster::PrimaryUse::LeaseExpired) {
    finish(code, cluster::primaryUseName(use));
    return;
  }
  // A move, or the start of this node, takes less than the time limit of most
  // statements, and no other node would serve the statement sooner.
  Resume = Group->waitForPrimary([weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->place();
  });
}

void StatementRun::placeOnReplica() {
  cluster::FreshnessRequirement need{Request.FreshAsOf -
                                         Request.Route.MaxStaleness,
                                     Request.OwnCommit, Request.OwnEpoch};
  WaitFor = cluster::requiredPosition(Group->history(), need);
  PoolPtr pool = WaitFor ? Group->chooseForRead(*WaitFor, Excluded) : nullptr;
  if (pool) {
    Epoch = 0;
    acquire(pool);
    return;
  }
  auto choice = Group->primary();
  if (!WaitFor && choice.Pool && !std::exchange(PositionAwaited, true)) {
    waitForPosition();
    return;
  }
  if (choice.Pool && !Excluded.contains(choice.Pool->server().Id)) {
    WaitFor.reset();
    Epoch = choice.Epoch;
    acquire(choice.Pool);
    return;
  }
  if (!choice.Pool) {
    waitOrRefuse(choice.Use, ErrorCode::Lagging);
    return;
  }
  // Nodes in another zone may reach servers that this one does not.
  finish(ErrorCode::Lagging, "no_fresh_server");
}

void StatementRun::waitForPosition() {
  auto again = [weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->place();
  };
  Resume = Group->waitForPrimary(again);
  RetryTimer = Loop.runAfter(PositionPatience, again);
}

void StatementRun::acquire(const PoolPtr &pool) {
  ++Tries;
  Pool = pool;
  if (!Request.FixedServer) {
    if (ChannelPtr channel = Group->channelFor(*pool)) {
      GrantedAt = base::BootClock::now();
      sendThroughOwner(channel, 0);
      return;
    }
    if (!Group->mayConnect(*pool)) {
      retryElsewhere(ErrorCode::Busy, RetryCause::NoOwner);
      return;
    }
  }
  Waiter = std::make_shared<pooling::Waiter>();
  Waiter->Kind =
      Request.Begin ? pooling::Work::Transaction : pooling::Work::Statement;
  Waiter->Priority = Request.Route.Priority;
  Waiter->Deadline = Deadline;
  Waiter->Values = &Request.Values;
  Waiter->OnGranted = [weak = weak_from_this()](const pooling::LinkPtr &link) {
    if (auto self = weak.lock())
      self->onGranted(link);
  };
  Waiter->OnRefused = [weak = weak_from_this()](ErrorCode code) {
    if (auto self = weak.lock())
      self->onRefused(code);
  };
  pool->acquire(Waiter);
}

void StatementRun::onRefused(ErrorCode code) {
  Waiter.reset();
  bool overloaded = code == ErrorCode::TooManyConnections;
  retryElsewhere(overloaded ? code : ErrorCode::Busy,
                 overloaded ? RetryCause::Overloaded
                            : RetryCause::ServerUnreachable);
}

void StatementRun::onGranted(const pooling::LinkPtr &link) {
  Waiter.reset();
  Link = link;
  GrantedAt = base::BootClock::now();
  // The primary may have been replaced while the statement waited.
  if (Epoch != 0 && !isStillPrimary()) {
    releaseLink();
    place();
    return;
  }
  prepareLink();
}

void StatementRun::prepareLink() {
  std::string lines;
  std::size_t count = 0;
  auto &session = Link->Session;
  bool extra = std::ranges::any_of(session.Values, [&](const auto &it) {
    return !Request.Values.contains(it.first);
  });
  if (session.Uncertain || extra ||
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
  // Values that are set inside a transaction are unknown if it rolls back.
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
  Link->run(lines, count,
            [weak = weak_from_this()](const std::vector<sql::Reply> &replies) {
              if (auto self = weak.lock())
                self->onLinkPrepared(replies);
            });
}

void StatementRun::onLinkPrepared(const std::vector<sql::Reply> &replies) {
  for (const auto &it : replies) {
    if (it.succeeded())
      continue;
    Group->observe(*Pool, Link->sentAt(), it, std::nullopt);
    // What the connection holds now is not known.
    Link->Session.Uncertain = true;
    if (isPinned()) {
      finish(ErrorCode::Aborted, "connection_setup_failed");
      return;
    }
    retryElsewhere(it.Error.value_or(ErrorCode::Busy),
                   it.Lost ? RetryCause::ConnectionLost
                           : RetryCause::SetupRefused);
    return;
  }
  std::optional<std::uint64_t> epoch;
  if (Epoch != 0)
    epoch = Epoch;
  Group->observe(*Pool, Link->sentAt(), replies.back(), epoch);
  sendStatement();
}

void StatementRun::sendStatement() {
  if (Epoch != 0 && Request.NeedsPrimary && !isPinned() && !isStillPrimary()) {
    releaseLink();
    place();
    return;
  }
  bool awaited = WaitFor && !Request.Begin && !isPinned();
  Sent = true;
  Committing = Request.Writes;
  if (Committing)
    Group->beginCommit();
  Link->run(
      platform::formatStatement(Request.Id, Request.Statement,
                                awaited ? WaitFor : std::nullopt),
      1, [self = shared_from_this()](const std::vector<sql::Reply> &replies) {
        self->onReply(replies.back());
      });
  watchReply();
}

void StatementRun::sendThroughOwner(const ChannelPtr &channel,
                                    std::uint64_t token) {
  relay::Request request;
  request.Kind = relay::RequestKind::Run;
  request.Group = Group->name();
  request.Server = Pool->server().Id;
  request.Transaction = token;
  request.StatementId = Request.Id;
  request.Statement = Request.Statement;
  request.Database = Request.Route.Database;
  request.Reads = Request.Route.Reads;
  request.Priority = Request.Route.Priority;
  RelayedAt = base::BootClock::now();
  request.TimeLeft = std::chrono::floor<milliseconds>(Deadline - RelayedAt);
  request.Writes = Request.Writes;
  request.NeedsPrimary = Request.NeedsPrimary;
  request.Begin = Request.Begin;
  request.WaitFor = WaitFor;
  request.Values = Request.Values;
  request.Prepared = Request.Prepared;
  Sent = true;
  Relay = channel;
  auto onReply = [weak = weak_from_this(), n = ++RelayTry,
                  channel](std::optional<relay::Reply> reply) {
    auto self = weak.lock();
    if (self && self->OnDone && self->RelayTry == n) {
      self->onRelayed(std::move(reply));
      return;
    }
    // Nobody waits any more, so nobody would end it.
    if (reply && reply->Transaction != 0)
      channel->release(reply->Transaction);
  };
  auto sequence = channel->send(std::move(request), onReply);
  RelaySequence = sequence;
  if (Relay)
    watchReply();
}

void StatementRun::onRelayed(std::optional<relay::Reply> reply) {
  auto self = shared_from_this();
  SlowTimer.cancel();
  ChannelPtr channel = std::exchange(Relay, nullptr);
  if (!reply || reply->Result.Lost) {
    onLost();
    return;
  }
  std::optional<std::uint64_t> epoch;
  if (reply->OnPrimary)
    epoch = reply->Epoch;
  Group->observe(*Pool, RelayedAt, reply->Result, epoch);
  Epoch = reply->OnPrimary ? reply->Epoch : 0;
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

void StatementRun::watchReply() {
  if (Request.Writes || isPinned() || Request.FixedServer)
    return;
  auto patience = std::max<std::chrono::nanoseconds>(
      SlowReplyFloor, SlowReplyFactor * Pool->condition().Latency);
  SlowTimer = Loop.runAfter(patience, [weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->onSlowReply();
  });
}

void StatementRun::onSlowReply() {
  if ((!Link && !Relay) || Tries >= MaxTries ||
      !admission::tryRetry(Group->slowReadBudget()))
    return;
  retryElsewhere(ErrorCode::Busy, RetryCause::SlowReply);
}

void StatementRun::onReply(const sql::Reply &reply) {
  SlowTimer.cancel();
  bool committed = std::exchange(Committing, false);
  if (!OnDone) {
    if (committed)
      Group->endCommit();
    releaseLink();
    return;
  }
  std::optional<std::uint64_t> epoch;
  if (Epoch != 0)
    epoch = Epoch;
  Group->observe(*Pool, Link->sentAt(), reply, epoch);
  // The check must precede the end of the commit, which may let a move go on.
  bool current = !Request.Writes || isStillPrimary();
  if (committed)
    Group->endCommit();
  if (reply.Lost)
    onLost();
  else if (reply.Error)
    onError(reply, true);
  else if (!current)
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
    retryElsewhere(ErrorCode::Busy, RetryCause::ReplyLost);
}

void StatementRun::onError(const sql::Reply &reply, bool fromServer) {
  bool notRun = sql::promisesNoEffect(*reply.Error);
  bool mayRepeat =
      notRun || (!Request.Writes && (*reply.Error == ErrorCode::Failed ||
                                     *reply.Error == ErrorCode::TimedOut));
  if (!isPinned() && mayRepeat) {
    bool overloaded =
        !fromServer && *reply.Error == ErrorCode::TooManyConnections;
    auto ownerCause =
        overloaded ? RetryCause::Overloaded : RetryCause::OwnerRefused;
    retryElsewhere(notRun ? *reply.Error : ErrorCode::Failed,
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
    result.Pinned.Link = std::exchange(Link, nullptr);
  }
  finish(std::move(result), "ok");
}

void StatementRun::retryElsewhere(ErrorCode code, RetryCause cause) {
  SlowTimer.cancel();
  std::string server = Pool->server().Id;
  if (!Request.NeedsPrimary)
    Excluded.insert(server);
  releaseLink();
  Log.line("statement_retry")
      .add("id", Request.Id)
      .add("server", server)
      .add("reason", retryCauseName(cause))
      .add("try", Tries);
  Sent = false;
  bool refused = cause == RetryCause::ServerRefused ||
                 cause == RetryCause::SetupRefused ||
                 cause == RetryCause::Overloaded;
  bool mayWait = Request.NeedsPrimary && !refused;
  // Only the primary would do, and its queue says that it cannot.
  bool hopeless = Request.NeedsPrimary && cause == RetryCause::Overloaded;
  if ((Tries >= MaxTries && !mayWait) || Request.FixedServer || hopeless) {
    finish(code, retryCauseName(cause));
    return;
  }
  if (!Request.NeedsPrimary) {
    place();
    return;
  }
  auto delay = std::min(PrimaryRetryDelay * Tries, PrimaryRetryDelayLimit);
  RetryTimer = Loop.runAfter(delay, [weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->place();
  });
}

void StatementRun::onDeadline() {
  if (!OnDone)
    return;
  if (!Sent) {
    finish(ErrorCode::Busy, Waiter ? "no_connection" : "no_primary");
    return;
  }
  finish(Request.Writes ? ErrorCode::InDoubt : ErrorCode::TimedOut,
         "time_limit");
}

void StatementRun::releaseLink() {
  // A reply that comes later finds that this try is over.
  if (auto channel = std::exchange(Relay, nullptr)) {
    ++RelayTry;
    channel->cancel(RelaySequence);
  }
  auto pinned = std::exchange(Request.Pinned, {});
  if (pinned.Channel)
    rollBack(*Group, pinned);
  auto link = std::exchange(Link, nullptr);
  if (link)
    Group->releaseClean(Pool, link);
}

void StatementRun::finish(ErrorCode code, std::string_view reason) {
  RunResult result;
  result.Reply.Error = code;
  result.Reply.ErrorText = reason;
  finish(std::move(result), reason);
}

void StatementRun::finish(RunResult result, std::string_view reason) {
  auto callback = std::exchange(OnDone, nullptr);
  if (!callback)
    return;
  auto self = shared_from_this();
  auto now = base::BootClock::now();
  stopWaiting();
  Log.line("statement")
      .add("id", Request.Id)
      .add("database", Request.Route.Database)
      .add("outcome", reason)
      .add("server", Pool ? Pool->server().Id : "none")
      .add("epoch", static_cast<std::int64_t>(Epoch))
      .add("position", WaitFor ? platform::formatLogPosition(*WaitFor) : "none")
      .add("tries", Tries)
      .add("waited_ms",
           (GrantedAt > Request.Arrived ? GrantedAt : now) - Request.Arrived)
      .add("took_ms", now - Request.Arrived);
  if (Link && Committing)
    waitForCommit();
  else
    releaseLink();
  callback(std::move(result));
}

} // namespace baobabpin::frontend
