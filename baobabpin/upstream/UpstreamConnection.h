/// One database connection to an upstream server.
///
/// \code
///   UpstreamConnection c(loop, endpoint, localAddress);
///   c.call(StatusRequest{}, 200ms, [](Answer answer) { ... });
/// \endcode
#pragma once

#include "baobabpin/http/HttpClient.h"
#include "baobabpin/kernel/EventLoop.h"
#include "baobabpin/upstream/Messages.h"

#include <cstdint>
#include <functional>
#include <string>

namespace baobabpin::upstream {

using AnswerCallback = std::function<void(Answer)>;

/// One call is in flight at a time. Each call has its own identifier; an answer
/// with another one, a timeout or a broken answer ends the TCP connection, and
/// the next call opens a new one.
class UpstreamConnection {
public:
  UpstreamConnection(kernel::EventLoop &loop, http::Endpoint endpoint,
                     std::string localAddress = {});

  /// The callback runs once, later; it may destroy this connection.
  template <typename Request>
  void call(const Request &request, base::Duration timeout,
            const AnswerCallback &callback) {
    std::uint64_t id = NextId++;
    send(id, pathOf(request), encode(id, request), timeout, callback);
  }

  bool isBusy() const { return Connection.isBusy(); }
  /// Closes the TCP connection; the server rolls back its open transaction.
  void disconnect() { Connection.disconnect(); }

private:
  void send(std::uint64_t id, const std::string &path, std::string body,
            base::Duration timeout, AnswerCallback callback);

  http::HttpConnection Connection;
  std::uint64_t NextId = 1;
};

} // namespace baobabpin::upstream
