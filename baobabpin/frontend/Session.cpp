#include "baobabpin/frontend/Session.h"

#include <utility>

namespace baobabpin::frontend {
namespace {

using organisation::Access;
using sql::ErrorCode;
using sql::TransactionState;
using sql::Verb;
using std::chrono::milliseconds;

/// The maximum number of received messages that wait to be processed. A client
/// that sends more is disconnected.
constexpr std::size_t MaxPending = 64;
/// The maximum size of the replies that wait to be sent, in bytes. A client
/// that sends a message while more wait is disconnected.
constexpr std::size_t MaxUnsentBytes = 4u << 20;
/// The maximum length of the line that opens a session, in bytes. It leaves
/// room for long names of databases and for long access keys.
constexpr std::size_t MaxStartLineBytes = 512;
/// What is read from a client in one turn of the event loop. With 200 clients
/// that send without pause, a turn reads less than 1 MB, which a whole core
/// handles in a few milliseconds.
constexpr std::size_t BytesPerTurn = 4096;
constexpr std::size_t LinesPerTurn = 16;
/// How long a client waits for a starting node to receive its configuration.
constexpr milliseconds ConfigurationWaitLimit{1500};
constexpr milliseconds ConfigurationRetryDelay{50};

/// Whether a statement outside of a transaction is sent to a server.
bool runsAtServer(const sql::Statement &it) {
  return it.Kind == Verb::Read || it.Kind == Verb::Write ||
         it.Kind == Verb::Execute;
}

/// Whether a statement is, or prepares, work of a server.
bool needsAccess(const sql::Statement &it) {
  return runsAtServer(it) || it.Kind == Verb::Begin ||
         it.Kind == Verb::BeginReadOnly || it.Kind == Verb::Commit;
}

} // namespace

Session::Session(SessionContext &context, int fd) : Context(context), Fd(fd) {}

void Session::start() {
  Connection = net::LineConnection::adopt(
      Context.Loop, Fd,
      net::makeWeakHandlers(shared_from_this(), &Session::onLine,
                            &Session::end),
      MaxStartLineBytes);
  Connection->limitReading(BytesPerTurn, LinesPerTurn);
  const auto *config = Context.Cluster.configuration();
  auto timeout =
      config ? config->HeaderTimeout : cluster::Configuration().HeaderTimeout;
  HeaderTimer = Context.Loop.runAfter(timeout, [weak = weak_from_this()] {
    // A line that has arrived while the loop was late is read in this turn.
    if (auto self = weak.lock())
      self->HeaderTimer = self->Context.Loop.runAfter({}, [weak] {
        if (auto again = weak.lock())
          again->onHeaderTimeout();
      });
  });
}

void Session::onHeaderTimeout() {
  ++Context.HeaderTimeouts;
  end();
}

void Session::onLine(std::string_view line) {
  LastActive = base::BootClock::now();
  if (Database.empty()) {
    // What follows stays unread until the session is open.
    HeaderTimer.cancel();
    Connection->pauseReading();
  }
  if (CloseRequested) {
    answerRequestAfterNotice(line);
    return;
  }
  if (Pending.size() >= MaxPending ||
      Connection->pendingBytes() > MaxUnsentBytes) {
    Context.Log.line("client_closed").add("reason", "too_much_unread");
    end();
    return;
  }
  Pending.emplace_back(line);
  processNext();
}

void Session::answerRequestAfterNotice(std::string_view line) {
  if (!line.starts_with("QUERY "))
    return;
  // The client sent this statement before it received the notice to close the
  // session. That notice is an ERROR message, which the client takes for the
  // beginning of the reply to its statement. The client keeps using the
  // session, so the session stays open.
  CloseRequested = false;
  Connection->send(platform::formatReady(TransactionState::Idle));
}

void Session::processNext() {
  auto self = shared_from_this();
  while (!Ended && !isBusy() && !Pending.empty() &&
         (Opened || Database.empty())) {
    std::string line = std::move(Pending.front());
    Pending.pop_front();
    auto message = platform::parseClientMessage(line);
    if (!message) {
      Context.Log.line("client_closed").add("reason", "unknown_message");
      Connection->send(platform::formatError(ErrorCode::Malformed, "message"));
      Connection->closeAfterSending();
      end();
      return;
    }
    if (auto *open = std::get_if<platform::OpenSession>(&*message)) {
      onOpen(*open);
    } else if (auto *query = std::get_if<platform::ClientQuery>(&*message)) {
      onQuery(*query);
    } else {
      end();
      return;
    }
  }
}

void Session::onOpen(const platform::OpenSession &open) {
  if (!Database.empty()) {
    replyError(ErrorCode::Malformed, "session is open");
    return;
  }
  Database = open.Database;
  AccessKey = open.AccessKey;
  OpenRequestedAt = base::BootClock::now();
  finishOpen();
}

void Session::finishOpen() {
  bool hasConfiguration = Context.Cluster.configuration() != nullptr;
  if (!hasConfiguration &&
      base::BootClock::now() - OpenRequestedAt < ConfigurationWaitLimit) {
    OpenTimer = Context.Loop.runAfter(ConfigurationRetryDelay,
                                      [weak = weak_from_this()] {
                                        if (auto self = weak.lock())
                                          self->finishOpen();
                                      });
    return;
  }
  if (Context.Stop.RefusesWork) {
    refuseOpen(ErrorCode::Busy, "node_stops");
    return;
  }
  if (route()) {
    auto access = authorize().Result;
    if (access != Access::Granted) {
      Context.OnAccessRefused(access, true);
      refuseOpen(access == Access::Denied ? ErrorCode::Denied : ErrorCode::Busy,
                 organisation::accessName(access));
      return;
    }
    Opened = true;
    Connection->send(platform::formatReady(TransactionState::Idle));
    Connection->resumeReading(net::MaxLineBytes);
    processNext();
    return;
  }
  if (hasConfiguration)
    refuseOpen(ErrorCode::UnknownDatabase, "unknown_database");
  else
    refuseOpen(ErrorCode::Busy, "no_configuration");
}

void Session::refuseOpen(ErrorCode code, std::string_view reason) {
  Context.Log.line("session_refused")
      .add("database", Database)
      .add("reason", reason);
  Connection->send(platform::formatError(code, reason));
  Connection->closeAfterSending();
  end();
}

organisation::Authorization Session::authorize() const {
  const cluster::Route *current = route();
  if (!current && Transaction)
    current = &Transaction->Route;
  if (!current)
    return {};
  return Context.Authorize(*current, AccessKey);
}

const cluster::Route *Session::route() const {
  const auto *config = Context.Cluster.configuration();
  if (!config)
    return nullptr;
  auto it = config->RoutesByDatabase.find(Database);
  return it == config->RoutesByDatabase.end() ? nullptr : &it->second;
}

TransactionState Session::state() const {
  if (!Transaction)
    return TransactionState::Idle;
  return Transaction->Failed ? TransactionState::Failed
                             : TransactionState::Open;
}

void Session::reply(const sql::Reply &it) {
  Connection->send(platform::formatReply(it, state()));
}

void Session::replyDone() { reply({}); }

void Session::replyError(ErrorCode code, std::string_view text) {
  sql::Reply it;
  it.Error = code;
  it.ErrorText = text;
  reply(it);
}

void Session::onQuery(const platform::ClientQuery &query) {
  if (!Opened) {
    // A client may send one line before its session is open.
    replyError(ErrorCode::Malformed, "statement");
    Connection->closeAfterSending();
    end();
    return;
  }
  auto statement = platform::parseStatement(query.Text);
  if (!statement) {
    failTransaction();
    replyError(ErrorCode::Malformed, "statement");
    return;
  }
  if (refuseWithoutAccess(*statement))
    return;
  if (Transaction && !Transaction->PendingAbort.empty() &&
      statement->Kind != Verb::Rollback) {
    std::string reason = std::exchange(Transaction->PendingAbort, {});
    if (statement->Kind == Verb::Commit)
      endTransaction();
    replyError(ErrorCode::Aborted, reason);
    return;
  }
  if (Transaction && Transaction->Failed) {
    onFailedTransaction(*statement);
    return;
  }
  if (refuseWhileStopping(*statement) || answerLocally(*statement))
    return;
  execute(query.Id, std::move(*statement));
}

bool Session::refuseWithoutAccess(const sql::Statement &it) {
  // Decided once for the statement: a second decision may differ, because the
  // configuration ages.
  Authorized = authorize();
  const auto &access = Authorized;
  if (access.Result == Access::Denied) {
    denyAndClose();
    return true;
  }
  if (Transaction && !Transaction->Failed && access.Result == Access::Granted &&
      access.Organisation != Transaction->Organisation)
    abortTransaction("organisation_changed");
  if (access.Result != Access::Unconfirmed || !needsAccess(it))
    return false;
  Context.OnAccessRefused(access.Result, false);
  failTransaction();
  if (it.Kind == Verb::Commit)
    Transaction.reset();
  replyError(ErrorCode::Busy, organisation::accessName(access.Result));
  return true;
}

void Session::denyAndClose() {
  endTransaction();
  replyError(ErrorCode::Denied, organisation::accessName(Access::Denied));
  closeDenied();
}

void Session::closeDenied() {
  Context.Log.line("session_denied").add("database", Database);
  Context.OnAccessRefused(Access::Denied, false);
  Connection->closeAfterSending();
  end();
}

void Session::recheckAccess() {
  if (!Opened || Ended)
    return;
  auto access = authorize();
  bool denied = access.Result == Access::Denied;
  bool unconfirmed = access.Result == Access::Unconfirmed;
  // The next statement of the transaction ends it if the access is still
  // unconfirmed.
  if (Transaction && !unconfirmed &&
      (denied || access.Organisation != Transaction->Organisation))
    abortTransaction("access_changed");
  bool granted =
      !denied && !unconfirmed && access.Organisation == RunOrganisation;
  if (granted)
    return;
  auto code = denied ? ErrorCode::Denied : ErrorCode::Busy;
  if (AwaitingAdmission)
    refuseWaiting(code, "access_withdrawn");
  else if (auto run = Run)
    run->withdraw(code);
}

bool Session::refuseWhileStopping(const sql::Statement &it) {
  if (Transaction)
    return false;
  bool begins = it.Kind == Verb::Begin || it.Kind == Verb::BeginReadOnly;
  bool refused = begins
                     ? Context.Stop.EndsTransactions || Context.Stop.RefusesWork
                     : Context.Stop.RefusesWork && runsAtServer(it);
  if (!refused)
    return false;
  replyError(ErrorCode::Busy, "node_stops");
  requestCloseIfIdle(base::BootClock::now(), {});
  return true;
}

void Session::onFailedTransaction(const sql::Statement &it) {
  switch (it.Kind) {
  case Verb::Rollback:
    endTransaction();
    replyDone();
    return;
  case Verb::Commit:
    endTransaction();
    replyError(ErrorCode::Aborted, "transaction failed");
    return;
  default:
    replyError(ErrorCode::Malformed, "transaction failed");
  }
}

bool Session::answerLocally(const sql::Statement &it) {
  auto now = base::BootClock::now();
  if (Transaction)
    Transaction->LastActive = now;
  switch (it.Kind) {
  case Verb::SetValue:
    Values[it.Name] = it.Argument;
    replyDone();
    return true;
  case Verb::Prepare:
    Prepared[it.Name] = {it.PreparedAccess, it.Argument};
    replyDone();
    return true;
  case Verb::Deallocate:
    if (Prepared.erase(it.Name) > 0)
      replyDone();
    else
      replyError(ErrorCode::UnknownName, it.Name);
    return true;
  case Verb::Begin:
  case Verb::BeginReadOnly: {
    const cluster::Route *current = route();
    if (Transaction || !current) {
      replyError(Transaction ? ErrorCode::Malformed
                             : ErrorCode::UnknownDatabase,
                 "begin");
      return true;
    }
    Transaction = OpenTransaction{};
    Transaction->Route = *current;
    Transaction->Organisation = Authorized.Organisation;
    Transaction->ReadOnly = it.Kind == Verb::BeginReadOnly;
    Transaction->Began = now;
    Transaction->LastActive = now;
    replyDone();
    return true;
  }
  case Verb::Rollback:
    if (!Transaction) {
      replyError(ErrorCode::Malformed, "no transaction");
      return true;
    }
    endTransaction();
    replyDone();
    return true;
  case Verb::Commit:
    if (Transaction)
      return false;
    replyError(ErrorCode::Malformed, "no transaction");
    return true;
  default:
    return false;
  }
}

void Session::execute(const std::string &id, sql::Statement it) {
  RunRequest request;
  request.Id = id;
  request.Arrived = base::BootClock::now();
  if (it.Kind == Verb::Execute) {
    auto found = Prepared.find(it.Name);
    if (found == Prepared.end()) {
      failTransaction();
      replyError(ErrorCode::UnknownName, it.Name);
      return;
    }
    request.Prepared = found->second;
  }
  const cluster::Route *current = Transaction ? &Transaction->Route : route();
  if (!current) {
    replyError(ErrorCode::UnknownDatabase, Database);
    return;
  }
  request.Route = *current;
  request.Organisation =
      Transaction ? Transaction->Organisation : Authorized.Organisation;
  auto group = Context.Group(current->Group);
  if (!group) {
    replyError(ErrorCode::Busy, "unknown group");
    return;
  }
  bool changesData =
      it.Kind == Verb::Write ||
      (request.Prepared && request.Prepared->Access == sql::Access::Write);
  request.FreshAsOf = Transaction ? Transaction->Began : request.Arrived;
  request.NeedsPrimary = current->Reads == cluster::Consistency::Strict ||
                         (Transaction ? !Transaction->ReadOnly : changesData);
  request.Writes = it.Kind == Verb::Commit ? Transaction->Wrote
                                           : changesData && !Transaction;
  if (current->Reads == cluster::Consistency::ReadYourWrites)
    request.OwnCommit = OwnCommit;
  request.Values = Values;
  if (Transaction && changesData)
    Transaction->Wrote = true;
  if (Transaction && Transaction->Pinned.isOpen()) {
    request.Pinned = std::exchange(Transaction->Pinned, {});
  } else if (Transaction) {
    request.Begin = Transaction->ReadOnly ? Verb::BeginReadOnly : Verb::Begin;
  }
  RunOrganisation = request.Organisation;
  request.Statement = std::move(it);
  admitAndRun(group, std::move(request));
}

void Session::admitAndRun(std::shared_ptr<GroupProxy> group,
                          RunRequest request) {
  SpentToken.reset();
  if (request.Organisation.empty() || request.Pinned.isOpen()) {
    run(std::move(group), std::move(request));
    return;
  }
  auto waiter = std::make_shared<quota::AdmissionWaiter>();
  waiter->Organisation = request.Organisation;
  waiter->OnDone = [weak = weak_from_this()](const quota::Admission &it) {
    if (auto self = weak.lock())
      self->onAdmission(it);
  };
  AwaitingAdmission = {std::move(group), std::move(request), waiter};
  if (auto admission = Context.Quota.admit(waiter))
    onAdmission(*admission);
}

void Session::onAdmission(const quota::Admission &admission) {
  if (!admission.Granted) {
    refuseWaiting(ErrorCode::TooManyConnections, admission.RefusalText);
    return;
  }
  SpentToken = admission.Spent;
  auto waiting = *std::exchange(AwaitingAdmission, std::nullopt);
  run(std::move(waiting.Group), std::move(waiting.Request));
}

void Session::refuseWaiting(ErrorCode code, std::string_view reason) {
  auto waiting = *std::exchange(AwaitingAdmission, std::nullopt);
  waiting.Waiter->OnDone = nullptr;
  RunResult result;
  result.Reply.Error = code;
  result.Reply.ErrorText = reason;
  const auto &request = waiting.Request;
  onRunDone(request.Route, request.Statement.Kind, request.Writes,
            request.Arrived, std::move(result));
}

void Session::run(std::shared_ptr<GroupProxy> group, RunRequest request) {
  auto onDone = [weak = weak_from_this(), route = request.Route,
                 verb = request.Statement.Kind, writes = request.Writes,
                 arrived = request.Arrived](RunResult result) {
    if (auto self = weak.lock()) {
      self->returnToken(result);
      self->onRunDone(route, verb, writes, arrived, std::move(result));
    }
  };
  Run = std::make_shared<StatementRun>(Context.Loop, Context.Log,
                                       std::move(group), std::move(request),
                                       std::move(onDone));
  auto run = Run;
  run->start();
}

void Session::returnToken(const RunResult &result) {
  auto token = std::exchange(SpentToken, std::nullopt);
  const auto &error = result.Reply.Error;
  // ABORTED is not among these, because its statement may have run.
  bool reachedNoServer =
      error && !result.FromServer &&
      (*error == ErrorCode::Busy || *error == ErrorCode::TooManyConnections ||
       *error == ErrorCode::Lagging);
  if (token && reachedNoServer)
    Context.Quota.giveBack(RunOrganisation, *token);
}

void Session::onRunDone(const cluster::Route &route, Verb verb, bool writes,
                        base::BootTime arrived, RunResult result) {
  Run.reset();
  auto now = base::BootClock::now();
  LastActive = now;
  Context.OnStatement(route, result.Reply, now - arrived);
  if (writes && result.Reply.succeeded() && result.Reply.Position)
    OwnCommit = result.Reply.Position;
  if (Transaction) {
    Transaction->LastActive = now;
    if (verb == Verb::Commit) {
      Transaction.reset();
    } else if (result.Reply.succeeded()) {
      Transaction->Pinned = std::move(result.Pinned);
    } else {
      Transaction->Failed = true;
    }
  }
  bool withdrawn =
      !result.FromServer && result.Reply.Error == ErrorCode::Denied;
  if (withdrawn)
    endTransaction();
  reply(result.Reply);
  if (withdrawn) {
    closeDenied();
    return;
  }
  // The access may have changed while a server ran the statement.
  if (Transaction)
    recheckAccess();
  if (Context.Stop.EndsTransactions)
    abortTransaction("node stops");
  // A session that is never idle when the node looks for idle ones would go on
  // until the process exits.
  if (Context.Stop.RefusesWork)
    requestCloseIfIdle(now, {});
  processNext();
}

void Session::failTransaction() {
  if (!Transaction)
    return;
  releaseTransactionConnection();
  Transaction->Failed = true;
}

void Session::endTransaction() {
  releaseTransactionConnection();
  Transaction.reset();
}

void Session::releaseTransactionConnection() {
  if (!Transaction || !Transaction->Pinned.isOpen())
    return;
  auto pinned = std::exchange(Transaction->Pinned, {});
  if (auto group = Context.Group(Transaction->Route.Group))
    rollBack(*group, pinned);
  else if (pinned.Connection)
    pinned.Pool->release(pinned.Connection);
}

void Session::abortIdleTransactions(base::BootTime now) {
  const auto *config = Context.Cluster.configuration();
  if (!Transaction || isBusy() || Transaction->Failed || !config)
    return;
  if (now - Transaction->LastActive > config->TransactionIdle)
    abortTransaction("idle transaction");
}

void Session::abortTransaction(std::string_view reason) {
  if (!Transaction || Transaction->Failed || isBusy())
    return;
  Context.Log.line("transaction_aborted")
      .add("database", Database)
      .add("reason", reason)
      .add("idle_ms", base::BootClock::now() - Transaction->LastActive);
  failTransaction();
  Transaction->PendingAbort = reason;
}

void Session::requestCloseIfIdle(base::BootTime now,
                                 std::chrono::nanoseconds idle) {
  bool isBetweenOperations =
      Opened && !isBusy() && !Transaction && Pending.empty();
  if (!isBetweenOperations || CloseRequested || Ended ||
      now - LastActive < idle)
    return;
  // An error that no statement caused makes the client close the session. If
  // the client sends a statement at the same time, the error is a correct reply
  // to it, because the statement is not run.
  CloseRequested = true;
  Connection->send(platform::formatError(ErrorCode::Busy, "node stops"));
}

void Session::answerNow() {
  if (AwaitingAdmission)
    refuseWaiting(ErrorCode::Busy, "node_stops");
  else if (auto run = Run)
    run->giveUp("node_stops");
}

void Session::shutDown() {
  if (Ended)
    return;
  if (Connection)
    Connection->closeAfterSending();
  end();
}

void Session::end() {
  if (std::exchange(Ended, true))
    return;
  auto self = shared_from_this();
  OpenTimer.cancel();
  if (AwaitingAdmission)
    AwaitingAdmission->Waiter->OnDone = nullptr;
  AwaitingAdmission.reset();
  HeaderTimer.cancel();
  if (Run)
    std::exchange(Run, nullptr)->cancel();
  releaseTransactionConnection();
  Transaction.reset();
  if (Connection && Connection->pendingBytes() == 0)
    Connection->close();
  Context.OnEnded(this);
}

} // namespace baobabpin::frontend
