/// Polls the platform's list of hosts, which is a lagging hint.
#pragma once

#include "baobabpin/kernel/EventLoop.h"
#include "baobabpin/store/Backoff.h"
#include "baobabpin/store/StoreClient.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace baobabpin::store {

class HostList {
public:
  /// \p onLeaving is called for each leaving host in every list received, so
  /// that a hint lost on its way to the host is repeated.
  HostList(kernel::EventLoop &loop, StoreClient &store,
           std::chrono::milliseconds period,
           std::function<void(const std::string &host)> onLeaving,
           std::uint64_t randomSeed);
  ~HostList();
  HostList(const HostList &) = delete;
  HostList &operator=(const HostList &) = delete;

  void start();
  void stop();
  /// The last list received.
  const std::map<std::string, HostState> &hosts() const;

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace baobabpin::store
