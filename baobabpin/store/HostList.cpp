#include "baobabpin/store/HostList.h"

namespace baobabpin::store {

struct HostList::State : std::enable_shared_from_this<HostList::State> {
  State(kernel::EventLoop &loop, StoreClient &store,
        std::chrono::milliseconds period,
        std::function<void(const std::string &)> onLeaving,
        std::uint64_t randomSeed)
      : Loop(loop), Store(store), Period(period),
        OnLeaving(std::move(onLeaving)), Random(randomSeed) {}

  kernel::EventLoop &Loop;
  StoreClient &Store;
  std::chrono::milliseconds Period;
  std::function<void(const std::string &)> OnLeaving;
  std::mt19937_64 Random;
  Backoff Delay;
  kernel::Timer PollTimer;
  bool Running = false;
  /// Counts the calls of start(). Replies to calls of an earlier generation are
  /// ignored.
  std::uint64_t Generation = 0;
  std::map<std::string, HostState> Hosts;

  void poll() {
    Store.hosts([weak = weak_from_this(),
                 generation = Generation](const StoreReply &reply) {
      auto self = weak.lock();
      if (self && self->Running && self->Generation == generation)
        self->onReply(reply);
    });
  }

  void onReply(const StoreReply &reply) {
    if (reply.Status != StoreStatus::Ok) {
      PollTimer =
          Loop.runAfter(Period + nextDelay(Delay, Random), [this] { poll(); });
      return;
    }
    reset(Delay);
    Hosts.clear();
    for (const auto &it : reply.Hosts)
      Hosts[it.Host] = it.State;
    PollTimer = Loop.runAfter(Period, [this] { poll(); });
    for (const auto &it : reply.Hosts) {
      if (it.State == HostState::Leaving)
        OnLeaving(it.Host);
    }
  }
};

HostList::HostList(kernel::EventLoop &loop, StoreClient &store,
                   std::chrono::milliseconds period,
                   std::function<void(const std::string &host)> onLeaving,
                   std::uint64_t randomSeed)
    : Impl(std::make_shared<State>(loop, store, period, std::move(onLeaving),
                                   randomSeed)) {}

HostList::~HostList() { stop(); }

void HostList::start() {
  if (Impl->Running)
    return;
  Impl->Running = true;
  ++Impl->Generation;
  Impl->poll();
}

void HostList::stop() {
  Impl->Running = false;
  Impl->PollTimer.cancel();
}

const std::map<std::string, HostState> &HostList::hosts() const {
  return Impl->Hosts;
}

} // namespace baobabpin::store
