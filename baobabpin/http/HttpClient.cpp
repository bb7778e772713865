#include "baobabpin/http/HttpClient.h"

#include "baobabpin/kernel/Guard.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace baobabpin::http {

using kernel::EventLoop;
using kernel::Timer;

namespace {

std::optional<in_addr> parseIpv4(const std::string &text) {
  in_addr address{};
  if (inet_pton(AF_INET, text.c_str(), &address) != 1)
    return std::nullopt;
  return address;
}

} // namespace

Endpoint parseEndpoint(const std::string &text) {
  auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0)
    return {};
  Endpoint endpoint{text.substr(0, colon), 0};
  const char *end = text.data() + text.size();
  auto [ptr, ec] = std::from_chars(text.data() + colon + 1, end, endpoint.Port);
  if (ec != std::errc() || ptr != end || endpoint.Port == 0 ||
      !parseIpv4(endpoint.Address))
    return {};
  return endpoint;
}

bool isReachable(const Endpoint &endpoint) {
  auto address = parseIpv4(endpoint.Address);
  return address && address->s_addr != INADDR_ANY && endpoint.Port != 0;
}

std::string formatEndpoint(const Endpoint &endpoint) {
  return endpoint.Address + ":" + std::to_string(endpoint.Port);
}

std::string headerOf(const HttpReply &reply, const char *name) {
  auto it = std::ranges::find_if(reply.Headers, [name](const HttpHeader &it) {
    return strcasecmp(it.Name.c_str(), name) == 0;
  });
  return it == reply.Headers.end() ? std::string() : it->Value;
}

namespace {

/// Returns the headers of the reply to \p request.
HttpHeaders headersOf(evhttp_request *request) {
  HttpHeaders headers;
  const auto *list = evhttp_request_get_input_headers(request);
  for (const auto *it = list->tqh_first; it; it = it->next.tqe_next)
    headers.push_back({it->key, it->value});
  return headers;
}

using RateLimitPtr =
    std::unique_ptr<ev_token_bucket_cfg, decltype(&ev_token_bucket_cfg_free)>;

/// Returns a limit for reading, shared out every 10 ms, or null for no limit.
RateLimitPtr makeReadLimit(std::int64_t bytesPerSecond) {
  RateLimitPtr limit(nullptr, &ev_token_bucket_cfg_free);
  if (bytesPerSecond <= 0)
    return limit;
  constexpr timeval Tick{0, 10'000};
  constexpr std::int64_t TicksPerSecond = 100;
  auto perTick = static_cast<std::size_t>(
      std::max<std::int64_t>(1, bytesPerSecond / TicksPerSecond));
  limit.reset(ev_token_bucket_cfg_new(perTick, perTick, EV_RATE_LIMIT_MAX,
                                      EV_RATE_LIMIT_MAX, &Tick));
  return limit;
}

} // namespace

struct HttpConnection::State {
  State(EventLoop &loop, Endpoint target, std::string localAddress)
      : Loop(loop), Target(std::move(target)),
        LocalAddress(std::move(localAddress)) {}

  EventLoop &Loop;
  Endpoint Target;
  std::string LocalAddress;
  evhttp_connection *Connection = nullptr;
  evhttp_request *Request = nullptr;
  ReplyCallback Callback;
  /// Ends a request of which no byte has arrived for ReplyLimits::Silence.
  Timer SilenceTimer;
  /// Ends a request after ReplyLimits::Total.
  Timer TotalTimer;
  ReplyLimits Limits;
  RateLimitPtr ReadLimit{nullptr, &ev_token_bucket_cfg_free};
  /// The part of the reply's body that has arrived.
  std::string Received;
  /// evhttp_make_request() is running. If it cannot create a socket, it reports
  /// the failure through the request's callback before it returns.
  bool Sending = false;
  bool FailedWhileSending = false;
  /// Set when libevent reports that the connection was closed.
  bool Closed = false;

