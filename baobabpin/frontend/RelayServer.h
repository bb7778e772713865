/// Runs statements for other nodes at the servers whose connections this node
/// owns.
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
  /// Tells other nodes with each reply to send new work elsewhere.
  void setLeaving() { Leaving = true; }
  /// Rolls back transactions that nobody has used for \p limit.
  void sweep(base::BootTime now, std::chrono::nanoseconds limit);
  std::size_t openTransactions() const;

private:
  class Client;

  kernel::EventLoop &Loop;
  kernel::LineLog &Log;
  GroupFinder FindGroup;
  net::Listener Socket;
  bool Leaving = false;
  std::map<Client *, std::shared_ptr<Client>> Clients;
};

} // namespace baobabpin::frontend
