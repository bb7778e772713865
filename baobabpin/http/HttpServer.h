/// HTTP/1.1 server on libevent.
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
  /// What follows the question mark, encoded; empty if there is none.
  std::string Query;
  std::string Body;
  /// Identifies the TCP connection; equal for all requests of one connection.
  std::uint64_t Connection = 0;
};

/// Answers one request, once. Answering after the connection closed does
/// nothing.
class Responder {
public:
  virtual ~Responder() = default;
  virtual void respond(int status, const std::string &contentType,
                       const std::string &body) = 0;
  /// Closes the connection without an answer.
  virtual void abort() = 0;
  void json(int status, const std::string &body) {
    respond(status, "application/json", body);
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

  /// Handles requests to \p path, any method. Other paths get status 404.
  void handle(const std::string &path, RequestHandler handler);
  /// Called with the connection's number when it opens and when it closes.
  void onConnection(std::function<void(std::uint64_t connection)> opened,
                    std::function<void(std::uint64_t connection)> closed);
  /// Bodies beyond \p bytes are refused with status 413 by libevent itself.
  void setMaxBody(std::size_t bytes);
  /// Closes one connection.
  void close(std::uint64_t connection);
  /// Binds; port 0 lets the system choose.
  base::Result<Endpoint> listen(const Endpoint &endpoint);
  /// Stops accepting connections; those that are open go on.
  void stopListening();
  /// From now on every answer asks its client to close the connection, so that
  /// clients move to another server between two requests.
  void closeAfterReplies();
  std::size_t connectionCount() const;

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace baobabpin::http
