/// Connection to an upstream server, over which calls of the database protocol
/// are made.
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

/// Only one call may be in flight at a time. Each call has its own identifier.
/// An answer with another identifier, a malformed answer or a timeout closes
/// the TCP connection, and the next call opens a new one.
class UpstreamConnection {
public:
  UpstreamConnection(kernel::EventLoop &loop, http::Endpoint endpoint,
                     std::string localAddress = {});

  /// Sends a call. The callback runs at most once, after call() has returned,
  /// and may destroy this connection. It does not run if disconnect() is called
  /// or the connection is destroyed first.
  template <typename Request>
  void call(const Request &request, base::Duration timeout,
            const AnswerCallback &callback) {
    std::uint64_t id = NextId++;
    send(id, pathOf(request), encode(id, request), timeout, callback);
  }

  bool isBusy() const { return Connection.isBusy(); }
  /// Closes the TCP connection. The server then rolls back the transaction that
  /// is open on it.
  void disconnect() { Connection.disconnect(); }

private:
  void send(std::uint64_t id, const std::string &path, std::string body,
            base::Duration timeout, AnswerCallback callback);

  http::HttpConnection Connection;
  std::uint64_t NextId = 1;
};

} // namespace baobabpin::upstream
