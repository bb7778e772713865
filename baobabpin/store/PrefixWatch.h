/// Follows all keys of a prefix: reads the range once, then holds one long
/// poll, resuming after the last revision seen. Backs off during an outage.
///
/// \code
///   PrefixWatch watch(loop, store, "resources/", handlers, seed);
///   watch.start();
/// \endcode
#pragma once

#include "baobabpin/kernel/EventLoop.h"
#include "baobabpin/store/Backoff.h"
#include "baobabpin/store/StoreClient.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace baobabpin::store {

struct WatchHandlers {
  /// All entries as of \p revision; keys not in it do not exist.
  std::function<void(const std::vector<StoreEntry> &, std::uint64_t revision)>
      OnSnapshot;
  /// All changes up to \p revision, in order.
  std::function<void(const std::vector<StoreEntry> &, std::uint64_t revision)>
      OnChanges;
  /// The store was lost, or is reached again.
  std::function<void(bool available)> OnAvailability;
};

class PrefixWatch {
public:
  PrefixWatch(kernel::EventLoop &loop, StoreClient &store, std::string prefix,
              WatchHandlers handlers, std::uint64_t randomSeed);
  ~PrefixWatch();
  PrefixWatch(const PrefixWatch &) = delete;
  PrefixWatch &operator=(const PrefixWatch &) = delete;

  /// Does nothing while running.
  void start();
  /// No handler is called afterwards; start() reads the range again.
  void stop();
  bool isRunning() const;

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace baobabpin::store
