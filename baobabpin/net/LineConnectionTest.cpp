#include "baobabpin/net/LineConnection.h"

#include <doctest/doctest.h>

#include <string>

namespace baobabpin::net {
namespace {

using namespace std::chrono_literals;

TEST_CASE("an address that is not an IP address is not connected to") {
  // Guards against connections to this host: an address that cannot be
  // converted would be 0.0.0.0.
  kernel::EventLoop loop;
  int accepted = 0;
  Listener listener(loop);
  std::uint16_t port = 0;
  for (port = 20500; port < 20600; ++port) {
    bool listening = base::handleFailure(
        [&]() -> base::Result<bool> {
          BOOST_LEAF_CHECK(listener.listen({"127.0.0.1", port}, [&](int fd) {
            ++accepted;
            auto connection = LineConnection::adopt(loop, fd, {});
            connection->close();
          }));
          return true;
        },
        [](const base::Failure &) { return false; });
    if (listening)
      break;
  }
  for (const char *address : {"300.1.2.3", "localhost", "[::1]", "", "1.2.3"}) {
    CAPTURE(std::string(address));
    bool closed = false;
    LineHandlers handlers;
    handlers.OnClosed = [&] {
      closed = true;
      loop.stop();
    };
    auto connection =
        LineConnection::connect(loop, {address, port}, std::move(handlers));
    auto limit = loop.runAfter(500ms, [&] { loop.stop(); });
    loop.run();
    CHECK(closed);
  }
  CHECK(accepted == 0);
  bool refused = base::handleFailure(
      [&]() -> base::Result<bool> {
        Listener other(loop);
        BOOST_LEAF_CHECK(other.listen({"300.1.2.3", 1}, [](int) {}));
        return false;
      },
      [](const base::Failure &) { return true; });
  CHECK(refused);
}

} // namespace
} // namespace baobabpin::net
