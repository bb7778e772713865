#include "standins/faultproxy/TcpLink.h"

#include <unistd.h>

#include <utility>

namespace standins::faultproxy {

using namespace std::chrono_literals;
using namespace baobabpin;

namespace {

/// A target that is gone is tried this often.
constexpr auto ProbePeriod = 20ms;
constexpr int Backlog = 1024;

} // namespace

TcpLink::TcpLink(kernel::EventLoop &loop, std::mt19937_64 &random,
                 LinkOptions options)
    : Options(std::move(options)), Host{loop, random, Options.Target,
                                        [this] { targetRefused(); }} {}

base::Result<void> TcpLink::open(const std::vector<Rule> &rules) {
  Rules = rules;
  if (!listen())
    return base::fail(base::ErrorType::InvalidSettings,
                      "cannot listen on " + formatEndpoint(Options.Listen));
  updateListening();
  return {};
}

bool TcpLink::listen() {
  sockaddr_in address = socketAddress(Options.Listen);
  Listener.reset(evconnlistener_new_bind(
      Host.Loop.base(),
      [](evconnlistener *, evutil_socket_t fd, sockaddr *from, int, void *arg) {
        auto source = endpointOf(*reinterpret_cast<sockaddr_in *>(from));
        static_cast<TcpLink *>(arg)->accepted(fd, source.Address);
      },
      this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
      Backlog, reinterpret_cast<sockaddr *>(&address), sizeof address));
  if (!Listener)
    return false;
  // A port that the system chose stays the same when listening resumes.
  Options.Listen = localEndpoint(evconnlistener_get_fd(Listener.get()));
  return true;
}

void TcpLink::updateListening() {
  bool shouldListen = !IsTargetGone && !refusesAll(Rules, Options.Name);
  if (!shouldListen)
    Listener.reset();
  else if (!Listener)
    listen();
}

void TcpLink::accepted(evutil_socket_t fd, const std::string &source) {
  Effect effect = effectFor(Rules, Options.Name, source);
  if (effect.Refuses || effect.Resets) {
    setResetOnClose(fd);
    close(fd);
    return;
  }
  std::uint64_t id = ++Accepted;
  // The relay is on the stack when it reports its end.
  auto finished = [this, id] {
    Host.Loop.post([this, id, alive = std::weak_ptr(Alive)] {
      if (alive.lock())
        Relays.erase(id);
    });
  };
  Relays.emplace(id, std::make_unique<TcpRelay>(Host, fd, source, effect,
                                                std::move(finished)));
}

void TcpLink::applyRules(const std::vector<Rule> &rules) {
  Rules = rules;
  updateListening();
  for (auto &[id, it] : Relays)
    it->applyRules(effectFor(Rules, Options.Name, it->source()));
}

void TcpLink::targetRefused() {
  if (std::exchange(IsTargetGone, true))
    return;
  updateListening();
  NextProbe = Host.Loop.runAfter(ProbePeriod, [this] { probeTarget(); });
}

void TcpLink::probeTarget() {
  Probe.reset(
      bufferevent_socket_new(Host.Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setcb(
      Probe.get(), nullptr, nullptr,
      [](bufferevent *, short what, void *arg) {
        static_cast<TcpLink *>(arg)->probed(what & BEV_EVENT_CONNECTED);
      },
      this);
  sockaddr_in address = socketAddress(Options.Target);
  bufferevent_socket_connect(
      Probe.get(), reinterpret_cast<sockaddr *>(&address), sizeof address);
}

void TcpLink::probed(bool isOpen) {
  Probe.reset();
  if (isOpen) {
    IsTargetGone = false;
    updateListening();
    return;
  }
  NextProbe = Host.Loop.runAfter(ProbePeriod, [this] { probeTarget(); });
}

} // namespace standins::faultproxy
