/// Watches all keys that begin with a prefix. It reads all entries and then
/// keeps one long poll pending, which resumes after the last revision seen. It
/// reads all entries again if the store no longer has the changes since that
/// revision. After a failed call it retries with backoff.
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
  /// Receives all entries as of \p revision; other keys with the prefix do not
  /// exist.
  std::function<void(const std::vector<StoreEntry> &, std::uint64_t revision)>
      OnSnapshot;
  /// Receives all changes since the last call of a handler, up to \p revision
  /// and in order.
  std::function<void(const std::vector<StoreEntry> &, std::uint64_t revision)>
      OnChanges;
  /// Called after the first call to the store, and whenever a call fails after
  /// a success or succeeds after a failure. The status Compacted counts as a
  /// failure.
  std::function<void(bool available)> OnAvailability;
};

class PrefixWatch {
public:
  PrefixWatch(kernel::EventLoop &loop, StoreClient &store, std::string prefix,
              WatchHandlers handlers, std::uint64_t randomSeed);
  ~PrefixWatch();
  PrefixWatch(const PrefixWatch &) = delete;
  PrefixWatch &operator=(const PrefixWatch &) = delete;

  /// Starts the watch. Does nothing if it is running.
  void start();
  /// Stops the watch; no handler is called afterwards. After another start()
  /// the watch reads all entries again.
  void stop();
  bool isRunning() const;

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace baobabpin::store
