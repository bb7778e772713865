#include "baobabpin/owner/ServerLink.h"

namespace baobabpin::owner {

using upstream::Answer;
using upstream::UpstreamConnection;
using namespace std::chrono_literals;

namespace {

constexpr auto OpenConnectionsTimeout = 1s;

} // namespace

ServerLink::ServerLink(kernel::EventLoop &loop, LinkSettings settings)
    : Settings(std::move(settings)),
      Status(loop, Settings.Server, Settings.LocalAddress),
      Control(loop, Settings.Server, Settings.LocalAddress) {
  for (unsigned n = 0; n < Settings.Slots; ++n) {
    auto slot = std::make_unique<Slot>();
    slot->Connection = std::make_unique<UpstreamConnection>(
        loop, Settings.Server, Settings.LocalAddress);
    Slots.push_back(std::move(slot));
  }
}

void ServerLink::openConnections() {
  for (auto &it : Slots) {
    if (it->isFree())
      callIn(*it, upstream::StatusRequest{}, OpenConnectionsTimeout,
             [](const Answer &, base::TimePoint) {});
  }
}

bool ServerLink::hasFreeSlot() const {
  for (const auto &it : Slots) {
    if (it->isFree())
      return true;
  }
  return false;
}

unsigned ServerLink::pending() const {
  unsigned n = 0;
  for (const auto &it : Slots)
    n += it->isFree() ? 0 : 1;
  return n;
}

ServerLink::Slot *ServerLink::freeSlot() {
  for (auto &it : Slots) {
    if (it->isFree())
      return it.get();
  }
  return nullptr;
}

ServerLink::Slot *ServerLink::reserve() {
  Slot *slot = freeSlot();
  slot->Reserved = true;
  return slot;
}

void ServerLink::release(Slot &slot, bool discard) {
  slot.Reserved = false;
  if (!discard)
    return;
  slot.Connection->disconnect();
  slot.CallInFlight = false;
  slot.Callback = nullptr;
  ++slot.Generation;
}

void ServerLink::beginCall(Slot &slot, LinkCallback callback) {
  slot.Callback = std::move(callback);
  slot.SentAt = base::Clock::now();
  slot.CallInFlight = true;
  ++slot.Generation;
}

upstream::AnswerCallback ServerLink::makeAnswerCallback(Slot &slot) {
  return [&slot, generation = slot.Generation](Answer answer) {
    if (slot.Generation != generation)
      return;
    slot.CallInFlight = false;
    auto callback = std::exchange(slot.Callback, nullptr);
    callback(std::move(answer), slot.SentAt);
  };
}

void ServerLink::abortCalls(base::TimePoint sentBefore) {
  for (auto &it : Slots) {
    if (!it->CallInFlight || it->SentAt >= sentBefore)
      continue;
    it->Connection->disconnect();
    it->CallInFlight = false;
    ++it->Generation;
    Answer lost;
    lost.TimedOut = true;
    lost.Error = base::ErrorType::ConnectionLost;
    auto callback = std::exchange(it->Callback, nullptr);
    callback(std::move(lost), it->SentAt);
  }
}

void ServerLink::status(const upstream::StatusRequest &request,
                        base::Duration timeout, LinkCallback callback) {
  if (Status.isBusy())
    Status.disconnect();
  auto sentAt = base::Clock::now();
  Status.call(request, timeout,
              [callback = std::move(callback), sentAt](Answer answer) {
                callback(std::move(answer), sentAt);
              });
}

} // namespace baobabpin::owner
