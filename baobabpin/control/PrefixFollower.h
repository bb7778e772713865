/// Keeps a copy of the keys below a prefix of the platform's store up to date,
/// by reading all of them periodically or by waiting for changes.
#pragma once

#include "baobabpin/base/BootClock.h"
#include "baobabpin/kernel/EventLoop.h"
#include "platform/PlatformStore.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace baobabpin::control {

struct FollowHandlers {
  /// All entries as of \p revision, read by a request that was sent at
  /// \p sentAt.
  std::function<void(const std::vector<store::StoreEntry> &entries,
                     std::uint64_t revision, base::BootTime sentAt)>
      OnSnapshot;
  /// Changes up to \p revision.
  std::function<void(const std::vector<store::StoreEntry> &entries,
                     std::uint64_t revision)>
      OnChanges;
  /// The last call failed, or the first one after failures succeeded.
  std::function<void(bool available)> OnAvailability;
};

enum class FollowMode {
  Poll,  ///< Read all entries every Period.
  Watch, ///< Read all entries once, then wait for changes.
};

struct FollowSettings {
  std::string Prefix;
  FollowMode Mode = FollowMode::Poll;
  /// Between two reads, or the longest wait for a change.
  std::chrono::milliseconds Period{1000};
};

class PrefixFollower {
public:
  PrefixFollower(kernel::EventLoop &loop, platform::PlatformStore &store,
                 FollowSettings settings, FollowHandlers handlers);
  ~PrefixFollower();
  PrefixFollower(const PrefixFollower &) = delete;
  PrefixFollower &operator=(const PrefixFollower &) = delete;

  void start();
  /// Reads all entries now, or again when a read is under way. For Poll.
  void refresh();

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace baobabpin::control
