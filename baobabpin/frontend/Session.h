/// A client's session: one connection, its values, prepared statements and
/// transaction.
///
/// BEGIN is answered at once; the transaction gets a server connection with its
/// first statement and keeps it until it ends.
#pragma once

#include "baobabpin/frontend/StatementRun.h"
#include "baobabpin/net/LineConnection.h"
#include "platform/Wire.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace baobabpin::frontend {

class Session;
using SessionPtr = std::shared_ptr<Session>;

/// What a session needs from the node.
struct SessionContext {
  kernel::EventLoop &Loop;
  kernel::LineLog &Log;
  control::ClusterService &Cluster;
  /// The group of a route, or null if the configuration does not name it.
  std::function<std::shared_ptr<GroupProxy>(const base::GroupName &)> Group;
  /// Called with the outcome of a statement and its latency.
  std::function<void(const cluster::Route &, const sql::Reply &,
                     std::chrono::nanoseconds)>
      OnStatement;
  std::function<void(Session *)> OnEnded;
};

class Session : public std::enable_shared_from_this<Session> {
public:
  Session(SessionContext &context, int fd);
  void start();

  /// Ends transactions that are idle for too long.
  void sweep(base::BootTime now);
  /// Asks the client to leave if it has been idle for \p idle, between two
  /// operations.
  void dismissIfIdle(base::BootTime now, std::chrono::nanoseconds idle);
  /// The session is refused when it names its database.
  void refuseOpening() { Refusing = true; }
  /// Ends an open transaction with an error that promises no effect.
  void abortTransaction(std::string_view reason);
  /// Answers an outstanding request and closes.
  void shutDown();

private:
  /// An operation between BEGIN and its end.
  struct OpenTransaction {
    cluster::Route Route;
    bool ReadOnly = false;
    bool Failed = false;
    bool Wrote = false;
    /// Told to the client with the next reply.
    std::string PendingAbort;
    base::BootTime Began{};
    base::BootTime LastActive{};
    PinnedTransaction Pinned;
  };

  void onLine(std::string_view line);
  void processNext();
  void onOpen(const platform::OpenSession &open);
  void finishOpen();
  void refuseOpen(sql::ErrorCode code, std::string_view reason);
  void onQuery(const platform::ClientQuery &query);
  void onFailedTransaction(const sql::Statement &it);
  bool answerLocally(const sql::Statement &it);
  void execute(const std::string &id, sql::Statement it);
  void onRunDone(const cluster::Route &route, sql::Verb verb, bool writes,
                 base::BootTime arrived, RunResult result);
  /// Rolls back; until the client ends the transaction, it only gets errors.
  void failTransaction();
  void endTransaction();
  void releaseTransactionLink();
  /// The route of this session's database, if it is configured.
  const cluster::Route *route() const;
  sql::TransactionState state() const;
  void reply(const sql::Reply &it);
  void replyDone();
  void replyError(sql::ErrorCode code, std::string_view text);
  /// Completes the reply to a request that crossed the notice to leave.
  void answerCrossing(std::string_view line);
  void end();

  SessionContext &Context;
  int Fd = -1;
  std::shared_ptr<net::LineConnection> Connection;
  std::string Database;
  bool Opened = false;
  bool Refusing = false;
  /// The client was asked to leave; its next message is not run.
  bool Dismissed = false;
  base::BootTime LastActive{};
  bool Ended = false;
  std::deque<std::string> Pending;
  std::map<std::string, std::string> Values;
  std::map<std::string, PreparedStatement> Prepared;
  std::optional<OpenTransaction> Transaction;
  std::shared_ptr<StatementRun> Run;
  std::optional<base::LogPosition> OwnCommit;
  std::uint64_t OwnEpoch = 0;
  base::BootTime OpenAsked{};
  kernel::Timer OpenTimer;
};

} // namespace baobabpin::frontend
