/// A TCP connection that carries lines ending in CR LF, on libevent.
///
/// \code
///   auto c = LineConnection::connect(loop, endpoint, handlers);
///   c->send("START db me\r\n");
/// \endcode
#pragma once

#include "baobabpin/base/Errors.h"
#include "baobabpin/http/HttpClient.h"
#include "baobabpin/kernel/EventLoop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;
struct evconnlistener;

namespace baobabpin::net {

/// Longest accepted line without its ending, in bytes.
inline constexpr std::size_t MaxLineBytes = std::size_t{1} << 20;

/// Handlers may close or release the connection.
struct LineHandlers {
  std::function<void(std::string_view line)> OnLine;
  /// The peer closed, the connection broke, or a line was too long. Not called
  /// after close().
  std::function<void()> OnClosed;
};

/// Handlers that call \p onLine and \p onClosed of \p owner, and do nothing
/// once it is gone, so that a connection does not keep its owner alive.
template <typename Owner>
LineHandlers makeWeakHandlers(const std::shared_ptr<Owner> &owner,
                              void (Owner::*onLine)(std::string_view line),
                              void (Owner::*onClosed)()) {
  std::weak_ptr<Owner> weak = owner;
  return {[weak, onLine](std::string_view line) {
            if (auto self = weak.lock())
              (self.get()->*onLine)(line);
          },
          [weak, onClosed] {
            if (auto self = weak.lock())
              (self.get()->*onClosed)();
          }};
}

class LineConnection : public std::enable_shared_from_this<LineConnection> {
public:
  static std::shared_ptr<LineConnection> connect(kernel::EventLoop &loop,
                                                 const http::Endpoint &endpoint,
                                                 LineHandlers handlers);
  /// Takes ownership of the accepted socket \p fd.
  static std::shared_ptr<LineConnection> adopt(kernel::EventLoop &loop, int fd,
                                               LineHandlers handlers);
  ~LineConnection();
  LineConnection(const LineConnection &) = delete;
  LineConnection &operator=(const LineConnection &) = delete;

  void send(std::string_view data);
  /// Closes at once; unsent data is dropped.
  void close();
  /// Stops reading and closes when all data is sent.
  void closeAfterSending();
  bool isOpen() const { return Raw != nullptr; }
  /// Bytes that wait to be sent.
  std::size_t pendingBytes() const;

private:
  LineConnection() = default;
  void attach(bufferevent *raw, LineHandlers handlers);
  void readLines();
  void fail();

  bufferevent *Raw = nullptr;
  LineHandlers Handlers;
};

/// Accepts TCP connections.
class Listener {
public:
  using AcceptHandler = std::function<void(int fd)>;
  explicit Listener(kernel::EventLoop &loop) : Loop(loop) {}
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  base::Result<void> listen(const http::Endpoint &endpoint,
                            AcceptHandler handler);
  void stop();

private:
  kernel::EventLoop &Loop;
  evconnlistener *Raw = nullptr;
  AcceptHandler OnAccept;
};

} // namespace baobabpin::net
