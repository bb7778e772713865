#include "baobabpin/control/PrefixFollower.h"

#include <utility>

namespace baobabpin::control {
namespace {

constexpr std::chrono::milliseconds RetryDelay{250};

} // namespace

struct PrefixFollower::State : std::enable_shared_from_this<State> {
  State(kernel::EventLoop &loop, platform::PlatformStore &store,
        FollowSettings settings, FollowHandlers handlers)
      : Loop(loop), Store(store), Settings(std::move(settings)),
        Handlers(std::move(handlers)) {}

  kernel::EventLoop &Loop;
  platform::PlatformStore &Store;
  FollowSettings Settings;
  FollowHandlers Handlers;
  kernel::Timer Next;
  std::uint64_t Revision = 0;
  bool Reading = false;
  /// A read was asked for while one was under way, which may be too old.
  bool ReadAgain = false;
  bool Available = true;

  void schedule(std::chrono::milliseconds delay, void (State::*step)()) {
    Next = Loop.runAfter(delay, [weak = weak_from_this(), step] {
      if (auto self = weak.lock())
        (self.get()->*step)();
    });
  }

  void note(bool available) {
    if (std::exchange(Available, available) == available)
      return;
    if (Handlers.OnAvailability)
      Handlers.OnAvailability(available);
  }

  void read() {
    if (Reading)
      return;
    Reading = true;
    auto sentAt = base::BootClock::now();
    Store.range(Settings.Prefix,
                [weak = weak_from_this(), sentAt](platform::RangePage page) {
                  if (auto self = weak.lock())
                    self->onPage(page, sentAt);
                });
  }

  void onPage(const platform::RangePage &page, base::BootTime sentAt) {
    Reading = false;
    bool ok = page.Status == store::StoreStatus::Ok;
    note(ok);
    if (!ok) {
      schedule(RetryDelay, &State::read);
      return;
    }
    Revision = page.Revision;
    Handlers.OnSnapshot(page.Entries, page.Revision, sentAt);
    if (std::exchange(ReadAgain, false))
      read();
    else if (Settings.Mode == FollowMode::Poll)
      schedule(Settings.Period, &State::read);
    else
      wait();
  }

  void wait() {
    Store.watch(Settings.Prefix, Revision, Settings.Period,
                [weak = weak_from_this()](const store::StoreReply &reply) {
                  if (auto self = weak.lock())
                    self->onEvents(reply);
                });
  }

  void onEvents(const store::StoreReply &reply) {
    note(reply.Status == store::StoreStatus::Ok ||
         reply.Status == store::StoreStatus::Compacted);
    if (reply.Status == store::StoreStatus::Compacted) {
      read();
      return;
    }
    if (reply.Status != store::StoreStatus::Ok) {
      // Changes may have been forgotten meanwhile; a read misses none.
      schedule(RetryDelay, &State::read);
      return;
    }
    Revision = std::max(Revision, reply.Revision);
    if (!reply.Entries.empty())
      Handlers.OnChanges(reply.Entries, Revision);
    wait();
  }
};

PrefixFollower::PrefixFollower(kernel::EventLoop &loop,
                               platform::PlatformStore &store,
                               FollowSettings settings, FollowHandlers handlers)
    : Impl(std::make_shared<State>(loop, store, std::move(settings),
                                   std::move(handlers))) {}

PrefixFollower::~PrefixFollower() = default;

void PrefixFollower::start() { Impl->read(); }

void PrefixFollower::refresh() {
  if (Impl->Settings.Mode != FollowMode::Poll)
    return;
  if (Impl->Reading)
    Impl->ReadAgain = true;
  else
    Impl->read();
}

} // namespace baobabpin::control
