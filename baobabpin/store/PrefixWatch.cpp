#include "baobabpin/store/PrefixWatch.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace baobabpin::store {
namespace {

/// How long the store may hold a watch call while nothing changes. An idle
/// watch makes one call in this time.
constexpr std::chrono::milliseconds LongPollTimeout{10'000};

} // namespace

struct PrefixWatch::State : std::enable_shared_from_this<PrefixWatch::State> {
  State(kernel::EventLoop &loop, StoreClient &store, std::string prefix,
        WatchHandlers handlers, std::uint64_t randomSeed)
      : Loop(loop), Store(store), Prefix(std::move(prefix)),
        Handlers(std::move(handlers)), Random(randomSeed) {}

  kernel::EventLoop &Loop;
  StoreClient &Store;
  std::string Prefix;
  WatchHandlers Handlers;
  std::mt19937_64 Random;
  Backoff Delay;
  kernel::Timer RetryTimer;
  bool Running = false;
  /// Counts the calls of start(). Replies to calls of an earlier generation are
  /// ignored.
  std::uint64_t Generation = 0;
  std::uint64_t Revision = 0;
  bool HasSnapshot = false;
  std::optional<bool> Available;

  /// Returns a callback that calls \p handler unless the watch was stopped,
  /// restarted or destroyed in the meantime.
  StoreCallback ignoreIfStopped(void (State::*handler)(const StoreReply &)) {
    return [weak = weak_from_this(), generation = Generation,
            handler](const StoreReply &reply) {
      auto self = weak.lock();
      if (self && self->Running && self->Generation == generation)
        (self.get()->*handler)(reply);
    };
  }

  void sendNextCall() {
    if (HasSnapshot)
      Store.watch(Prefix, Revision, LongPollTimeout,
                  ignoreIfStopped(&State::onChanges));
    else
      Store.range(Prefix, ignoreIfStopped(&State::onSnapshot));
  }

  void onSnapshot(const StoreReply &reply) {
    if (reply.Status != StoreStatus::Ok) {
      onFailure();
      return;
    }
    onSuccess();
    HasSnapshot = true;
    Revision = reply.Revision;
    Handlers.OnSnapshot(reply.Entries, Revision);
    if (Running)
      sendNextCall();
  }

  void onChanges(const StoreReply &reply) {
    if (reply.Status == StoreStatus::Compacted)
      HasSnapshot = false;
    if (reply.Status != StoreStatus::Ok) {
      onFailure();
      return;
    }
    onSuccess();
    // A reply without changes may lack the revision.
    std::uint64_t newest = std::max(Revision, reply.Revision);
    for (const auto &it : reply.Entries)
      newest = std::max(newest, it.Revision);
    Revision = newest;
    if (!reply.Entries.empty() || reply.Revision != 0)
      Handlers.OnChanges(reply.Entries, Revision);
    if (Running)
      sendNextCall();
  }

  void onSuccess() {
    reset(Delay);
    reportAvailability(true);
  }

  void onFailure() {
    reportAvailability(false);
    if (!Running)
      return;
    RetryTimer =
        Loop.runAfter(nextDelay(Delay, Random), [this] { sendNextCall(); });
  }

  void reportAvailability(bool available) {
    if (std::exchange(Available, available) != available)
      Handlers.OnAvailability(available);
  }
};

PrefixWatch::PrefixWatch(kernel::EventLoop &loop, StoreClient &store,
                         std::string prefix, WatchHandlers handlers,
                         std::uint64_t randomSeed)
    : Impl(std::make_shared<State>(loop, store, std::move(prefix),
                                   std::move(handlers), randomSeed)) {}

PrefixWatch::~PrefixWatch() { stop(); }

void PrefixWatch::start() {
  if (Impl->Running)
    return;
  Impl->Running = true;
  ++Impl->Generation;
  Impl->HasSnapshot = false;
  Impl->Available.reset();
  Impl->sendNextCall();
}

void PrefixWatch::stop() {
  Impl->Running = false;
  Impl->RetryTimer.cancel();
}

bool PrefixWatch::isRunning() const { return Impl->Running; }

} // namespace baobabpin::store
