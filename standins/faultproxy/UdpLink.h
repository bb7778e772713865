/// Relays the datagrams of one address. Each source gets a socket of its own,
/// bound to the source's IP number, through which the target replies.
#pragma once

#include "baobabpin/base/Errors.h"
#include "standins/common/DelayedCalls.h"
#include "standins/faultproxy/Link.h"

#include <map>
#include <memory>
#include <random>

namespace standins::faultproxy {

class UdpLink : public Link {
public:
  UdpLink(baobabpin::kernel::EventLoop &loop, std::mt19937_64 &random,
          LinkOptions options);
  ~UdpLink() override;

  baobabpin::base::Result<void> open(const std::vector<Rule> &rules);
  const LinkOptions &options() const override { return Options; }
  std::string_view protocol() const override { return "udp"; }
  void applyRules(const std::vector<Rule> &rules) override { Rules = rules; }
  LinkCounters counters() const override { return {Sessions.size(), Received}; }

private:
  /// One source and the socket that stands for it at the target.
  struct Session {
    UdpLink *Owner = nullptr;
    baobabpin::http::Endpoint Source;
    evutil_socket_t Socket = -1;
    EventPtr Readable;
    TimePoint LastUsed;

    ~Session();
  };

  void receiveFromSources();
  void receiveFromTarget(Session &session);
  Session *sessionOf(const baobabpin::http::Endpoint &source);
  /// Passes a datagram on at once or after the delay; in any order.
  void passOn(const Effect &effect, std::function<void()> send);
  void forgetIdleSessions();

  baobabpin::kernel::EventLoop &Loop;
  std::mt19937_64 &Random;
  LinkOptions Options;
  std::vector<Rule> Rules;
  evutil_socket_t Socket = -1;
  EventPtr Readable;
  std::map<baobabpin::http::Endpoint, std::unique_ptr<Session>> Sessions;
  std::uint64_t Received = 0;
  common::DelayedCalls Calls;
  baobabpin::kernel::Timer Cleanup;
};

} // namespace standins::faultproxy
