#include "baobabpin/http/HttpServer.h"

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

/// Idle callers keep their connection for this long.
constexpr int IdleTimeoutSeconds = 3600;

} // namespace

struct HttpServer::State {
  struct Connection {
    std::uint64_t Number = 0;
    State *Owner = nullptr;
    evhttp_connection *Raw = nullptr;
    evhttp_request *Pending = nullptr;
  };

  class PendingRequest;

  evhttp *Server = nullptr;
  evhttp_bound_socket *Socket = nullptr;
  std::map<std::string, RequestHandler> Handlers;
  std::map<evhttp_connection *, std::shared_ptr<Connection>> Connections;
  std::uint64_t NextNumber = 1;
  bool Closing = false;
  std::function<void(std::uint64_t)> Opened;
  std::function<void(std::uint64_t)> Closed;

  std::shared_ptr<Connection> connectionOf(evhttp_request *request);
  void dispatch(evhttp_request *request);
  static void onClose(evhttp_connection *raw, void *arg);
};

class HttpServer::State::PendingRequest : public Responder {
public:
  explicit PendingRequest(std::weak_ptr<Connection> connection)
      : Target(std::move(connection)) {}

  ~PendingRequest() override {
    // A handler that dropped the responder must not leave the caller waiting.
    abort();
  }

  void respond(int status, const std::string &contentType,
               const std::string &body) override {
    auto connection = Target.lock();
    evhttp_request *request = take();
    if (!request)
      return;
    auto *headers = evhttp_request_get_output_headers(request);
    if (connection->Owner->Closing)
      evhttp_add_header(headers, "Connection", "close");
    evhttp_add_header(headers, "Content-Type", contentType.c_str());
    evbuffer *buf = evhttp_request_get_output_buffer(request);
    evbuffer_add(buf, body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, nullptr);
  }

  void abort() override {
    auto connection = Target.lock();
    if (take())
      evhttp_connection_free(connection->Raw);
  }

private:
  evhttp_request *take() {
    auto connection = std::exchange(Target, {}).lock();
    if (!connection)
      return nullptr;
    return std::exchange(connection->Pending, nullptr);
  }

  std::weak_ptr<Connection> Target;
};

std::shared_ptr<HttpServer::State::Connection>
HttpServer::State::connectionOf(evhttp_request *request) {
  evhttp_connection *raw = evhttp_request_get_connection(request);
  auto &entry = Connections[raw];
  if (!entry) {
    entry = std::make_shared<Connection>(
        Connection{NextNumber++, this, raw, nullptr});
    evhttp_connection_set_closecb(raw, onClose, entry.get());
    auto fd = bufferevent_getfd(evhttp_connection_get_bufferevent(raw));
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (Opened)
      Opened(entry->Number);
  }
  return entry;
}

void HttpServer::State::onClose(evhttp_connection *raw, void *arg) {
  auto *connection = static_cast<Connection *>(arg);
  State *owner = connection->Owner;
  auto number = connection->Number;
  connection->Pending = nullptr;
  owner->Connections.erase(raw);
  if (owner->Closed)
    owner->Closed(number);
}

void HttpServer::State::dispatch(evhttp_request *request) {
  auto connection = connectionOf(request);
  const auto *uri = evhttp_request_get_evhttp_uri(request);
  const char *path = evhttp_uri_get_path(uri);
  const char *query = evhttp_uri_get_query(uri);
  auto it = Handlers.find(path ? path : "");
  if (it == Handlers.end()) {
    evhttp_send_reply(request, 404, nullptr, nullptr);
    return;
  }
  connection->Pending = request;
  HttpRequest received{it->first, query ? query : "", {}, connection->Number};
  evbuffer *body = evhttp_request_get_input_buffer(request);
  received.Body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, received.Body.data(), received.Body.size());
  it->second(std::move(received), std::make_shared<PendingRequest>(connection));
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
  Impl->Closed = nullptr;
  evhttp_free(Impl->Server);
}

void HttpServer::handle(const std::string &path, RequestHandler handler) {
  Impl->Handlers[path] = std::move(handler);
}

void HttpServer::onConnection(
    std::function<void(std::uint64_t connection)> opened,
    std::function<void(std::uint64_t connection)> closed) {
  Impl->Opened = std::move(opened);
  Impl->Closed = std::move(closed);
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

void HttpServer::closeAfterReplies() { Impl->Closing = true; }

std::size_t HttpServer::connectionCount() const {
  return Impl->Connections.size();
}

} // namespace baobabpin::http
