#include "baobabpin/http/GatedPost.h"

#include "baobabpin/kernel/Guard.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include <arpa/inet.h>

#include <cstdlib>
#include <optional>
#include <string_view>
#include <utility>

namespace baobabpin::http {
namespace {

std::string format(const Endpoint &endpoint, const PostRequest &request) {
  std::string text = "POST " + request.Path + " HTTP/1.1\r\n";
  text += "Host: " + endpoint.Address + "\r\n";
  text += "Content-Type: application/json\r\n";
  text += "Content-Length: " + std::to_string(request.Body.size()) + "\r\n";
  text += "Connection: close\r\n";
  for (const auto &it : request.Headers)
    text += it.Name + ": " + it.Value + "\r\n";
  return text + "\r\n" + request.Body;
}

/// Returns the status of a line such as "HTTP/1.1 200 OK".
std::optional<int> parseStatusLine(std::string_view line) {
  auto space = line.find(' ');
  if (!line.starts_with("HTTP/1.") || space == std::string_view::npos)
    return std::nullopt;
  int status = std::atoi(std::string(line.substr(space + 1, 3)).c_str());
  return status >= 100 ? std::optional(status) : std::nullopt;
}

/// Makes close() discard what the operating system has not sent yet, and reset
/// the connection.
void resetOnClose(int fd) {
  linger discard{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
}

} // namespace

struct GatedPost::State {
  bufferevent *Connection = nullptr;
  std::string Text;
  Gate MayWrite;
  ReplyCallback Callback;
  bool Written = false;
  kernel::Timer Deadline;

  void onConnected();
  void onReadable();
  void end(HttpReply reply);
  /// Ends the request without a reply. \p result says why if a byte of the
  /// request was written.
  void endWith(Transfer result);
  void close();
};

GatedPost::GatedPost() : Impl(std::make_unique<State>()) {}

GatedPost::~GatedPost() { withdraw(); }

void GatedPost::withdraw() {
  Impl->Callback = nullptr;
  Impl->close();
}

bool GatedPost::isWritten() const { return Impl->Written; }

std::shared_ptr<GatedPost> GatedPost::start(kernel::EventLoop &loop,
                                            const Endpoint &endpoint,
                                            const PostRequest &request,
                                            base::Duration timeout, Gate gate,
                                            ReplyCallback callback) {
  std::shared_ptr<GatedPost> post(new GatedPost);
  State *state = post->Impl.get();
  state->Text = format(endpoint, request);
  state->MayWrite = std::move(gate);
  state->Callback = std::move(callback);
  std::weak_ptr<GatedPost> weak = post;
  // A callback may release the last reference to its request.
  auto endAfter = [weak, &loop](base::Duration delay) {
    return loop.runAfter(delay, [weak] {
      if (auto self = weak.lock())
        self->Impl->endWith(Transfer::TimedOut);
    });
  };
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.Port);
  bool valid =
      inet_pton(AF_INET, endpoint.Address.c_str(), &address.sin_addr) == 1;
  state->Connection =
      bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      state->Connection,
      [](bufferevent *, void *arg) {
        auto self = static_cast<GatedPost *>(arg)->shared_from_this();
        self->Impl->onReadable();
      },
      nullptr,
      [](bufferevent *, short what, void *arg) {
        auto self = static_cast<GatedPost *>(arg)->shared_from_this();
        if (what & BEV_EVENT_CONNECTED) {
          self->Impl->onConnected();
          return;
        }
        self->Impl->endWith(Transfer::Broken);
      },
      post.get());
  bool connecting =
      valid && bufferevent_socket_connect(
                   state->Connection, reinterpret_cast<sockaddr *>(&address),
                   sizeof address) == 0;
  state->Deadline = endAfter(connecting ? timeout : base::Duration{});
  return post;
}

void GatedPost::State::onConnected() {
  if (!MayWrite()) {
    endWith(Transfer::NotSent);
    return;
  }
  // The bufferevent would write in a later turn of the event loop. The request
  // is far smaller than the send buffer of a new connection.
  int fd = bufferevent_getfd(Connection);
  ssize_t n = ::send(fd, Text.data(), Text.size(), MSG_NOSIGNAL);
  Written = n > 0;
  if (std::cmp_not_equal(n, Text.size())) {
    endWith(Transfer::Broken);
    return;
  }
  bufferevent_enable(Connection, EV_READ);
}

void GatedPost::State::onReadable() {
  std::size_t n = 0;
  char *line =
      evbuffer_readln(bufferevent_get_input(Connection), &n, EVBUFFER_EOL_CRLF);
  if (!line)
    return;
  auto status = parseStatusLine(std::string_view(line, n));
  free(line);
  if (status)
    end({Transfer::Completed, *status, {}});
  else
    endWith(Transfer::Broken);
}

void GatedPost::State::end(HttpReply reply) {
  close();
  if (auto callback = std::exchange(Callback, nullptr))
    kernel::runGuarded("http_reply", [&] { callback(std::move(reply)); });
}

void GatedPost::State::endWith(Transfer result) {
  end({Written ? result : Transfer::NotSent, 0, {}});
}

void GatedPost::State::close() {
  Deadline.cancel();
  if (!Connection)
    return;
  if (int fd = bufferevent_getfd(Connection); fd >= 0)
    resetOnClose(fd);
  bufferevent_free(std::exchange(Connection, nullptr));
}

} // namespace baobabpin::http
