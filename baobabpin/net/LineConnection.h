/// TCP connections for line-based protocols, based on libevent. Lines end with
/// CR LF.
///
/// \code
///   auto connection = LineConnection::connect(loop, endpoint, handlers);
///   connection->send("START db me\r\n");
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
struct evbuffer;
struct evconnlistener;

namespace baobabpin::net {

/// Largest length of a received line in bytes, without CR LF.
inline constexpr std::size_t MaxLineBytes = std::size_t{1} << 20;

/// Callbacks of a connection. They may close or release the connection.
struct LineHandlers {
  /// Called for each received line, without CR LF.
  std::function<void(std::string_view line)> OnLine;
  /// Called when the peer closed the connection, the connection was lost, or a
  /// line was too long. Not called after close().
  std::function<void()> OnClosed;
};

/// Returns handlers that call the member functions \p onLine and \p onClosed of
/// \p owner. They hold only a weak reference, so that a connection does not
/// keep its owner alive, and do nothing after the owner is destroyed.
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

/// A connection that sends data and receives lines.
class LineConnection : public std::enable_shared_from_this<LineConnection> {
public:
  /// Starts to connect to \p endpoint. Data may be sent at once; it is buffered
  /// until the connection is established. The connection fails if the address
  /// is not an IPv4 address.
  static std::shared_ptr<LineConnection> connect(kernel::EventLoop &loop,
                                                 const http::Endpoint &endpoint,
                                                 LineHandlers handlers);
  /// Returns a connection that owns the accepted socket \p fd. It is closed
  /// when a line is longer than \p lineLimit.
  static std::shared_ptr<LineConnection>
  adopt(kernel::EventLoop &loop, int fd, LineHandlers handlers,
        std::size_t lineLimit = MaxLineBytes);
  ~LineConnection();
  LineConnection(const LineConnection &) = delete;
  LineConnection &operator=(const LineConnection &) = delete;

  /// Buffers \p data, which must include line endings, for sending.
  void send(std::string_view data);
  /// Reads at most \p bytes, and passes on at most \p lines lines, in one turn
  /// of the event loop, so that a peer that sends without pause does not delay
  /// the others.
  void limitReading(std::size_t bytes, std::size_t lines);
  /// Stops reading and passing on lines until resumeReading().
  void pauseReading();
  /// Goes on reading, from the next turn of the event loop on, with a new limit
  /// for the length of a line.
  void resumeReading(std::size_t lineLimit);
  /// Closes the connection immediately and discards unsent data.
  void close();
  /// Stops reading and closes the connection when all data has been sent.
  void closeAfterSending();
  bool isOpen() const { return Raw != nullptr; }
  /// Number of buffered bytes that have not been sent.
  std::size_t pendingBytes() const;

private:
  explicit LineConnection(kernel::EventLoop &loop) : Loop(loop) {}
  void attach(bufferevent *raw, LineHandlers handlers);
  /// Bounds the input buffer to one line. The rest stays in the socket.
  void setLineLimit(std::size_t bytes);
  /// Passes the complete lines in the input buffer to the handler. Those above
  /// LinesPerTurn wait for the next turn, and nothing is read until then.
  void readLines();
  /// Calls readLines() in the next turn of the event loop.
  void continueReading();
  /// Returns whether the input buffer contains a line end. Searches each byte
  /// once, however many arrivals a line takes.
  bool findLineEnd(evbuffer *buf);
  /// Closes the connection and calls OnClosed.
  void closeAndNotify();

  kernel::EventLoop &Loop;
  bufferevent *Raw = nullptr;
  LineHandlers Handlers;
  std::size_t LineLimit = MaxLineBytes;
  /// Zero if the number of lines is not limited.
  std::size_t LinesPerTurn = 0;
  bool Paused = false;
  /// Buffered lines wait for the next turn.
  bool LinesWait = false;
  kernel::Timer Continuation;
  /// The number of buffered bytes that are known to contain no line end.
  std::size_t Searched = 0;
};

/// Listens on an endpoint and accepts TCP connections, a bounded number in each
/// turn of the event loop.
class Listener {
public:
  /// Called with the socket of each accepted connection. The handler owns the
  /// socket and must close it.
  using AcceptHandler = std::function<void(int fd)>;
  explicit Listener(kernel::EventLoop &loop) : Loop(loop) {}
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  /// Starts listening. Fails with InvalidSettings if \p endpoint cannot be
  /// bound.
  base::Result<void> listen(const http::Endpoint &endpoint,
                            AcceptHandler handler);
  void stop();

private:
  void accept(int fd);

  kernel::EventLoop &Loop;
  evconnlistener *Raw = nullptr;
  AcceptHandler OnAccept;
  /// The number of connections accepted since the listener was last enabled.
  int AcceptedInTurn = 0;
  kernel::Timer NextTurn;
};

} // namespace baobabpin::net
