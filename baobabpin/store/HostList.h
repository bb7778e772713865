/// Polls the platform's list of hosts. The list may be out of date, so callers
/// must not rely on it.
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
  /// Polls once in each \p period, less often during an outage. Calls
  /// \p onLeaving for each leaving host in every list received, not only in the
  /// first, so that a notification that is lost on its way to the host is sent
  /// again.
  HostList(kernel::EventLoop &loop, StoreClient &store,
           std::chrono::milliseconds period,
           std::function<void(const std::string &host)> onLeaving,
           std::uint64_t randomSeed);
  ~HostList();
  HostList(const HostList &) = delete;
  HostList &operator=(const HostList &) = delete;

  void start();
  void stop();
  /// Returns the last list received.
  const std::map<std::string, HostState> &hosts() const;

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace baobabpin::store
