/// A client's session: its connection to this node, the values that it has set,
/// its prepared statements and its transaction.
///
/// The session answers BEGIN itself, without a server. A transaction gets a
/// server connection with its first statement and keeps it until the
/// transaction ends.
#pragma once

#include "baobabpin/frontend/StatementRun.h"
#include "baobabpin/net/LineConnection.h"
#include "baobabpin/organisation/Authorization.h"
#include "baobabpin/quota/QuotaService.h"
#include "platform/Wire.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace baobabpin::frontend {

class Session;
using SessionPtr = std::shared_ptr<Session>;

/// What a stopping node no longer does for its clients.
struct StopProgress {
  /// Open transactions are aborted between two statements, and none begins.
  bool EndsTransactions = false;
  /// Statements outside of a transaction, and new sessions, are refused. What
  /// was accepted earlier is completed.
  bool RefusesWork = false;
};

/// What a session needs from the node.
struct SessionContext {
  kernel::EventLoop &Loop;
  kernel::LineLog &Log;
  control::ClusterService &Cluster;
  quota::QuotaService &Quota;
  /// The group of a route, or null if the configuration does not name it.
  std::function<std::shared_ptr<GroupProxy>(const base::GroupName &)> Group;
  /// Called with the outcome of a statement and its latency.
  std::function<void(const cluster::Route &, const sql::Reply &,
                     std::chrono::nanoseconds)>
      OnStatement;
  std::function<void(Session *)> OnEnded;
  /// Decides whether a client with this access key may use the route now.
  std::function<organisation::Authorization(const cluster::Route &,
                                            std::string_view key)>
      Authorize;
  StopProgress Stop = {};
  /// Called when the access to a route is refused to a client that opens a
  /// session, or to the statement of an open session.
  std::function<void(organisation::Access, bool opensSession)> OnAccessRefused;
  /// The number of connections closed because their clients opened no session
  /// in time.
  std::uint64_t HeaderTimeouts = 0;
};

class Session : public std::enable_shared_from_this<Session> {
public:
  Session(SessionContext &context, int fd);
  void start();

  /// Whether the session is not open yet and has not ended.
  bool isUnopened() const { return !Opened && !Ended; }
  /// Closes the connection at once, without a reply.
  void discard() { end(); }
  /// Aborts the session's transaction if it has been idle for longer than the
  /// configured limit.
  void abortIdleTransactions(base::BootTime now);
  /// Asks the client to close the session if the client has been idle for at
  /// least \p idle and no statement or transaction is in progress.
  void requestCloseIfIdle(base::BootTime now, std::chrono::nanoseconds idle);
  /// Aborts an open transaction between two statements. The client gets the
  /// error with its next statement; the error tells it that the transaction had
  /// no effect.
  void abortTransaction(std::string_view reason);
  /// Checks the client's access key after the configuration changed. If the
  /// session may not go on for the same organisation, its transaction is
  /// aborted, and a statement that no server has received is not run. The
  /// session is closed after the reply to it if the key is not valid.
  void recheckAccess();
  /// Answers the statement in progress, if there is one, with what is known of
  /// its outcome: it was not sent to a server, or its reply has not arrived.
  void answerNow();
  /// Sends the replies that are already written, cancels a statement in
  /// progress, and closes the session.
  void shutDown();

private:
  /// A transaction from BEGIN to COMMIT or ROLLBACK.
  struct OpenTransaction {
    cluster::Route Route;
    base::OrganisationName Organisation;
    bool ReadOnly = false;
    bool Failed = false;
    bool Wrote = false;
    /// The reason of an abort that the client has not been told of yet; sent as
    /// the reply to its next statement.
    std::string PendingAbort;
    base::BootTime Began{};
    base::BootTime LastActive{};
    PinnedTransaction Pinned;
  };

  void onLine(std::string_view line);
  /// Closes the connection of a client that has not sent its START in time.
  void onHeaderTimeout();
  void processNext();
  void onOpen(const platform::OpenSession &open);
  void finishOpen();
  void refuseOpen(sql::ErrorCode code, std::string_view reason);
  void onQuery(const platform::ClientQuery &query);
  void onFailedTransaction(const sql::Statement &it);
  /// Refuses a statement that the stopping node does not begin any more.
  /// Returns false if the statement is to be handled.
  bool refuseWhileStopping(const sql::Statement &it);
  bool answerLocally(const sql::Statement &it);
  void execute(const std::string &id, sql::Statement it);
  /// Runs the statement if its organisation has not reached its limit. Only the
  /// first statement of a transaction is counted.
  void admitAndRun(std::shared_ptr<GroupProxy> group, RunRequest request);
  void onAdmission(const quota::Admission &admission);
  /// Ends a statement that waits for its admission with an error.
  void refuseWaiting(sql::ErrorCode code, std::string_view reason);
  void run(std::shared_ptr<GroupProxy> group, RunRequest request);
  void onRunDone(const cluster::Route &route, sql::Verb verb, bool writes,
                 base::BootTime arrived, RunResult result);
  /// Returns the token of a statement that reached no server.
  void returnToken(const RunResult &result);
  /// Whether a statement runs or waits for its admission.
  bool isBusy() const { return Run || AwaitingAdmission; }
  /// Rolls the transaction back. Until the client ends the transaction, each
  /// of its statements gets an error.
  void failTransaction();
  void endTransaction();
  void releaseTransactionConnection();
  /// Refuses a statement that the client's access key does not allow, and
  /// returns whether it did.
  bool refuseWithoutAccess(const sql::Statement &it);
  /// Answers that the access key is not valid, and closes the session.
  void denyAndClose();
  /// Closes the session after the reply that its access key is not valid.
  void closeDenied();
  /// The result for the route of the transaction or, outside of one, of the
  /// database.
  organisation::Authorization authorize() const;
  /// The route of this session's database, if it is configured.
  const cluster::Route *route() const;
  sql::TransactionState state() const;
  void reply(const sql::Reply &it);
  void replyDone();
  void replyError(sql::ErrorCode code, std::string_view text);
  /// Completes the reply to a statement that the client sent before it received
  /// the notice to close the session.
  void answerRequestAfterNotice(std::string_view line);
  void end();

  SessionContext &Context;
  int Fd = -1;
  std::shared_ptr<net::LineConnection> Connection;
  std::string Database;
  std::string AccessKey;
  /// The decision about the access of the latest statement.
  organisation::Authorization Authorized;
  bool Opened = false;
  /// The client was asked to close the session. Its next statement is not run
  /// and resets this flag; other messages are ignored.
  bool CloseRequested = false;
  base::BootTime LastActive{};
  bool Ended = false;
  std::deque<std::string> Pending;
  std::map<std::string, std::string> Values;
  std::map<std::string, PreparedStatement> Prepared;
  std::optional<OpenTransaction> Transaction;
  std::shared_ptr<StatementRun> Run;
  /// A statement that waits for its admission.
  struct WaitingRun {
    std::shared_ptr<GroupProxy> Group;
    RunRequest Request;
    quota::AdmissionWaiterPtr Waiter;
  };
  std::optional<WaitingRun> AwaitingAdmission;
  /// The token that Run has spent.
  std::optional<quota::Token> SpentToken;
  /// The organisation for which Run or AwaitingAdmission works.
  base::OrganisationName RunOrganisation;
  /// The position of the last commit of the session.
  std::optional<base::LogPosition> OwnCommit;
  base::BootTime OpenRequestedAt{};
  kernel::Timer OpenTimer;
  kernel::Timer HeaderTimer;
};

} // namespace baobabpin::frontend
