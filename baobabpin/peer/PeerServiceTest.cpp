#include "baobabpin/peer/PeerService.h"

#include <doctest/doctest.h>

namespace baobabpin::peer {
namespace {

using namespace std::chrono_literals;

bool startsAll(kernel::Kernel &kernel) {
  return base::handleFailure(
      [&]() -> base::Result<bool> {
        BOOST_LEAF_CHECK(kernel.startAll());
        return true;
      },
      [](const base::Failure &) { return false; });
}

PeerService &addPeer(kernel::Kernel &kernel) {
  auto service =
      std::make_unique<PeerService>(PeerSettings{{"127.0.0.1", 0}, 50ms});
  PeerService &peer = *service;
  kernel.add(std::move(service));
  return peer;
}

TEST_CASE("a forwarded request ends as Answered, NotSent or Lost") {
  kernel::Kernel kernel("test");
  PeerService &peer = addPeer(kernel);
  std::vector<std::pair<proto::ForwardRequest, ReplyCallback>> received;
  std::function<void()> onReceived = [] {};
  peer.setForwardHandler(
      [&](const proto::ForwardRequest &request, ReplyCallback reply) {
        received.emplace_back(request, std::move(reply));
        onReceived();
      });
  REQUIRE(startsAll(kernel));
  std::string self = http::formatEndpoint(peer.endpoint());
  auto &loop = kernel.loop();

  SUBCASE("replies in another order are matched to their requests") {
    onReceived = [&] {
      if (received.size() < 2)
        return;
      for (auto it = received.rbegin(); it != received.rend(); ++it) {
        proto::ForwardReply reply;
        reply.set_result("re " + it->first.statement());
        it->second(reply);
      }
    };
    std::vector<std::string> results(2);
    int n = 0;
    for (std::size_t i = 0; i < 2; ++i) {
      proto::ForwardRequest request;
      request.set_statement(std::to_string(i));
      peer.forward(self, request, [&, i](ForwardResult result) {
        results[i] = result.Reply.result();
        if (++n == 2)
          loop.stop();
      });
    }
    loop.run();
    CHECK(results == std::vector<std::string>{"re 0", "re 1"});
  }
  SUBCASE("a slow statement does not close the stream") {
    kernel::Timer later;
    onReceived = [&] {
      later = loop.runAfter(300ms, [&] { received[0].second({}); });
    };
    ForwardOutcome outcome = ForwardOutcome::Lost;
    peer.forward(self, {}, [&](ForwardResult result) {
      outcome = result.Outcome;
      loop.stop();
    });
    loop.run();
    CHECK(outcome == ForwardOutcome::Answered);
  }
  SUBCASE("a request to an unreachable node ends as NotSent") {
    ForwardOutcome outcome = ForwardOutcome::Answered;
    peer.forward("127.0.0.1:1", {}, [&](ForwardResult result) {
      outcome = result.Outcome;
      loop.stop();
    });
    loop.run();
    CHECK(outcome == ForwardOutcome::NotSent);
  }
  SUBCASE("a request in flight to a node that stops ends as Lost") {
    kernel::Kernel other("other");
    PeerService &target = addPeer(other);
    bool arrived = false;
    target.setForwardHandler(
        [&](const proto::ForwardRequest &, const ReplyCallback &) {
          arrived = true;
          other.loop().stop();
        });
    REQUIRE(startsAll(other));
    ForwardOutcome outcome = ForwardOutcome::Answered;
    peer.forward(http::formatEndpoint(target.endpoint()), {},
                 [&](ForwardResult result) {
                   outcome = result.Outcome;
                   loop.stop();
                 });
    // Both event loops run in this thread; the timer lets the other loop run in
    // between.
    kernel::Timer turn = loop.runEvery(20ms, [&] {
      kernel::Timer back =
          other.loop().runAfter(5ms, [&] { other.loop().stop(); });
      other.loop().run();
      if (arrived)
        other.stopAll();
    });
    loop.run();
    CHECK(arrived);
    CHECK(outcome == ForwardOutcome::Lost);
  }
}

} // namespace
} // namespace baobabpin::peer
