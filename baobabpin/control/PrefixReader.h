/// Reads all keys below a prefix of the store on demand, one read at a time.
///
/// It reads instead of watching, because a watch may miss changes while the
/// store compacts its history.
#pragma once

#include "baobabpin/base/BootClock.h"
#include "platform/PlatformStore.h"

#include <functional>
#include <memory>
#include <string>

namespace baobabpin::control {

struct ReadHandlers {
  /// Called with all entries. The request was sent at \p sentAt.
  std::function<void(const platform::RangePage &page, base::BootTime sentAt)>
      OnSnapshot;
  /// Called when a read has failed after a success, or has succeeded after a
  /// failure.
  std::function<void(bool available)> OnAvailability;
};

class PrefixReader {
public:
  PrefixReader(platform::PlatformStore &store, std::string prefix,
               ReadHandlers handlers);
  ~PrefixReader();
  PrefixReader(const PrefixReader &) = delete;
  PrefixReader &operator=(const PrefixReader &) = delete;

  /// Starts a read unless one is in progress.
  void read();
  /// Starts a read now, or after the one in progress, which may be too old to
  /// show a change that was just made.
  void readAfterChange();

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace baobabpin::control
