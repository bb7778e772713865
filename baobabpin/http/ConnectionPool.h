/// Connections to one endpoint that are used again when they are idle.
///
/// \code
///   ConnectionPool pool(loop, endpoint);
///   pool.idle()->get("/health", 200ms, onReply);
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
  ConnectionPool(kernel::EventLoop &loop, Endpoint endpoint,
                 std::size_t most = std::numeric_limits<std::size_t>::max());

  /// An idle connection, a new one if there is none; null when \p most
  /// connections are busy.
  HttpConnection *findOrCreateIdle();

private:
  kernel::EventLoop &Loop;
  Endpoint Target;
  std::size_t Most;
  std::vector<std::unique_ptr<HttpConnection>> Connections;
};

} // namespace baobabpin::http
