/// Reuses idle connections to one endpoint.
///
/// \code
///   ConnectionPool pool(loop, endpoint);
///   pool.findOrCreateIdle()->get("/health", 200ms, onReply);
/// \endcode
#pragma once

#include "baobabpin/http/HttpClient.h"

#include <cstddef>
#include <limits>
#include <memory>
#include <vector>

namespace baobabpin::http {

class ConnectionPool {
public:
  /// The pool opens at most \p maxConnections connections.
  ConnectionPool(
      kernel::EventLoop &loop, Endpoint endpoint,
      std::size_t maxConnections = std::numeric_limits<std::size_t>::max());

  /// Returns an idle connection, or a new one if there is none. Returns null if
  /// all connections are busy and the pool may not open another one.
  HttpConnection *findOrCreateIdle();

private:
  kernel::EventLoop &Loop;
  Endpoint Target;
  std::size_t MaxConnections;
  std::vector<std::unique_ptr<HttpConnection>> Connections;
};

} // namespace baobabpin::http
