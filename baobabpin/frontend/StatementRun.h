/// Runs one statement of a session: chooses a server that may run it, sends it
/// and delivers the reply.
///
/// A statement that is known not to have run, or that only reads, is retried,
/// if possible at another server, within its time limit. A write or commit that
/// was sent and got no reply is reported as in doubt and never repeated,
/// because it may have taken effect.
#pragma once

#include "baobabpin/frontend/RunTypes.h"
#include "baobabpin/kernel/LineLog.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace baobabpin::frontend {

class StatementRun : public std::enable_shared_from_this<StatementRun> {
public:
  using Callback = std::function<void(RunResult)>;

  StatementRun(kernel::EventLoop &loop, kernel::LineLog &log,
               std::shared_ptr<GroupProxy> group, RunRequest request,
               Callback callback);

  void start();
  /// Gives the statement up without calling back, because its result is no
  /// longer needed.
  void cancel();
  /// Ends the statement with the result that is true now: it did not run if it
  /// was not sent to a server, and is in doubt or timed out otherwise.
  void giveUp(std::string_view reason);
  /// Ends the statement with \p code because its client may not run it any
  /// more. A write, or a statement sent on a connection of this node, that a
  /// server may have received keeps its outcome but is not repeated.
  void withdraw(sql::ErrorCode code);
  /// Whether a server may have received the statement, and it may have changed
  /// data.
  bool mayHaveWritten() const { return Sent && Request.Writes; }

private:
  /// Chooses a server for the statement, again after each failed attempt.
  void chooseServer();
  void runOnPrimary();
  void runOnReplica();
  /// Runs a read on the primary, because no other server is known to be able to
  /// run it.
  void readFromPrimary();
  admission::TimeBudget timeBudget() const;
  /// When the target latency ends; empty if the route has none.
  std::optional<base::BootTime> target() const;
  /// Ends the statement if the owner of the server's connections is expected to
  /// refuse it because of its load.
  bool endIfOverloaded(const PoolPtr &pool);
  /// Plans the read again after \p delay, or earlier when a primary becomes
  /// usable.
  void waitForServer(std::chrono::nanoseconds delay);
  void runOnFixedServer();
  /// Handles the absence of a usable primary: waits for one, or ends with
  /// \p code if this node cannot expect one soon.
  void waitOrRefuse(cluster::PrimaryUse use, sql::ErrorCode code);
  void acquire(const PoolPtr &pool);
  void sendThroughOwner(const ChannelPtr &channel, std::uint64_t transactionId);
  void onRelayed(std::optional<relay::Reply> reply);
  void startSlowReplyTimer();
  void onGranted(const pooling::ServerConnectionPtr &connection);
  void onRefused(sql::ErrorCode code);
  void prepareConnection();
  void onConnectionPrepared(const std::vector<sql::Reply> &replies);
  void sendStatement();
  void onReply(const sql::Reply &reply);
  void onLost();
  void onError(const sql::Reply &reply, bool fromServer);
  void onSuccess(sql::Reply reply);
  /// Returns the connection and retries the statement, or ends with \p code
  /// when another attempt is not allowed.
  void retryOrFinish(sql::ErrorCode code, RetryCause cause);
  void retryPrimary(sql::ErrorCode code, RetryCause cause);
  /// Whether the statement may be sent once more after attempts that may have
  /// run.
  bool mayRepeatUnanswered() const;
  void onDeadline();
  void onSlowReply();
  /// Cancels all timers and everything that would start another attempt.
  void stopWaiting();
  void releaseConnection();
  /// Keeps the connection of a commit whose result is no longer needed until
  /// its reply arrives, so that the commit counts as in flight.
  void waitForCommit();
  void finish(sql::ErrorCode code, std::string_view reason);
  void finish(RunResult result, std::string_view reason);
  void logOutcome(std::string_view reason, base::BootTime now);
  bool isPinned() const { return Request.Pinned.isOpen(); }
  bool isStillPrimary() const;

  kernel::EventLoop &Loop;
  kernel::LineLog &Log;
  std::shared_ptr<GroupProxy> Group;
  RunRequest Request;
  Callback OnDone;
  base::BootTime Deadline{};
  base::BootTime GrantedAt{};
  PoolPtr Pool;
  pooling::ServerConnectionPtr Connection;
  /// The channel to the owner that is running the statement; null when no reply
  /// from an owner is outstanding.
  ChannelPtr RelayChannel;
  /// Number of the latest relayed attempt; replies to earlier attempts are
  /// ignored.
  int RelayAttempt = 0;
  /// The sequence number of the outstanding request on RelayChannel.
  std::uint64_t RelaySequence = 0;
  base::BootTime RelayedAt{};
  pooling::WaiterPtr Waiter;
  GroupProxy::ResumeHandle Resume;
  /// Epoch of the primary that runs the statement; 0 on a replica.
  std::uint64_t Epoch = 0;
  /// The log position that the server must have applied to run the statement.
  std::optional<base::LogPosition> WaitFor;
  admission::Exclusions Excluded;
  int Attempts = 0;
  /// Attempts that may have run and gave no usable reply.
  int UnansweredAttempts = 0;
  /// A server or an owner refused an attempt because of its load.
  bool RefusedForLoad = false;
  /// The expected wait that this node's pool reported with its refusal.
  std::chrono::nanoseconds ExpectedWait{0};
  bool Sent = false;
  /// The reason why the statement must not be sent again.
  std::optional<sql::ErrorCode> Withdrawn;
  bool PositionAwaited = false;
  bool Committing = false;
  /// The server was not known to have applied WaitFor when the statement was
  /// sent, so the reply may have waited for its log.
  bool AwaitsLog = false;
  kernel::Timer DeadlineTimer;
  kernel::Timer SlowTimer;
  kernel::Timer RetryTimer;
};

} // namespace baobabpin::frontend
