#include "standins/faultproxy/UdpLink.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace standins::faultproxy {

using namespace std::chrono_literals;
using namespace baobabpin;
using http::Endpoint;

namespace {

constexpr auto SessionLifetime = 60s;
constexpr auto CleanupPeriod = 10s;

using DatagramBuffer = std::array<char, 65536>;

} // namespace

UdpLink::Session::~Session() {
  Readable.reset();
  if (Socket >= 0)
    close(Socket);
}

UdpLink::UdpLink(kernel::EventLoop &loop, std::mt19937_64 &random,
                 LinkOptions options)
    : Loop(loop), Random(random), Options(std::move(options)), Calls(loop) {}

UdpLink::~UdpLink() {
  Readable.reset();
  if (Socket >= 0)
    close(Socket);
}

base::Result<void> UdpLink::open(const std::vector<Rule> &rules) {
  Rules = rules;
  Socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in address = socketAddress(Options.Listen);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0)
    return base::fail(base::ErrorType::InvalidSettings,
                      "cannot bind " + formatEndpoint(Options.Listen));
  Options.Listen = localEndpoint(Socket);
  Readable.reset(event_new(
      Loop.base(), Socket, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void *arg) {
        static_cast<UdpLink *>(arg)->receiveFromSources();
      },
      this));
  event_add(Readable.get(), nullptr);
  Cleanup = Loop.runEvery(CleanupPeriod, [this] { forgetIdleSessions(); });
  return {};
}

void UdpLink::receiveFromSources() {
  DatagramBuffer buf;
  sockaddr_in from{};
  while (true) {
    socklen_t size = sizeof from;
    ssize_t n = recvfrom(Socket, buf.data(), buf.size(), 0,
                         reinterpret_cast<sockaddr *>(&from), &size);
    if (n < 0)
      return;
    ++Received;
    Endpoint source = endpointOf(from);
    Session *session = sessionOf(source);
    Effect effect = effectFor(Rules, Options.Name, source.Address);
    bool isLost = effect.DropsToTarget || effect.Resets || effect.Refuses;
    if (!session || isLost)
      continue;
    std::string datagram(buf.data(), static_cast<std::size_t>(n));
    passOn(effect, [this, source, datagram = std::move(datagram)] {
      if (Session *it = sessionOf(source))
        (void)::send(it->Socket, datagram.data(), datagram.size(), 0);
    });
  }
}

void UdpLink::receiveFromTarget(Session &session) {
  DatagramBuffer buf;
  while (true) {
    ssize_t n = recv(session.Socket, buf.data(), buf.size(), 0);
    if (n < 0)
      return;
    session.LastUsed = Loop.now();
    Effect effect = effectFor(Rules, Options.Name, session.Source.Address);
    if (effect.DropsToSource || effect.Resets || effect.Refuses)
      continue;
    std::string datagram(buf.data(), static_cast<std::size_t>(n));
    sockaddr_in to = socketAddress(session.Source);
    passOn(effect, [this, to, datagram = std::move(datagram)] {
      (void)sendto(Socket, datagram.data(), datagram.size(), 0,
                   reinterpret_cast<const sockaddr *>(&to), sizeof to);
    });
  }
}

UdpLink::Session *UdpLink::sessionOf(const Endpoint &source) {
  auto &session = Sessions[source];
  if (session) {
    session->LastUsed = Loop.now();
    return session.get();
  }
  session = std::make_unique<Session>();
  session->Owner = this;
  session->Source = source;
  session->LastUsed = Loop.now();
  session->Socket = openSocketFrom(source.Address, SOCK_DGRAM);
  sockaddr_in target = socketAddress(Options.Target);
  bool isOpen = session->Socket >= 0 &&
                connect(session->Socket, reinterpret_cast<sockaddr *>(&target),
                        sizeof target) == 0;
  if (!isOpen) {
    Sessions.erase(source);
    return nullptr;
  }
  session->Readable.reset(event_new(
      Loop.base(), session->Socket, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void *arg) {
        auto *it = static_cast<Session *>(arg);
        it->Owner->receiveFromTarget(*it);
      },
      session.get()));
  event_add(session->Readable.get(), nullptr);
  return session.get();
}

void UdpLink::passOn(const Effect &effect, std::function<void()> send) {
  std::uniform_int_distribution<std::int64_t> jitter(0, effect.Jitter.count());
  auto delay = effect.Delay + std::chrono::microseconds(jitter(Random));
  if (delay > 0us)
    Calls.after(delay, std::move(send));
  else
    send();
}

void UdpLink::forgetIdleSessions() {
  auto oldest = Loop.now() - SessionLifetime;
  std::erase_if(Sessions,
                [&](const auto &it) { return it.second->LastUsed < oldest; });
}

} // namespace standins::faultproxy
