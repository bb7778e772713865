/// A connection to the owner of servers' connections, shared by all statements
/// of this node that go through it.
///
/// While a reply is outstanding, pings show whether the owner is alive; a
/// silent owner is given up long before TCP would notice.
#pragma once

#include "baobabpin/base/BootClock.h"
#include "baobabpin/net/LineConnection.h"
#include "baobabpin/relay/Messages.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace baobabpin::relay {

class Channel : public std::enable_shared_from_this<Channel> {
public:
  /// Nothing: the connection broke or fell silent before the reply.
  using Callback = std::function<void(std::optional<Reply>)>;

  static std::shared_ptr<Channel> open(kernel::EventLoop &loop,
                                       const http::Endpoint &owner);
  ~Channel();

  /// Sends \p request under a new sequence number, which is returned.
  std::uint64_t send(Request request, Callback callback);
  /// Nobody waits for the statement of that sequence number any more. One that
  /// has not been sent to its server yet is not run.
  void cancel(std::uint64_t sequence);
  /// Rolls back a transaction, without waiting.
  void release(std::uint64_t transaction);
  /// Gives up an owner that is silent although a reply is outstanding.
  void checkLiveness(base::BootTime now);
  bool isOpen() const { return !Failed; }
  /// The owner is about to stop.
  bool isLeaving() const { return Leaving; }

private:
  Channel() = default;
  void write(const Request &request);
  void onLine(std::string_view line);
  void fail();

  std::shared_ptr<net::LineConnection> Connection;
  std::map<std::uint64_t, Callback> Outstanding;
  std::uint64_t NextSequence = 1;
  base::BootTime LastHeard{};
  base::BootTime LastSent{};
  bool Failed = false;
  bool Leaving = false;
};

} // namespace baobabpin::relay
