#include "baobabpin/store/PrefixWatch.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace baobabpin::store {
namespace {

/// One call in this time when nothing changes.
constexpr std::chrono::milliseconds WatchWait{10'000};

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
  kernel::Timer Retry;
  bool Running = false;
  /// Distinguishes this run's answers from those of an earlier start().
  std::uint64_t Run = 0;
  std::uint64_t Revision = 0;
  bool HasSnapshot = false;
  std::optional<bool> Available;

  StoreCallback guarded(void (State::*handler)(const StoreReply &)) {
    return
        [weak = weak_from_this(), run = Run, handler](const StoreReply &reply) {
          auto self = weak.lock();
          if (self && self->Running && self->Run == run)
            (self.get()->*handler)(reply);
        };
  }

  void next() {
    if (HasSnapshot)
      Store.watch(Prefix, Revision, WatchWait, guarded(&State::onChanges));
    else
      Store.range(Prefix, guarded(&State::onSnapshot));
  }

  void onSnapshot(const StoreReply &reply) {
    if (reply.Status != StoreStatus::Ok) {
      retry();
      return;
    }
    succeed();
    HasSnapshot = true;
    Revision = reply.Revision;
    Handlers.OnSnapshot(reply.Entries, Revision);
    if (Running)
      next();
  }

  void onChanges(const StoreReply &reply) {
    if (reply.Status == StoreStatus::Compacted)
      HasSnapshot = false;
    if (reply.Status != StoreStatus::Ok) {
      retry();
      return;
    }
    succeed();
    // An answer without changes may state no revision.
    std::uint64_t newest = std::max(Revision, reply.Revision);
    for (const auto &it : reply.Entries)
      newest = std::max(newest, it.Revision);
    Revision = newest;
    if (!reply.Entries.empty() || reply.Revision != 0)
      Handlers.OnChanges(reply.Entries, Revision);
    if (Running)
      next();
  }

  void succeed() {
    reset(Delay);
    report(true);
  }

  void retry() {
    report(false);
    if (!Running)
      return;
    Retry = Loop.runAfter(nextDelay(Delay, Random), [this] { next(); });
  }

  void report(bool available) {
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
  ++Impl->Run;
  Impl->HasSnapshot = false;
  Impl->Available.reset();
  Impl->next();
}

void PrefixWatch::stop() {
  Impl->Running = false;
  Impl->Retry.cancel();
}

bool PrefixWatch::isRunning() const { return Impl->Running; }

} // namespace baobabpin::store