  void connect();
  /// Cancels the request in flight and closes the connection.
  void closeConnection();
  /// Whether the TCP connection has been established.
  bool isConnected() const;
  void send(evhttp_cmd_type method, const std::string &path, std::string body,
            ReplyLimits limits, ReplyCallback callback,
            const HttpHeaders &headers);
  /// Sets the rate limit of the connection for the next reply.
  void limitReading(std::int64_t bytesPerSecond);
  /// Starts the time without any byte of the reply again.
  void restartSilence();
  void onTimeout();
  void cancelTimers();
  void onReplyPart(evhttp_request *request);
  void finish(HttpReply reply);
  void onReply(evhttp_request *request);
};

void HttpConnection::State::connect() {
  Closed = false;
  Connection = evhttp_connection_base_new(Loop.base(), nullptr,
                                          Target.Address.c_str(), Target.Port);
  if (!LocalAddress.empty())
    evhttp_connection_set_local_address(Connection, LocalAddress.c_str());
  evhttp_connection_set_closecb(
      Connection,
      [](evhttp_connection *, void *arg) {
        static_cast<State *>(arg)->Closed = true;
      },
      this);
}

void HttpConnection::State::cancelTimers() {
  SilenceTimer.cancel();
  TotalTimer.cancel();
}

void HttpConnection::State::limitReading(std::int64_t bytesPerSecond) {
  RateLimitPtr limit = makeReadLimit(bytesPerSecond);
  if (!limit && !ReadLimit)
    return;
  bufferevent_set_rate_limit(evhttp_connection_get_bufferevent(Connection),
                             limit.get());
  ReadLimit = std::move(limit);
}

void HttpConnection::State::onTimeout() {
  finish({isConnected() ? Transfer::TimedOut : Transfer::NotSent, 0, {}});
}

void HttpConnection::State::restartSilence() {
  if (Limits.Silence < Limits.Total)
    SilenceTimer = Loop.runAfter(Limits.Silence, [this] { onTimeout(); });
}

void HttpConnection::State::closeConnection() {
  cancelTimers();
  // evhttp does not call the callback of a cancelled request.
  if (Request)
    evhttp_cancel_request(std::exchange(Request, nullptr));
  if (!Connection)
    return;
  limitReading(0);
  evhttp_connection *closing = std::exchange(Connection, nullptr);
  evhttp_connection_set_closecb(closing, nullptr, nullptr);
  // A callback of the connection may be running, so it is freed in the next
  // iteration of the loop.
  Loop.post([closing] { evhttp_connection_free(closing); });
}

bool HttpConnection::State::isConnected() const {
  if (!Connection)
    return false;
  auto fd = bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
  sockaddr_storage peer{};
  socklen_t n = sizeof peer;
  return fd >= 0 &&
         getpeername(fd, reinterpret_cast<sockaddr *>(&peer), &n) == 0;
}

void HttpConnection::State::send(evhttp_cmd_type method,
                                 const std::string &path, std::string body,
                                 ReplyLimits limits, ReplyCallback callback,
                                 const HttpHeaders &extra) {
  Callback = std::move(callback);
  Limits = limits;
  Received.clear();
  if (Connection && Closed)
    closeConnection();
  if (!Connection)
    connect();
  limitReading(limits.BytesPerSecond);
  Request = evhttp_request_new(
      [](evhttp_request *request, void *arg) {
        static_cast<State *>(arg)->onReply(request);
      },
      this);
  // evhttp removes each part of the body from the request after this callback.
  evhttp_request_set_chunked_cb(
      Request, [](evhttp_request *request, void *arg) {
        static_cast<State *>(arg)->onReplyPart(request);
      });
  auto *headers = evhttp_request_get_output_headers(Request);
  evhttp_add_header(headers, "Host", Target.Address.c_str());
  evhttp_add_header(headers, "Content-Type", "application/json");
  for (const auto &it : extra)
    evhttp_add_header(headers, it.Name.c_str(), it.Value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(Request), body.data(),
               body.size());
  restartSilence();
  TotalTimer = Loop.runAfter(limits.Total, [this] { onTimeout(); });
  Sending = true;
  bool accepted =
      evhttp_make_request(Connection, Request, method, path.c_str()) == 0;
  Sending = false;
  if (accepted && !std::exchange(FailedWhileSending, false)) {
    // Header and body are two small writes. With Nagle's algorithm, the second
    // one would wait 40 to 200 ms for a delayed acknowledgement.
    int one = 1;
    auto fd = bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return;
  }
  Request = nullptr;
  cancelTimers();
  TotalTimer = Loop.runAfter({}, [this] {
    finish({Transfer::NotSent, 0, {}});
  });
}

void HttpConnection::State::onReply(evhttp_request *request) {
  Request = nullptr;
  if (Sending) {
    FailedWhileSending = true;
    return;
  }
  // If connecting failed, evhttp passes a request with status 0. If the
  // connection was lost later, it passes no request.
  if (!request) {
    finish({Transfer::Broken, 0, {}});
    return;
  }
  int status = evhttp_request_get_response_code(request);
  if (status == 0) {
    finish({Transfer::NotSent, 0, {}});
    return;
  }
  onReplyPart(request);
  finish(
      {Transfer::Completed, status, std::move(Received), headersOf(request)});
}

void HttpConnection::State::onReplyPart(evhttp_request *request) {
  evbuffer *part = evhttp_request_get_input_buffer(request);
  std::size_t old = Received.size();
  Received.resize(old + evbuffer_get_length(part));
  evbuffer_remove(part, Received.data() + old, Received.size() - old);
  restartSilence();
}

void HttpConnection::State::finish(HttpReply reply) {
  cancelTimers();
  // The reply to a failed request may still arrive on its connection and must
  // not be taken for the reply to the next request. The connection is not
  // reused.
  if (reply.Result != Transfer::Completed)
    closeConnection();
  auto callback = std::exchange(Callback, nullptr);
  kernel::runGuarded("http_reply", [&] { callback(std::move(reply)); });
}

HttpConnection::HttpConnection(EventLoop &loop, Endpoint endpoint,
                               std::string localAddress)
    : Impl(std::make_unique<State>(loop, std::move(endpoint),
                                   std::move(localAddress))) {}

HttpConnection::~HttpConnection() { Impl->closeConnection(); }

void HttpConnection::post(const std::string &path, std::string body,
                          base::Duration timeout, ReplyCallback callback,
                          const HttpHeaders &headers) {
  Impl->send(EVHTTP_REQ_POST, path, std::move(body), {timeout, timeout},
             std::move(callback), headers);
}

void HttpConnection::post(const std::string &path, std::string body,
                          ReplyLimits limits, ReplyCallback callback) {
  Impl->send(EVHTTP_REQ_POST, path, std::move(body), limits,
             std::move(callback), {});
}

void HttpConnection::get(const std::string &path, base::Duration timeout,
                         ReplyCallback callback) {
  Impl->send(EVHTTP_REQ_GET, path, {}, {timeout, timeout}, std::move(callback),
             {});
}

void HttpConnection::disconnect() {
  Impl->closeConnection();
  Impl->Callback = nullptr;
}

bool HttpConnection::isBusy() const { return Impl->Callback != nullptr; }

const Endpoint &HttpConnection::endpoint() const { return Impl->Target; }

} // namespace baobabpin::http
