/// A connection to a node that owns the connections to servers. All statements
/// that this node relays through that owner share it.
///
/// While a reply is outstanding, pings check whether the owner is alive. The
/// connection to an owner that does not reply is closed long before TCP would
/// detect the failure.
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
  /// Gets the reply, or nothing if the connection broke or timed out before the
  /// reply.
  using Callback = std::function<void(std::optional<Reply>)>;

  static std::shared_ptr<Channel> open(kernel::EventLoop &loop,
                                       const http::Endpoint &owner);
  ~Channel();

  /// Sends \p request under a new sequence number and returns that number.
  std::uint64_t send(Request request, Callback callback);
  /// Tells the owner that no client waits for the statement with this sequence
  /// number any more. The owner does not run it unless it has already been sent
  /// to its server.
  void cancel(std::uint64_t sequence);
  /// Rolls back a transaction without waiting for the reply.
  void release(std::uint64_t transaction);
  /// Pings an owner from which nothing was received while a reply is
  /// outstanding, and closes the connection if the owner stays silent while
  /// this node's loop is on time. Must be called periodically.
  void checkLiveness(base::BootTime now);
  bool isOpen() const { return !Failed; }
  /// Returns whether anything was received since the channel was opened.
  bool hasReceived() const { return Received; }
  /// Returns whether the owner has announced that it takes no statements now.
  /// It is pinged until it does again.
  bool isLeaving() const { return Leaving; }

private:
  explicit Channel(kernel::EventLoop &loop) : Loop(loop) {}
  void write(const Request &request);
  void ping();
  void onLine(std::string_view line);
  void fail();

  kernel::EventLoop &Loop;
  std::shared_ptr<net::LineConnection> Connection;
  std::map<std::uint64_t, Callback> Outstanding;
  std::uint64_t NextSequence = 1;
  base::BootTime LastReceivedAt{};
  base::BootTime LastSentAt{};
  bool Failed = false;
  bool Received = false;
  bool Leaving = false;
};

} // namespace baobabpin::relay
