/// HTTP/1.1 server based on libevent.
///
/// \code
///   HttpServer server(loop);
///   server.handle("/v1/get", [](HttpRequest request, ResponderPtr responder) {
///     responder->json(200, body); // now or later
///   });
///   BOOST_LEAF_CHECK(server.listen({"127.0.0.1", 8080}));
/// \endcode
#pragma once

#include "baobabpin/base/Errors.h"
#include "baobabpin/http/HttpClient.h"
#include "baobabpin/kernel/EventLoop.h"

#include <functional>
#include <memory>
#include <string>

namespace baobabpin::http {

struct HttpRequest {
  std::string Path;
  /// The part after the question mark, still percent-encoded; empty if there is
  /// none.
  std::string Query;
  std::string Body;
  /// Number of the TCP connection, the same for all requests on the connection.
  std::uint64_t Connection = 0;
};

/// Sends the reply to one request. Only the first call of respond(), json() or
/// abort() has an effect, and none has after the connection was closed. If the
/// responder is destroyed before a reply, the connection is closed.
class Responder {
public:
  virtual ~Responder() = default;
  /// Sends a reply, with \p headers besides the usual ones.
  virtual void respond(int status, const std::string &contentType,
                       const std::string &body, const HttpHeaders &headers) = 0;
  void respond(int status, const std::string &contentType,
               const std::string &body) {
    respond(status, contentType, body, {});
  }
  /// Closes the connection without a reply.
  virtual void abort() = 0;
  /// Sends a reply with a JSON body.
  void json(int status, const std::string &body,
            const HttpHeaders &headers = {}) {
    respond(status, "application/json", body, headers);
  }
};

using ResponderPtr = std::shared_ptr<Responder>;
using RequestHandler = std::function<void(HttpRequest, ResponderPtr)>;

class HttpServer {
public:
  explicit HttpServer(kernel::EventLoop &loop);
  /// Stops listening and closes all connections.
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Sets the handler of GET and POST requests to \p path. Requests to paths
  /// without a handler get status 404.
  void handle(const std::string &path, RequestHandler handler);
  /// Sets callbacks for connections. \p opened is called at the first request
  /// of a connection and \p closed when the connection closes.
  void onConnection(std::function<void(std::uint64_t connection)> opened,
                    std::function<void(std::uint64_t connection)> closed);
  /// Makes libevent reject bodies of more than \p bytes with status 413.
  void setMaxBody(std::size_t bytes);
  /// Closes the connection with this number.
  void close(std::uint64_t connection);
  /// Starts to listen on \p endpoint and returns the address that was bound.
  /// With port 0 the operating system chooses the port.
  base::Result<Endpoint> listen(const Endpoint &endpoint);
  /// Stops accepting connections. Open connections are not closed.
  void stopListening();
  /// Adds "Connection: close" to all replies from now on, so that clients
  /// connect to another server for their next request.
  void closeAfterReplies();
  /// Number of open connections that have received a request.
  std::size_t connectionCount() const;

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace baobabpin::http
