#include "baobabpin/relay/Channel.h"

#include <doctest/doctest.h>

#include <thread>

namespace baobabpin::relay {
namespace {

using namespace std::chrono_literals;

const http::Endpoint OwnerEndpoint{"127.0.0.1", 39471};

/// An owner that records requests and never replies.
struct SilentOwner {
  kernel::EventLoop Loop;
  net::Listener Socket{Loop};
  std::shared_ptr<net::LineConnection> Connection;
  std::vector<Request> Requests;

  SilentOwner() {
    bool listening = base::handleFailure(
        [&]() -> base::Result<bool> {
          BOOST_LEAF_CHECK(
              Socket.listen(OwnerEndpoint, [this](int fd) { accept(fd); }));
          return true;
        },
        [](const base::Failure &) { return false; });
    REQUIRE(listening);
  }

  void accept(int fd) {
    net::LineHandlers handlers;
    handlers.OnLine = [this](std::string_view line) {
      auto request = decodeRequest(line);
      REQUIRE(request);
      Requests.push_back(*request);
    };
    Connection = net::LineConnection::adopt(Loop, fd, std::move(handlers));
  }

  void runFor(base::Duration time) {
    auto end = Loop.runAfter(time, [this] { Loop.stop(); });
    Loop.run();
  }
};

TEST_CASE("cancel() tells the owner not to run an abandoned statement") {
  // Guards against queues that never drain: in an overload, owners ran
  // statements that the relaying nodes had already given up.
  SilentOwner owner;
  auto channel = Channel::open(owner.Loop, OwnerEndpoint);
  Request run;
  run.Kind = RequestKind::Run;
  auto sequence = channel->send(run, [](const std::optional<Reply> &) {});
  channel->cancel(sequence);
  owner.runFor(100ms);
  REQUIRE(owner.Requests.size() == 2);
  CHECK(owner.Requests.back().Kind == RequestKind::Cancel);
  CHECK(owner.Requests.back().Sequence == sequence);

  SUBCASE("cancelling a request that was never sent sends nothing") {
    channel->cancel(sequence + 1);
    owner.runFor(50ms);
    CHECK(owner.Requests.size() == 2);
  }
}

TEST_CASE("an owner that takes no statements is asked until it does again") {
  // Guards against an owner that is avoided for good, because only its replies
  // say that it takes statements, and none are sent to it.
  SilentOwner owner;
  auto channel = Channel::open(owner.Loop, OwnerEndpoint);
  auto reply = [&](bool leaving) {
    Reply it;
    it.Sequence = owner.Requests.back().Sequence;
    it.Leaving = leaving;
    owner.Connection->send(encode(it) + "\r\n");
    owner.runFor(50ms);
  };
  Request run;
  run.Kind = RequestKind::Run;
  channel->send(run, [](const std::optional<Reply> &) {});
  owner.runFor(50ms);
  reply(true);
  REQUIRE(channel->isLeaving());
  auto check = owner.Loop.runEvery(
      50ms, [&] { channel->checkLiveness(base::BootClock::now()); });
  owner.runFor(350ms);
  REQUIRE(owner.Requests.size() >= 2);
  CHECK(owner.Requests.back().Kind == RequestKind::Ping);
  reply(false);
  CHECK_FALSE(channel->isLeaving());
}

TEST_CASE("a channel is not closed because this node was late") {
  // Guards against a node that takes its own lateness for the silence of an
  // owner.
  SilentOwner owner;
  owner.Loop.measureLateness();
  auto channel = Channel::open(owner.Loop, OwnerEndpoint);
  Request run;
  run.Kind = RequestKind::Run;
  channel->send(run, [](const std::optional<Reply> &) {});
  owner.runFor(100ms);
  auto stall =
      owner.Loop.runAfter(0ms, [] { std::this_thread::sleep_for(700ms); });
  owner.runFor(10ms);
  channel->checkLiveness(base::BootClock::now());
  CHECK(channel->isOpen());
  // An owner that stays silent while the loop runs on time is still given up.
  owner.runFor(900ms);
  channel->checkLiveness(base::BootClock::now());
  CHECK_FALSE(channel->isOpen());
}

} // namespace
} // namespace baobabpin::relay
