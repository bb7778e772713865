#include "baobabpin/net/LineConnection.h"

#include "baobabpin/kernel/Guard.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <optional>
#include <utility>

namespace baobabpin::net {
namespace {

/// If sent data is not acknowledged for this long, the peer is considered
/// unreachable and the operating system closes the connection
/// (TCP_USER_TIMEOUT).
constexpr std::chrono::milliseconds TcpUserTimeout{6000};
constexpr int ListenBacklog = 512;
/// The number of connections that a listener accepts in one turn of the event
/// loop.
constexpr int AcceptsPerTurn = 16;
/// CR and LF.
constexpr std::size_t LineEndBytes = 2;

/// Returns nothing if the endpoint's address is not an IPv4 address.
std::optional<sockaddr_in> makeAddress(const http::Endpoint &endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.Port);
  if (inet_pton(AF_INET, endpoint.Address.c_str(), &address.sin_addr) != 1)
    return std::nullopt;
  return address;
}

void configureSocket(int fd) {
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  auto timeout = static_cast<unsigned>(TcpUserTimeout.count());
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

} // namespace

std::shared_ptr<LineConnection>
LineConnection::connect(kernel::EventLoop &loop, const http::Endpoint &endpoint,
                        LineHandlers handlers) {
  std::shared_ptr<LineConnection> connection(new LineConnection(loop));
  auto *raw = bufferevent_socket_new(
      loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  connection->attach(raw, std::move(handlers));
  auto address = makeAddress(endpoint);
  if (!address) {
    bufferevent_trigger_event(raw, BEV_EVENT_ERROR, BEV_TRIG_DEFER_CALLBACKS);
    return connection;
  }
  bufferevent_socket_connect(raw, reinterpret_cast<sockaddr *>(&*address),
                             sizeof *address);
  if (int fd = bufferevent_getfd(raw); fd >= 0)
    configureSocket(fd);
  return connection;
}

std::shared_ptr<LineConnection> LineConnection::adopt(kernel::EventLoop &loop,
                                                      int fd,
                                                      LineHandlers handlers,
                                                      std::size_t lineLimit) {
  std::shared_ptr<LineConnection> connection(new LineConnection(loop));
  connection->LineLimit = lineLimit;
  configureSocket(fd);
  auto *raw = bufferevent_socket_new(
      loop.base(), fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  connection->attach(raw, std::move(handlers));
  return connection;
}

void LineConnection::attach(bufferevent *raw, LineHandlers handlers) {
  Raw = raw;
  Handlers = std::move(handlers);
  bufferevent_setcb(
      raw,
      [](bufferevent *, void *arg) {
        static_cast<LineConnection *>(arg)->shared_from_this()->readLines();
      },
      nullptr,
      [](bufferevent *, short what, void *arg) {
        auto self = static_cast<LineConnection *>(arg)->shared_from_this();
        if (what & BEV_EVENT_CONNECTED)
          return;
        // The data that was received before the end may contain complete lines.
        self->LinesPerTurn = 0;
        self->readLines();
        self->closeAndNotify();
      },
      this);
  setLineLimit(LineLimit);
  bufferevent_enable(raw, EV_READ | EV_WRITE);
}

void LineConnection::setLineLimit(std::size_t bytes) {
  LineLimit = bytes;
  bufferevent_setwatermark(Raw, EV_READ, 0, bytes + LineEndBytes);
}

LineConnection::~LineConnection() { close(); }

void LineConnection::pauseReading() {
  if (!Raw || std::exchange(Paused, true))
    return;
  bufferevent_disable(Raw, EV_READ);
}

void LineConnection::resumeReading(std::size_t lineLimit) {
  if (!Raw)
    return;
  setLineLimit(lineLimit);
  if (!std::exchange(Paused, false))
    return;
  LinesWait = false;
  bufferevent_enable(Raw, EV_READ);
  continueReading();
}

void LineConnection::limitReading(std::size_t bytes, std::size_t lines) {
  if (Raw)
    bufferevent_set_max_single_read(Raw, bytes);
  LinesPerTurn = lines;
}

void LineConnection::continueReading() {
  Continuation = Loop.runAfter({}, [weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->readLines();
  });
}

void LineConnection::send(std::string_view data) {
  if (Raw)
    bufferevent_write(Raw, data.data(), data.size());
}

void LineConnection::close() {
  Continuation.cancel();
  if (Raw)
    bufferevent_free(std::exchange(Raw, nullptr));
}

void LineConnection::closeAfterSending() {
  if (!Raw)
    return;
  if (pendingBytes() == 0) {
    close();
    return;
  }
  pauseReading();
  Continuation.cancel();
  bufferevent_setcb(
      Raw, nullptr,
      [](bufferevent *, void *arg) {
        static_cast<LineConnection *>(arg)->shared_from_this()->close();
      },
      [](bufferevent *, short, void *arg) {
        static_cast<LineConnection *>(arg)->shared_from_this()->close();
      },
      this);
}

std::size_t LineConnection::pendingBytes() const {
  return Raw ? evbuffer_get_length(bufferevent_get_output(Raw)) : 0;
}

void LineConnection::readLines() {
  std::size_t passedOn = 0;
  while (Raw && !Paused) {
    evbuffer *buf = bufferevent_get_input(Raw);
    if (!findLineEnd(buf)) {
      // The last byte may be the first one of the line end.
      if (evbuffer_get_length(buf) > LineLimit + 1)
        closeAndNotify();
      else if (std::exchange(LinesWait, false))
        bufferevent_enable(Raw, EV_READ);
      return;
    }
    if (LinesPerTurn != 0 && passedOn == LinesPerTurn) {
      if (!std::exchange(LinesWait, true))
        bufferevent_disable(Raw, EV_READ);
      continueReading();
      return;
    }
    ++passedOn;
    std::size_t n = 0;
    char *line = evbuffer_readln(buf, &n, EVBUFFER_EOL_CRLF_STRICT);
    Searched = 0;
    if (!line)
      return;
    std::unique_ptr<char, decltype(&free)> holder(line, &free);
    if (n > LineLimit) {
      closeAndNotify();
      return;
    }
    bool handled = kernel::runGuarded("line_handler", [&] {
      if (Handlers.OnLine)
        Handlers.OnLine(std::string_view(line, n));
    });
    if (!handled)
      closeAndNotify();
  }
}

bool LineConnection::findLineEnd(evbuffer *buf) {
  evbuffer_ptr from;
  if (evbuffer_ptr_set(buf, &from, Searched, EVBUFFER_PTR_SET) != 0)
    return false;
  if (evbuffer_search_eol(buf, &from, nullptr, EVBUFFER_EOL_CRLF_STRICT).pos >=
      0)
    return true;
  // The last byte may be the first one of a line end.
  std::size_t size = evbuffer_get_length(buf);
  Searched = size == 0 ? 0 : size - 1;
  return false;
}

void LineConnection::closeAndNotify() {
  if (!Raw)
    return;
  close();
  if (Handlers.OnClosed)
    kernel::runGuarded("line_closed", Handlers.OnClosed);
}

Listener::~Listener() { stop(); }

base::Result<void> Listener::listen(const http::Endpoint &endpoint,
                                    AcceptHandler handler) {
  OnAccept = std::move(handler);
  auto address = makeAddress(endpoint);
  if (!address)
    return base::fail(base::ErrorType::InvalidSettings,
                      "cannot listen on " + http::formatEndpoint(endpoint) +
                          ": not an IPv4 address");
  Raw = evconnlistener_new_bind(
      Loop.base(),
      [](evconnlistener *, evutil_socket_t fd, sockaddr *, int, void *arg) {
        static_cast<Listener *>(arg)->accept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, ListenBacklog,
      reinterpret_cast<sockaddr *>(&*address), sizeof *address);
  if (!Raw)
    return base::fail(base::ErrorType::InvalidSettings,
                      "cannot listen on " + http::formatEndpoint(endpoint));
  return {};
}

void Listener::accept(int fd) {
  if (++AcceptedInTurn >= AcceptsPerTurn) {
    evconnlistener_disable(Raw);
    NextTurn = Loop.runAfter({}, [this] {
      AcceptedInTurn = 0;
      evconnlistener_enable(Raw);
    });
  }
  kernel::runGuarded("accept", [&] { OnAccept(fd); });
}

void Listener::stop() {
  NextTurn.cancel();
  if (Raw)
    evconnlistener_free(std::exchange(Raw, nullptr));
}

} // namespace baobabpin::net
