#include "baobabpin/pooling/ServerConnection.h"

#include <utility>

namespace baobabpin::pooling {
namespace {

/// A healthy server accepts a connection within this time, which covers the
/// cost of opening a connection and the wait in the server's queue.
constexpr std::chrono::milliseconds OpenTimeout{700};

} // namespace

std::shared_ptr<ServerConnection>
ServerConnection::open(kernel::EventLoop &loop, const http::Endpoint &endpoint,
                       const std::string &group,
                       const base::OrganisationName &organisation,
                       const std::string &server, OpenCallback callback) {
  std::shared_ptr<ServerConnection> it(new ServerConnection);
  it->Organisation = organisation;
  it->OnOpen = std::move(callback);
  it->Connection = net::LineConnection::connect(
      loop, endpoint,
      net::makeWeakHandlers(it, &ServerConnection::onLine,
                            &ServerConnection::onClosed));
  it->Connection->send(platform::formatConnect(group, organisation, server));
  it->OpenDeadline = loop.runAfter(OpenTimeout, [weak = std::weak_ptr(it)] {
    if (auto self = weak.lock())
      self->onClosed();
  });
  return it;
}

ServerConnection::~ServerConnection() {
  if (Connection)
    Connection->close();
}

void ServerConnection::run(const std::string &lines, std::size_t count,
                           BatchCallback callback) {
  Current = Phase::Running;
  Expected = count;
  Replies.clear();
  OnBatch = std::move(callback);
  SentAt = base::BootClock::now();
  if (Transaction == sql::TransactionState::Open && OnResumed)
    OnResumed(SentAt - IdleSince);
  Connection->send(lines);
}

void ServerConnection::close() { onClosed(); }

void ServerConnection::discardReplies() { OnBatch = nullptr; }

void ServerConnection::onLine(std::string_view line) {
  auto self = shared_from_this();
  if (Current == Phase::Connecting) {
    // The reply to the opening message is READY or ERROR, without rows.
    auto progress = Parser.add(line);
    if (progress == platform::ReplyParser::Progress::Done) {
      finishOpen(std::nullopt);
      return;
    }
    if (line.starts_with("ERROR ")) {
      (void)Parser.add("READY I -");
      finishOpen(Parser.take().Error);
    }
    return;
  }
  if (Current != Phase::Running) {
    // No statement is in flight, so replies can no longer be matched to
    // statements.
    onClosed();
    return;
  }
  switch (Parser.add(line)) {
  case platform::ReplyParser::Progress::More:
    return;
  case platform::ReplyParser::Progress::Broken:
    onClosed();
    return;
  case platform::ReplyParser::Progress::Done:
    break;
  }
  Replies.push_back(Parser.take());
  Transaction = Replies.back().State;
  if (Replies.size() == Expected)
    finishBatch();
}

void ServerConnection::finishOpen(std::optional<sql::ErrorCode> error) {
  OpenDeadline.cancel();
  if (error) {
    Current = Phase::Closed;
    Connection->close();
  } else {
    (void)Parser.take();
    Current = Phase::Idle;
    IdleSince = base::BootClock::now();
  }
  if (auto callback = std::exchange(OnOpen, nullptr))
    callback(error);
}

void ServerConnection::finishBatch() {
  Current = Phase::Idle;
  IdleSince = base::BootClock::now();
  if (auto callback = std::exchange(OnBatch, nullptr))
    callback(std::move(Replies));
  else if (OnSettled)
    OnSettled();
}

void ServerConnection::onClosed() {
  if (Current == Phase::Closed)
    return;
  auto self = shared_from_this();
  OpenDeadline.cancel();
  Connection->close();
  Phase before = std::exchange(Current, Phase::Closed);
  if (before == Phase::Connecting) {
    if (auto callback = std::exchange(OnOpen, nullptr))
      callback(sql::ErrorCode::Failed);
    return;
  }
  if (before == Phase::Running && OnBatch) {
    sql::Reply lost;
    lost.Lost = true;
    Replies.push_back(std::move(lost));
    auto callback = std::exchange(OnBatch, nullptr);
    callback(std::move(Replies));
    return;
  }
  if (OnSettled)
    OnSettled();
}

} // namespace baobabpin::pooling
