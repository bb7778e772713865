/// A client connection for HTTP/1.1, based on libevent. It has at most one
/// request in flight, so a reply always belongs to the last request.
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

/// An IP address and a TCP port.
struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const Endpoint &) const = default;
};

/// Parses text such as "127.0.0.1:8080". Returns an endpoint with an empty
/// address and port 0 if \p text does not have that form, or if its address is
/// not an IPv4 address.
Endpoint parseEndpoint(const std::string &text);
/// Whether a connection can be opened to \p endpoint: its address is the IPv4
/// address of a host, and its port is not 0.
bool isReachable(const Endpoint &endpoint);
/// Returns the endpoint as "ADDRESS:PORT".
std::string formatEndpoint(const Endpoint &endpoint);

/// The result of sending a request and receiving its reply.
enum class Transfer {
  Completed, ///< Status and Body contain the complete reply.
  NotSent,   ///< No connection was established; nothing was sent.
  Broken,    ///< The connection was lost; the request may have been sent.
  TimedOut,  ///< No complete reply arrived in time; the request may have been
             ///< sent.
};

struct HttpHeader {
  std::string Name;
  std::string Value;
};
using HttpHeaders = std::vector<HttpHeader>;

struct HttpReply {
  Transfer Result = Transfer::Broken;
  int Status = 0; ///< HTTP status code; 0 unless Result is Completed.
  std::string Body;
  HttpHeaders Headers = {};
};

/// Returns the value of the header \p name, whose case does not matter, or an
/// empty string if the reply does not have it.
std::string headerOf(const HttpReply &reply, const char *name);

using ReplyCallback = std::function<void(HttpReply)>;

/// How long to wait for a reply whose size is not known. A slow transfer
/// continues as long as bytes arrive.
struct ReplyLimits {
  /// The longest time without any byte of the reply.
  base::Duration Silence{};
  /// The longest time from sending the request to the end of the reply.
  base::Duration Total{};
  /// The rate at which the reply is read, so that it leaves a part of the link
  /// to other connections; 0 for no limit.
  std::int64_t BytesPerSecond = 0;
};

/// A connection that is opened by the first request and reused by later ones. A
/// request that does not complete closes it.
class HttpConnection {
public:
  /// If \p localAddress is not empty, it is the IP address to connect from.
  HttpConnection(kernel::EventLoop &loop, Endpoint endpoint,
                 std::string localAddress = {});
  /// Cancels a request in flight without calling its callback.
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// Sends a POST request with a JSON body. Must not be called while isBusy()
  /// is true. The callback is called once on the loop's thread, after this
  /// function has returned. It may destroy this connection.
  void post(const std::string &path, std::string body, base::Duration timeout,
            ReplyCallback callback, const HttpHeaders &headers = {});
  /// Sends a GET request under the same rules as post().
  void get(const std::string &path, base::Duration timeout,
           ReplyCallback callback);
  /// Sends a POST request under the same rules as post() above, with limits for
  /// a reply that may be large.
  void post(const std::string &path, std::string body, ReplyLimits limits,
            ReplyCallback callback);
  /// Whether a request is in flight.
  bool isBusy() const;
  /// Closes the TCP connection and cancels a request in flight without calling
  /// its callback. The next request opens a new connection.
  void disconnect();
  const Endpoint &endpoint() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace baobabpin::http
