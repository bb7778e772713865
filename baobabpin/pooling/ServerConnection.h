/// One connection to an upstream server. At most one batch of statements is in
/// flight at a time, so that each reply belongs to the latest batch.
#pragma once

#include "baobabpin/base/BootClock.h"
#include "baobabpin/base/Identifiers.h"
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

/// The session state that a server keeps for a connection.
struct ConnectionSessionState {
  std::map<std::string, std::string> Values;
  std::set<std::string> PreparedNames;
  /// The state at the server may differ from Values and PreparedNames: values
  /// were set inside a transaction, which may roll back, or setting them
  /// failed. Only a reset makes the state known again.
  bool Uncertain = false;
};

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  enum class Phase { Connecting, Idle, Running, Closed };
  /// Called with the reason if the connection failed, and with an empty value
  /// when it is ready.
  using OpenCallback = std::function<void(std::optional<sql::ErrorCode>)>;
  using BatchCallback = std::function<void(std::vector<sql::Reply>)>;

  /// \p organisation is the one on whose behalf the connection is opened, or
  /// empty. The connection must serve no other.
  static std::shared_ptr<ServerConnection>
  open(kernel::EventLoop &loop, const http::Endpoint &endpoint,
       const std::string &group, const base::OrganisationName &organisation,
       const std::string &server, OpenCallback callback);
  ~ServerConnection();

  /// Sends \p lines, which contain \p count statements. The callback gets one
  /// reply for each statement; if the connection fails, the last reply that it
  /// gets is marked Lost. Requires Phase::Idle.
  void run(const std::string &lines, std::size_t count, BatchCallback callback);
  /// Closes the connection. A batch in flight ends with a Lost reply, unless
  /// discardReplies() was called for it.
  void close();
  /// Makes the connection discard the replies to the batch in flight.
  void discardReplies();

  Phase phase() const { return Current; }
  bool isIdle() const { return Current == Phase::Idle; }
  sql::TransactionState transaction() const { return Transaction; }
  /// When the latest batch was sent.
  base::BootTime sentAt() const { return SentAt; }
  base::BootTime idleSince() const { return IdleSince; }

  /// The organisation for which the connection was opened, or empty.
  base::OrganisationName Organisation;
  ConnectionSessionState Session;
  /// The kind of work that the connection was last granted for.
  WorkKind GrantedFor = WorkKind::Statement;
  /// The work of the pool that occupied or awaited a slot of the server when
  /// the connection was last granted, this work included.
  int InFlightWhenGranted = 1;
  /// Called after each change to Idle or Closed that neither an OpenCallback
  /// nor a BatchCallback reports: after a batch whose replies were discarded,
  /// and after an unexpected close.
  std::function<void()> OnSettled;
  /// Called before a statement of an open transaction is sent, with the time
  /// since the reply to the one before.
  std::function<void(std::chrono::nanoseconds)> OnResumed;

private:
  ServerConnection() = default;
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
