#include "baobabpin/relay/Channel.h"

#include <algorithm>
#include <utility>

namespace baobabpin::relay {
namespace {

using std::chrono::milliseconds;

/// Silence after which an owner with outstanding replies is pinged.
constexpr milliseconds PingAfter{120};
/// An owner replies to a ping at once; a share of a core that is used up delays
/// it by up to 100 ms.
constexpr milliseconds SilenceLimit{420};
constexpr std::string_view LineEnd = "\r\n";

} // namespace

std::shared_ptr<Channel> Channel::open(kernel::EventLoop &loop,
                                       const http::Endpoint &owner) {
  std::shared_ptr<Channel> it(new Channel);
  it->LastHeard = base::BootClock::now();
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
  // The silence that counts begins with the oldest outstanding request.
  if (Outstanding.empty())
    LastHeard = std::max(LastHeard, now);
  LastSent = now;
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
  if (Failed || Outstanding.empty())
    return;
  if (now - LastHeard > SilenceLimit) {
    fail();
    return;
  }
  if (now - std::max(LastHeard, LastSent) < PingAfter)
    return;
  Request ping;
  send(std::move(ping), [](const std::optional<Reply> &) {});
}

void Channel::onLine(std::string_view line) {
  LastHeard = base::BootClock::now();
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
