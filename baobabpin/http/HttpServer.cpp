#include "baobabpin/http/HttpServer.h"

#include "baobabpin/kernel/Guard.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>

#include <map>
#include <utility>

namespace baobabpin::http {

namespace {

/// Connections that are idle for longer are closed.
constexpr int IdleTimeoutSeconds = 3600;

} // namespace

struct HttpServer::State {
  struct Connection {
    /// Identifies the connection in requests and callbacks.
    std::uint64_t Number = 0;
    State *Owner = nullptr;
    evhttp_connection *Raw = nullptr;
    /// The request that has no reply yet, or null.
    evhttp_request *UnansweredRequest = nullptr;
  };

  class ConnectionResponder;

  evhttp *Server = nullptr;
  evhttp_bound_socket *Socket = nullptr;
  std::map<std::string, RequestHandler> Handlers;
  std::map<evhttp_connection *, std::shared_ptr<Connection>> Connections;
  std::uint64_t NextNumber = 1;
  bool ClosesAfterReplies = false;
  std::function<void(std::uint64_t)> OnOpened;
  std::function<void(std::uint64_t)> OnClosed;

  /// Returns the connection of \p request; adds it at its first request.
  std::shared_ptr<Connection> findOrAddConnection(evhttp_request *request);
  void dispatch(evhttp_request *request);
  static void onClose(evhttp_connection *raw, void *arg);
};

class HttpServer::State::ConnectionResponder : public Responder {
public:
  explicit ConnectionResponder(std::weak_ptr<Connection> connection)
      : Target(std::move(connection)) {}

  ~ConnectionResponder() override {
    // Otherwise the client would wait for a reply if a handler released the
    // responder without using it.
    abort();
  }

  using Responder::respond;
  void respond(int status, const std::string &contentType,
               const std::string &body, const HttpHeaders &extra) override {
    auto connection = Target.lock();
    evhttp_request *request = takeRequest();
    if (!request)
      return;
    auto *headers = evhttp_request_get_output_headers(request);
    if (connection->Owner->ClosesAfterReplies)
      evhttp_add_header(headers, "Connection", "close");
    evhttp_add_header(headers, "Content-Type", contentType.c_str());
    for (const auto &it : extra)
      evhttp_add_header(headers, it.Name.c_str(), it.Value.c_str());
    evbuffer *buf = evhttp_request_get_output_buffer(request);
    evbuffer_add(buf, body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, nullptr);
  }

  void abort() override {
    auto connection = Target.lock();
    if (takeRequest())
      evhttp_connection_free(connection->Raw);
  }

private:
  /// Returns the request and detaches from the connection, or returns null if
  /// the request was replied to or the connection was closed.
  evhttp_request *takeRequest() {
    auto connection = std::exchange(Target, {}).lock();
    if (!connection)
      return nullptr;
    return std::exchange(connection->UnansweredRequest, nullptr);
  }

  std::weak_ptr<Connection> Target;
};

std::shared_ptr<HttpServer::State::Connection>
HttpServer::State::findOrAddConnection(evhttp_request *request) {
  evhttp_connection *raw = evhttp_request_get_connection(request);
  auto &entry = Connections[raw];
  if (!entry) {
    entry = std::make_shared<Connection>(
        Connection{NextNumber++, this, raw, nullptr});
    evhttp_connection_set_closecb(raw, onClose, entry.get());
    auto fd = bufferevent_getfd(evhttp_connection_get_bufferevent(raw));
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (OnOpened)
      OnOpened(entry->Number);
  }
  return entry;
}

void HttpServer::State::onClose(evhttp_connection *raw, void *arg) {
  auto *connection = static_cast<Connection *>(arg);
  State *owner = connection->Owner;
  auto number = connection->Number;
  connection->UnansweredRequest = nullptr;
  owner->Connections.erase(raw);
  if (owner->OnClosed)
    owner->OnClosed(number);
}

void HttpServer::State::dispatch(evhttp_request *request) {
  auto connection = findOrAddConnection(request);
  const auto *uri = evhttp_request_get_evhttp_uri(request);
  const char *path = evhttp_uri_get_path(uri);
  const char *query = evhttp_uri_get_query(uri);
  auto it = Handlers.find(path ? path : "");
  if (it == Handlers.end()) {
    evhttp_send_reply(request, 404, nullptr, nullptr);
    return;
  }
  connection->UnansweredRequest = request;
  HttpRequest received{it->first, query ? query : "", {}, connection->Number};
  evbuffer *body = evhttp_request_get_input_buffer(request);
  received.Body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, received.Body.data(), received.Body.size());
  auto responder = std::make_shared<ConnectionResponder>(connection);
  bool handled = kernel::runGuarded(
      "http_handler", [&] { it->second(std::move(received), responder); });
  if (!handled)
    responder->abort();
}

HttpServer::HttpServer(kernel::EventLoop &loop)
    : Impl(std::make_shared<State>()) {
  Impl->Server = evhttp_new(loop.base());
  evhttp_set_timeout(Impl->Server, IdleTimeoutSeconds);
  evhttp_set_allowed_methods(Impl->Server, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
  evhttp_set_gencb(
      Impl->Server,
      [](evhttp_request *request, void *arg) {
        static_cast<State *>(arg)->dispatch(request);
      },
      Impl.get());
}

HttpServer::~HttpServer() {
  Impl->OnClosed = nullptr;
  evhttp_free(Impl->Server);
}

void HttpServer::handle(const std::string &path, RequestHandler handler) {
  Impl->Handlers[path] = std::move(handler);
}

void HttpServer::onConnection(
    std::function<void(std::uint64_t connection)> opened,
    std::function<void(std::uint64_t connection)> closed) {
  Impl->OnOpened = std::move(opened);
  Impl->OnClosed = std::move(closed);
}

void HttpServer::setMaxBody(std::size_t bytes) {
  evhttp_set_max_body_size(Impl->Server, static_cast<ev_ssize_t>(bytes));
}

void HttpServer::close(std::uint64_t connection) {
  for (const auto &[raw, it] : Impl->Connections) {
    if (it->Number != connection)
      continue;
    evhttp_connection_free(raw);
    return;
  }
}

base::Result<Endpoint> HttpServer::listen(const Endpoint &endpoint) {
  Impl->Socket = evhttp_bind_socket_with_handle(
      Impl->Server, endpoint.Address.c_str(), endpoint.Port);
  if (!Impl->Socket)
    return base::fail(base::ErrorType::InvalidSettings,
                      "cannot listen on " + formatEndpoint(endpoint));
  sockaddr_in bound{};
  socklen_t n = sizeof bound;
  getsockname(evhttp_bound_socket_get_fd(Impl->Socket),
              reinterpret_cast<sockaddr *>(&bound), &n);
  return Endpoint{endpoint.Address, ntohs(bound.sin_port)};
}

void HttpServer::stopListening() {
  if (auto *socket = std::exchange(Impl->Socket, nullptr))
    evhttp_del_accept_socket(Impl->Server, socket);
}

void HttpServer::closeAfterReplies() { Impl->ClosesAfterReplies = true; }

std::size_t HttpServer::connectionCount() const {
  return Impl->Connections.size();
}

} // namespace baobabpin::http
