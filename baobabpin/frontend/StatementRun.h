/// Brings one statement of a session to a server that may run it, and its reply
/// back.
///
/// A statement that surely did not run, or that only reads, is tried again at
/// another server within its time limit. A write or commit that was sent and
/// not answered is reported as in doubt, never repeated.
#pragma once

#include "baobabpin/frontend/RunTypes.h"
#include "baobabpin/kernel/LineLog.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace baobabpin::frontend {

class StatementRun : public std::enable_shared_from_this<StatementRun> {
public:
  using Callback = std::function<void(RunResult)>;

  StatementRun(kernel::EventLoop &loop, kernel::LineLog &log,
               std::shared_ptr<GroupProxy> group, RunRequest request,
               Callback callback);

  void start();
  /// The client is gone: nobody waits for the reply.
  void cancel();

private:
  void place();
  void placeOnPrimary();
  void placeOnReplica();
  void placeFixed();
  /// Without a usable primary: waits for one if that is worth it, or ends with
  /// \p code.
  void waitOrRefuse(cluster::PrimaryUse use, sql::ErrorCode code);
  /// Places the statement again when a position is known, or after a while.
  void waitForPosition();
  void acquire(const PoolPtr &pool);
  void sendThroughOwner(const ChannelPtr &channel, std::uint64_t token);
  void onRelayed(std::optional<relay::Reply> reply);
  void watchReply();
  void onGranted(const pooling::LinkPtr &link);
  void onRefused(sql::ErrorCode code);
  void prepareLink();
  void onLinkPrepared(const std::vector<sql::Reply> &replies);
  void sendStatement();
  void onReply(const sql::Reply &reply);
  void onLost();
  void onError(const sql::Reply &reply, bool fromServer);
  void onSuccess(sql::Reply reply);
  /// Gives the connection back and places the statement again, or ends with
  /// \p code when there is no time or no try left.
  void retryElsewhere(sql::ErrorCode code, RetryCause cause);
  void onDeadline();
  void onSlowReply();
  /// Forgets timers and everything that would place or grant the statement.
  void stopWaiting();
  void releaseLink();
  /// Keeps the connection of a commit until its reply, for nobody.
  void waitForCommit();
  void finish(sql::ErrorCode code, std::string_view reason);
  void finish(RunResult result, std::string_view reason);
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
  pooling::LinkPtr Link;
  /// The owner that runs the statement; its reply is outstanding.
  ChannelPtr Relay;
  /// Distinguishes the outstanding reply from those of earlier tries.
  int RelayTry = 0;
  /// The owner's number of the outstanding request.
  std::uint64_t RelaySequence = 0;
  base::BootTime RelayedAt{};
  pooling::WaiterPtr Waiter;
  GroupProxy::ResumeHandle Resume;
  /// Epoch of the primary that runs the statement; 0 on a replica.
  std::uint64_t Epoch = 0;
  std::optional<base::LogPosition> WaitFor;
  std::set<base::ServerId> Excluded;
  int Tries = 0;
  bool Sent = false;
  bool PositionAwaited = false;
  bool Committing = false;
  kernel::Timer DeadlineTimer;
  kernel::Timer SlowTimer;
  kernel::Timer RetryTimer;
};

} // namespace baobabpin::frontend
