/// Reads all keys below a prefix of the platform's store, on demand and one
/// read at a time.
///
/// Reads rather than watches: while the store drops its history, a watch may
/// stay silent about changes that were made.
#pragma once

#include "baobabpin/base/BootClock.h"
#include "platform/PlatformStore.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace baobabpin::control {

struct ReadHandlers {
  /// All entries as of \p revision, read by a request that was sent at
  /// \p sentAt.
  std::function<void(const std::vector<store::StoreEntry> &entries,
                     std::uint64_t revision, base::BootTime sentAt)>
      OnSnapshot;
  /// The last read failed, or the first one after failures succeeded.
  std::function<void(bool available)> OnAvailability;
};

class PrefixReader {
public:
  PrefixReader(platform::PlatformStore &store, std::string prefix,
               ReadHandlers handlers);
  ~PrefixReader();
  PrefixReader(const PrefixReader &) = delete;
  PrefixReader &operator=(const PrefixReader &) = delete;

  /// Reads unless a read is under way.
  void read();
  /// Reads now, or again after the read that is under way, which may be too
  /// old to show a change that was just made.
  void readAfterChange();

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace baobabpin::control
