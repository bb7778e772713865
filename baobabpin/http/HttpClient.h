/// One outgoing HTTP/1.1 connection on libevent's client, with one request in
/// flight at a time, so that an answer can only belong to the last request.
///
/// \code
///   HttpConnection c(loop, {"127.0.0.1", 8080});
///   c.post("/v1/get", body, 200ms, [](HttpReply reply) { ... });
/// \endcode
#pragma once

#include "baobabpin/base/Time.h"
#include "baobabpin/kernel/EventLoop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace baobabpin::http {

/// An IP number and a TCP port.
struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const Endpoint &) const = default;
};

/// "127.0.0.1:8080"; an empty address when \p text is not of that form.
Endpoint parseEndpoint(const std::string &text);
std::string formatEndpoint(const Endpoint &endpoint);

enum class Transfer {
  Completed, ///< Status and Body hold the whole answer.
  NotSent,   ///< The connection could not be made; nothing was sent.
  Broken,    ///< The connection broke after sending may have begun.
  TimedOut,  ///< No whole answer in time; sending may have begun.
};

struct HttpReply {
  Transfer Result = Transfer::Broken;
  int Status = 0; ///< HTTP status code, 0 unless Completed.
  std::string Body;
};

using ReplyCallback = std::function<void(HttpReply)>;

struct HttpHeader {
  std::string Name;
  std::string Value;
};
using HttpHeaders = std::vector<HttpHeader>;

class HttpConnection {
public:
  /// \p localAddress, when given, is the IP number to connect from.
  HttpConnection(kernel::EventLoop &loop, Endpoint endpoint,
                 std::string localAddress = {});
  /// Drops a request in flight; its callback is not called.
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// Sends a POST with a JSON body. Must not be called while isBusy(). The
  /// callback runs once, later, on the loop; it may destroy this connection.
  void post(const std::string &path, std::string body, base::Duration timeout,
            ReplyCallback callback, const HttpHeaders &headers = {});
  void get(const std::string &path, base::Duration timeout,
           ReplyCallback callback);
  bool isBusy() const;
  /// Closes the TCP connection; a request in flight gets no callback. The next
  /// request opens a new one.
  void disconnect();
  const Endpoint &endpoint() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace baobabpin::http
