/// Relays the TCP connections of one address.
///
/// While no source may connect, or while the target refuses connections, the
/// link does not listen, so that its callers are refused as well.
#pragma once

#include "baobabpin/base/Errors.h"
#include "standins/faultproxy/Link.h"
#include "standins/faultproxy/TcpRelay.h"

#include <map>
#include <memory>

namespace standins::faultproxy {

class TcpLink : public Link {
public:
  TcpLink(baobabpin::kernel::EventLoop &loop, std::mt19937_64 &random,
          LinkOptions options);

  /// Listens. Fails when the address is in use.
  baobabpin::base::Result<void> open(const std::vector<Rule> &rules);
  const LinkOptions &options() const override { return Options; }
  std::string_view protocol() const override { return "tcp"; }
  void applyRules(const std::vector<Rule> &rules) override;
  LinkCounters counters() const override { return {Relays.size(), Accepted}; }

private:
  bool listen();
  void updateListening();
  void accepted(evutil_socket_t fd, const std::string &source);
  void targetRefused();
  void probeTarget();
  void probed(bool isOpen);

  LinkOptions Options;
  RelayHost Host;
  std::vector<Rule> Rules;
  ListenerPtr Listener;
  bool IsTargetGone = false;
  baobabpin::kernel::Timer NextProbe;
  BufferPtr Probe;
  std::map<std::uint64_t, std::unique_ptr<TcpRelay>> Relays;
  std::uint64_t Accepted = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace standins::faultproxy
