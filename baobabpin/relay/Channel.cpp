#include "baobabpin/relay/Channel.h"

#include <algorithm>
#include <utility>

namespace baobabpin::relay {
namespace {

using std::chrono::milliseconds;

/// An owner with outstanding replies is pinged after this time without any
/// message in either direction.
constexpr milliseconds PingAfter{120};
/// The connection is closed when nothing was received for this long. An owner
/// replies to a ping at once, but an exhausted CPU quota can delay the reply by
/// up to 100 ms.
constexpr milliseconds ReceiveTimeout{420};
/// The time between two pings to an owner that takes no statements.
constexpr milliseconds LeavingPingPeriod{250};
constexpr std::string_view LineEnd = "\r\n";

} // namespace

std::shared_ptr<Channel> Channel::open(kernel::EventLoop &loop,
                                       const http::Endpoint &owner) {
  std::shared_ptr<Channel> it(new Channel(loop));
  it->LastReceivedAt = base::BootClock::now();
  it->Connection = net::LineConnection::connect(
      loop, owner, net::makeWeakHandlers(it, &Channel::onLine, &Channel::fail));
  return it;
}

Channel::~Channel() {
  if (Connection)
    Connection->close();
}

std::uint64_t Channel::send(Request request, Callback callback) {
  request.Sequence = NextSequence++;
  if (Failed) {
    if (callback)
      callback(std::nullopt);
    return request.Sequence;
  }
  auto now = base::BootClock::now();
  // Time without outstanding requests does not count as silence of the owner.
  if (Outstanding.empty())
    LastReceivedAt = std::max(LastReceivedAt, now);
  LastSentAt = now;
  if (callback)
    Outstanding.emplace(request.Sequence, std::move(callback));
  write(request);
  return request.Sequence;
}

void Channel::write(const Request &request) {
  std::string line = encode(request);
  line += LineEnd;
  Connection->send(line);
}

void Channel::cancel(std::uint64_t sequence) {
  if (Failed || !Outstanding.contains(sequence))
    return;
  Request request;
  request.Kind = RequestKind::Cancel;
  request.Sequence = sequence;
  write(request);
}

void Channel::release(std::uint64_t transaction) {
  Request request;
  request.Kind = RequestKind::Release;
  request.Transaction = transaction;
  send(std::move(request), nullptr);
}

void Channel::checkLiveness(base::BootTime now) {
  if (Failed)
    return;
  if (Outstanding.empty()) {
    if (Leaving && now - LastSentAt >= LeavingPingPeriod)
      ping();
    return;
  }
  if (kernel::onTimeSilence(Loop.lateness(), LastReceivedAt, now) >
      ReceiveTimeout) {
    fail();
    return;
  }
  if (now - std::max(LastReceivedAt, LastSentAt) < PingAfter)
    return;
  ping();
}

void Channel::ping() {
  send({}, [](const std::optional<Reply> &) {});
}

void Channel::onLine(std::string_view line) {
  LastReceivedAt = base::BootClock::now();
  Received = true;
  auto reply = decodeReply(line);
  if (!reply) {
    fail();
    return;
  }
  Leaving = reply->Leaving;
  auto it = Outstanding.find(reply->Sequence);
  if (it == Outstanding.end())
    return;
  Callback callback = std::move(it->second);
  Outstanding.erase(it);
  callback(std::move(reply));
}

void Channel::fail() {
  if (std::exchange(Failed, true))
    return;
  auto self = shared_from_this();
  Connection->close();
  auto outstanding = std::exchange(Outstanding, {});
  for (auto &[sequence, callback] : outstanding)
    callback(std::nullopt);
}

} // namespace baobabpin::relay
