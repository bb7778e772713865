/// One connection to an upstream server, with one batch of statements in flight
/// at a time, so that a reply can only belong to the last batch.
#pragma once

#include "baobabpin/base/BootClock.h"
#include "baobabpin/net/LineConnection.h"
#include "baobabpin/pooling/PoolPolicy.h"
#include "platform/Wire.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace baobabpin::pooling {

/// Session state that a server connection holds.
struct LinkSessionState {
  std::map<std::string, std::string> Values;
  std::set<std::string> PreparedNames;
  /// Values were set in a transaction that did not commit; only a reset makes
  /// the state known again.
  bool Uncertain = false;
};

class ServerLink : public std::enable_shared_from_this<ServerLink> {
public:
  enum class Phase { Connecting, Idle, Running, Closed };
  /// Empty when the connection is ready; otherwise why not.
  using OpenCallback = std::function<void(std::optional<sql::ErrorCode>)>;
  using BatchCallback = std::function<void(std::vector<sql::Reply>)>;

  static std::shared_ptr<ServerLink> open(kernel::EventLoop &loop,
                                          const http::Endpoint &endpoint,
                                          const std::string &group,
                                          const std::string &server,
                                          OpenCallback callback);
  ~ServerLink();

  /// Sends \p lines, which hold \p count statements. The callback gets as many
  /// replies, or a last one that is Lost. Requires Phase::Idle.
  void run(const std::string &lines, std::size_t count, BatchCallback callback);
  /// Closes; a batch in flight ends as Lost, unless its callback was dropped.
  void close();
  /// The replies of the batch in flight are read and thrown away.
  void dropCallback();

  Phase phase() const { return Current; }
  bool isIdle() const { return Current == Phase::Idle; }
  sql::TransactionState transaction() const { return Transaction; }
  /// When the batch in flight, or the last one, was sent.
  base::BootTime sentAt() const { return SentAt; }
  base::BootTime idleSince() const { return IdleSince; }

  LinkSessionState Session;
  /// What the connection was last given to.
  Work GivenTo = Work::Statement;
  /// Called after each change to Idle or Closed that no batch callback handles,
  /// that is, after a dropped batch and after an unexpected close.
  std::function<void()> OnSettled;

private:
  ServerLink() = default;
  void onLine(std::string_view line);
  void onClosed();
  void finishOpen(std::optional<sql::ErrorCode> error);
  void finishBatch();

  std::shared_ptr<net::LineConnection> Connection;
  platform::ReplyParser Parser;
  Phase Current = Phase::Connecting;
  sql::TransactionState Transaction = sql::TransactionState::Idle;
  OpenCallback OnOpen;
  BatchCallback OnBatch;
  std::vector<sql::Reply> Replies;
  std::size_t Expected = 0;
  base::BootTime SentAt{};
  base::BootTime IdleSince{};
  kernel::Timer OpenDeadline;
};

} // namespace baobabpin::pooling
