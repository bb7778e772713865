/// Runs statements that other nodes send to this node, at the servers whose
/// connections this node owns.
#pragma once

#include "baobabpin/frontend/StatementRun.h"
#include "baobabpin/net/LineConnection.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace baobabpin::frontend {

class RelayServer {
public:
  using GroupFinder =
      std::function<std::shared_ptr<GroupProxy>(const base::GroupName &)>;

  RelayServer(kernel::EventLoop &loop, kernel::LineLog &log,
              GroupFinder findGroup);
  ~RelayServer();
  RelayServer(const RelayServer &) = delete;
  RelayServer &operator=(const RelayServer &) = delete;

  base::Result<void> listen(const http::Endpoint &endpoint);
  /// Sets whether this node can act as the owner of connections. While it
  /// drains, or may use no primary because it fails to register, its replies
  /// tell the other nodes to send new statements to the next owner candidate.
  void setOwning(bool owning) { Owning = owning; }
  /// Refuses new statements and rolls back transactions that run no statement,
  /// because the node is about to stop.
  void refuseWork();
  /// Answers all statements in progress with what is known of their outcome.
  void answerNow();
  /// Rolls back transactions without a statement for \p limit.
  void abortIdleTransactions(base::BootTime now,
                             std::chrono::nanoseconds limit);
  /// Whether no statement and no transaction is in progress.
  bool isIdle() const;

private:
  class PeerConnection;

  kernel::EventLoop &Loop;
  kernel::LineLog &Log;
  GroupFinder FindGroup;
  net::Listener Socket;
  bool Owning = true;
  bool RefusesWork = false;
  std::map<PeerConnection *, std::shared_ptr<PeerConnection>> PeerConnections;
};

} // namespace baobabpin::frontend
