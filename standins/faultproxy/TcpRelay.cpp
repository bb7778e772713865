#include "standins/faultproxy/TcpRelay.h"

#include <event2/buffer.h>

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace standins::faultproxy {

using baobabpin::base::Duration;

namespace {

/// Reading pauses above this, so that a held direction cannot use up memory.
constexpr std::size_t MaxPendingBytes = 4 << 20;

timeval toTimeval(Duration duration) {
  auto us = std::chrono::ceil<std::chrono::microseconds>(duration).count();
  if (us < 0)
    us = 0;
  return {.tv_sec = static_cast<time_t>(us / 1'000'000),
          .tv_usec = static_cast<suseconds_t>(us % 1'000'000)};
}

std::size_t outputBytes(const BufferPtr &buffer) {
  return buffer ? evbuffer_get_length(bufferevent_get_output(buffer.get())) : 0;
}

} // namespace

TcpRelay::TcpRelay(RelayHost &host, evutil_socket_t fd, std::string source,
                   const Effect &effect, std::function<void()> finished)
    : Host(host), Source(std::move(source)), Current(effect),
      Finished(std::move(finished)) {
  initialize(ToTarget, SourceSide, TargetSide);
  initialize(ToSource, TargetSide, SourceSide);
  ToTarget.IsHeld = effect.DropsToTarget;
  ToSource.IsHeld = effect.DropsToSource;
  setNoDelay(fd);
  attach(SourceSide,
         bufferevent_socket_new(Host.Loop.base(), fd, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_enable(SourceSide.Buffer.get(), EV_READ | EV_WRITE);
  if (!ToTarget.IsHeld)
    connectTarget();
}

TcpRelay::~TcpRelay() = default;

void TcpRelay::initialize(Direction &direction, Side &from, Side &to) {
  direction.Owner = this;
  direction.From = &from;
  direction.To = &to;
  direction.Timer.reset(event_new(
      Host.Loop.base(), -1, 0,
      [](evutil_socket_t, short, void *arg) {
        auto *it = static_cast<Direction *>(arg);
        it->Owner->pump(*it);
      },
      &direction));
}

void TcpRelay::attach(Side &side, bufferevent *buffer) {
  side.Buffer.reset(buffer);
  bufferevent_setcb(
      buffer,
      [](bufferevent *it, void *arg) {
        auto *relay = static_cast<TcpRelay *>(arg);
        relay->onRead(relay->sideOf(it));
      },
      [](bufferevent *it, void *arg) {
        auto *relay = static_cast<TcpRelay *>(arg);
        relay->onWritten(relay->sideOf(it));
      },
      [](bufferevent *it, short what, void *arg) {
        auto *relay = static_cast<TcpRelay *>(arg);
        relay->onEvent(relay->sideOf(it), what);
      },
      this);
}

void TcpRelay::connectTarget() {
  evutil_socket_t fd = openSocketFrom(Source, SOCK_STREAM);
  if (fd < 0) {
    finish(true);
    return;
  }
  setNoDelay(fd);
  attach(TargetSide,
         bufferevent_socket_new(Host.Loop.base(), fd, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_enable(TargetSide.Buffer.get(), EV_READ | EV_WRITE);
  sockaddr_in address = socketAddress(Host.Target);
  // A failure is reported through onEvent too.
  bufferevent_socket_connect(TargetSide.Buffer.get(),
                             reinterpret_cast<sockaddr *>(&address),
                             sizeof address);
}

TcpRelay::Side &TcpRelay::sideOf(const bufferevent *buffer) {
  return buffer == SourceSide.Buffer.get() ? SourceSide : TargetSide;
}

TcpRelay::Direction &TcpRelay::directionFrom(const Side &side) {
  return &side == &SourceSide ? ToTarget : ToSource;
}

TcpRelay::Direction &TcpRelay::directionTo(const Side &side) {
  return &side == &SourceSide ? ToSource : ToTarget;
}

std::chrono::microseconds TcpRelay::drawDelay() {
  std::uniform_int_distribution<std::int64_t> jitter(0, Current.Jitter.count());
  return Current.Delay + std::chrono::microseconds(jitter(Host.Random));
}

void TcpRelay::onRead(Side &side) {
  if (IsFinished)
    return;
  evbuffer *input = bufferevent_get_input(side.Buffer.get());
  Parcel parcel;
  parcel.Bytes.resize(evbuffer_get_length(input));
  evbuffer_remove(input, parcel.Bytes.data(), parcel.Bytes.size());
  enqueue(directionFrom(side), std::move(parcel));
}

void TcpRelay::onWritten(Side &side) {
  if (IsFinished)
    return;
  Direction &direction = directionTo(side);
  if (direction.IsDone)
    shutdown(bufferevent_getfd(side.Buffer.get()), SHUT_WR);
  finishIfDone();
  if (!IsFinished)
    limitReading(direction);
}

void TcpRelay::onEvent(Side &side, short what) {
  if (IsFinished)
    return;
  if (what & BEV_EVENT_CONNECTED) {
    IsConnected = true;
    return;
  }
  if (&side == &TargetSide && !IsConnected) {
    onTargetFailed();
    return;
  }
  if (side.HasEnded && !(what & BEV_EVENT_ERROR))
    return;
  side.HasEnded = true;
  Parcel parcel;
  parcel.What = Parcel::Kind::End;
  if (what & BEV_EVENT_ERROR) {
    side.IsBroken = true;
    parcel.What = Parcel::Kind::Reset;
  }
  enqueue(directionFrom(side), std::move(parcel));
}

void TcpRelay::onTargetFailed() {
  bool isRefused = EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
  if (isRefused)
    Host.TargetRefused();
  TargetSide.IsBroken = true;
  Parcel parcel;
  parcel.What = Parcel::Kind::Reset;
  enqueue(ToSource, std::move(parcel));
}

void TcpRelay::enqueue(Direction &direction, Parcel parcel) {
  push(direction.Queue, Host.Loop.now(), drawDelay(), std::move(parcel));
  pump(direction);
}

void TcpRelay::pump(Direction &direction) {
  if (IsFinished || direction.IsHeld)
    return;
  if (&direction == &ToTarget && !TargetSide.Buffer)
    connectTarget();
  auto now = Host.Loop.now();
  while (!IsFinished) {
    auto parcel = popDue(direction.Queue, now);
    if (!parcel)
      break;
    deliver(direction, *parcel);
  }
  if (IsFinished)
    return;
  armTimer(direction);
  limitReading(direction);
}

void TcpRelay::deliver(Direction &direction, const Parcel &parcel) {
  if (parcel.What == Parcel::Kind::Reset) {
    finish(true);
    return;
  }
  bufferevent *to = direction.To->Buffer.get();
  if (parcel.What == Parcel::Kind::Bytes) {
    if (!direction.To->IsBroken)
      bufferevent_write(to, parcel.Bytes.data(), parcel.Bytes.size());
    return;
  }
  direction.IsDone = true;
  // Otherwise onWritten() does it.
  if (outputBytes(direction.To->Buffer) == 0)
    shutdown(bufferevent_getfd(to), SHUT_WR);
  finishIfDone();
}

void TcpRelay::armTimer(Direction &direction) {
  if (direction.Queue.Parcels.empty())
    return;
  timeval tv = toTimeval(direction.Queue.Parcels.front().Due - Host.Loop.now());
  event_add(direction.Timer.get(), &tv);
}

void TcpRelay::limitReading(Direction &direction) {
  Side &from = *direction.From;
  if (!from.Buffer || from.HasEnded)
    return;
  auto pending = direction.Queue.ByteCount + outputBytes(direction.To->Buffer);
  bool isReading = bufferevent_get_enabled(from.Buffer.get()) & EV_READ;
  bool shouldRead = pending < MaxPendingBytes;
  if (isReading == shouldRead)
    return;
  if (shouldRead)
    bufferevent_enable(from.Buffer.get(), EV_READ);
  else
    bufferevent_disable(from.Buffer.get(), EV_READ);
}

void TcpRelay::applyRules(const Effect &effect) {
  if (IsFinished)
    return;
  bool resetsOnHeal = Current.ResetsOnHeal;
  Current = effect;
  if (effect.Resets) {
    finish(true);
    return;
  }
  for (Direction *it : {&ToTarget, &ToSource}) {
    bool isHeld = it == &ToTarget ? effect.DropsToTarget : effect.DropsToSource;
    bool isHealed = std::exchange(it->IsHeld, isHeld) && !isHeld;
    if (isHealed && resetsOnHeal && !it->Queue.Parcels.empty()) {
      finish(true);
      return;
    }
    if (isHealed)
      pump(*it);
  }
}

void TcpRelay::finishIfDone() {
  bool isFlushed = outputBytes(SourceSide.Buffer) == 0 &&
                   outputBytes(TargetSide.Buffer) == 0;
  if (ToTarget.IsDone && ToSource.IsDone && isFlushed)
    finish(false);
}

void TcpRelay::finish(bool resets) {
  if (std::exchange(IsFinished, true))
    return;
  for (Side *it : {&SourceSide, &TargetSide}) {
    if (!it->Buffer)
      continue;
    if (resets)
      setResetOnClose(bufferevent_getfd(it->Buffer.get()));
    it->Buffer.reset();
  }
  event_del(ToTarget.Timer.get());
  event_del(ToSource.Timer.get());
  Finished();
}

} // namespace standins::faultproxy
