#include "baobabpin/control/PrefixReader.h"

#include <utility>

namespace baobabpin::control {

struct PrefixReader::State : std::enable_shared_from_this<State> {
  State(platform::PlatformStore &store, std::string prefix,
        ReadHandlers handlers)
      : Store(store), Prefix(std::move(prefix)), Handlers(std::move(handlers)) {
  }

  platform::PlatformStore &Store;
  std::string Prefix;
  ReadHandlers Handlers;
  bool Reading = false;
  bool ReadAgain = false;
  bool Available = true;

  void read() {
    Reading = true;
    auto sentAt = base::BootClock::now();
    Store.range(Prefix, [weak = weak_from_this(),
                         sentAt](const platform::RangePage &page) {
      if (auto self = weak.lock())
        self->onPage(page, sentAt);
    });
  }

  void onPage(const platform::RangePage &page, base::BootTime sentAt) {
    Reading = false;
    bool ok = page.Status == store::StoreStatus::Ok;
    if (std::exchange(Available, ok) != ok)
      Handlers.OnAvailability(ok);
    if (ok)
      Handlers.OnSnapshot(page, sentAt);
    if (std::exchange(ReadAgain, false) && ok)
      read();
  }
};

PrefixReader::PrefixReader(platform::PlatformStore &store, std::string prefix,
                           ReadHandlers handlers)
    : Impl(std::make_shared<State>(store, std::move(prefix),
                                   std::move(handlers))) {}

PrefixReader::~PrefixReader() = default;

void PrefixReader::read() {
  if (!Impl->Reading)
    Impl->read();
}

void PrefixReader::readAfterChange() {
  if (Impl->Reading)
    Impl->ReadAgain = true;
  else
    Impl->read();
}

} // namespace baobabpin::control
