/// A POST request that takes effect elsewhere, and that its sender may lose the
/// right to make while it waits for its connection.
///
/// The request is written in the same step in which its gate allows it: after
/// the connection is established, and not before. HttpConnection writes a
/// request whenever its connection is ready, which may be seconds after post().
///
/// What is written cannot be taken back. withdraw() resets the connection, so
/// that the operating system discards what it has not sent yet; anything else
/// may still reach the server.
///
/// \code
///   auto post = GatedPost::start(
///       loop, endpoint, {"/promotions", body, headers}, 1500ms,
///       [this] { return holdsToken(); },
///       [](HttpReply reply) { ... });
/// \endcode
#pragma once

#include "baobabpin/base/Time.h"
#include "baobabpin/http/HttpClient.h"
#include "baobabpin/kernel/EventLoop.h"

#include <functional>
#include <memory>
#include <string>

namespace baobabpin::http {

struct PostRequest {
  std::string Path;
  std::string Body;
  HttpHeaders Headers;
};

class GatedPost : public std::enable_shared_from_this<GatedPost> {
public:
  /// Returns whether the request may be written now.
  using Gate = std::function<bool()>;

  /// Connects to \p endpoint and writes \p request if \p gate allows it when
  /// the connection is established. The callback is called once on the loop's
  /// thread, after this function has returned, unless the request is withdrawn
  /// first. The reply has a status and no body. Its result is NotSent if
  /// nothing was written within \p timeout or the gate refused, and never
  /// NotSent if a byte was written.
  static std::shared_ptr<GatedPost> start(kernel::EventLoop &loop,
                                          const Endpoint &endpoint,
                                          const PostRequest &request,
                                          base::Duration timeout, Gate gate,
                                          ReplyCallback callback);
  /// Withdraws a request that has not ended.
  ~GatedPost();
  GatedPost(const GatedPost &) = delete;
  GatedPost &operator=(const GatedPost &) = delete;

  /// Resets the connection. The callback will not be called. Does nothing after
  /// the request has ended.
  void withdraw();
  /// Whether any byte of the request was written.
  bool isWritten() const;

private:
  GatedPost();
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace baobabpin::http
