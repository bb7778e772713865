#include "baobabpin/net/LineConnection.h"

#include <doctest/doctest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

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

TEST_CASE("a long line without an end takes time in proportion to its length") {
  // Guards against peers that keep the event loop busy: the search for the line
  // end began anew at each arrival.
  kernel::EventLoop loop;
  constexpr int Peers = 16;
  constexpr std::size_t PieceBytes = 2048;
  const std::string piece(PieceBytes, '\r');
  int closed = 0;
  std::vector<std::shared_ptr<LineConnection>> connections;
  std::vector<int> peers;
  for (int n = 0; n < Peers; ++n) {
    int ends[2];
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
    peers.push_back(ends[0]);
    LineHandlers handlers;
    handlers.OnClosed = [&closed] { ++closed; };
    connections.push_back(
        LineConnection::adopt(loop, ends[1], std::move(handlers)));
  }
  std::vector<std::size_t> sent(Peers, 0);
  auto begin = std::clock();
  auto writer = loop.runEvery(1ms, [&] {
    for (int n = 0; n < Peers; ++n) {
      if (sent[n] > MaxLineBytes)
        continue;
      ssize_t count = send(peers[n], piece.data(), piece.size(), MSG_NOSIGNAL);
      sent[n] += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    if (closed == Peers)
      loop.stop();
  });
  auto limit = loop.runAfter(60s, [&] { loop.stop(); });
  loop.run();
  double seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  for (int it : peers)
    close(it);
  CHECK(closed == Peers);
  // The work of a linear search takes a small part of this time.
  CHECK(seconds < 3);
}

TEST_CASE("a line end that arrives in two pieces ends the line") {
  kernel::EventLoop loop;
  int ends[2];
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
  std::vector<std::string> lines;
  LineHandlers handlers;
  handlers.OnLine = [&](std::string_view line) {
    lines.emplace_back(line);
    if (lines.size() == 3)
      loop.stop();
  };
  auto connection = LineConnection::adopt(loop, ends[1], std::move(handlers));
  const std::string text = "one\r\n\r\ntwo\rmore\r\n";
  std::size_t next = 0;
  auto writer = loop.runEvery(2ms, [&] {
    if (next < text.size())
      next += static_cast<std::size_t>(
          send(ends[0], text.data() + next, 1, MSG_NOSIGNAL));
  });
  auto limit = loop.runAfter(5s, [&] { loop.stop(); });
  loop.run();
  close(ends[0]);
  CHECK(lines == std::vector<std::string>{"one", "", "two\rmore"});
}

TEST_CASE("a line above the limit ends the connection without reading on") {
  // Guards against memory and processor time spent on endless lines.
  kernel::EventLoop loop;
  int ends[2];
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
  std::vector<std::string> lines;
  int closed = 0;
  LineHandlers handlers;
  handlers.OnClosed = [&] { ++closed; };
  std::shared_ptr<LineConnection> connection;
  handlers.OnLine = [&](std::string_view line) {
    lines.emplace_back(line);
    connection->pauseReading();
  };
  constexpr std::size_t Limit = 512;
  connection = LineConnection::adopt(loop, ends[1], handlers, Limit);
  auto write = [&](const std::string &text) {
    return send(ends[0], text.data(), text.size(), MSG_NOSIGNAL);
  };
  auto runFor = [&loop](base::Duration time) {
    auto limit = loop.runAfter(time, [&] { loop.stop(); });
    loop.run();
  };
  const std::string longest(Limit, 'a');
  SUBCASE("the longest line is accepted, also with its end in two pieces") {
    write(longest + "\r");
    runFor(100ms);
    write("\nnext\r\n");
    runFor(100ms);
    // The second line waits while reading is paused.
    CHECK(lines == std::vector<std::string>{longest});
    connection->resumeReading(MaxLineBytes);
    runFor(100ms);
    CHECK(lines == std::vector<std::string>{longest, "next"});
    connection->resumeReading(MaxLineBytes);
    const std::string longer(100'000, 'b');
    write(longer + "\r\n");
    runFor(100ms);
    REQUIRE(lines.size() == 3);
    CHECK(lines.back() == longer);
    CHECK(closed == 0);
  }
  SUBCASE("a longer line ends it after 514 bytes") {
    // The writer gets no further than the buffers of the sockets.
    write(std::string(100'000, 'a'));
    runFor(100ms);
    CHECK(closed == 1);
    CHECK(lines.empty());
  }
  close(ends[0]);
}

TEST_CASE("a peer that sends many lines does not delay the others") {
  // Guards against a loop that handles all lines of one peer before it reads
  // from the next one, or accepts all waiting connections at once.
  kernel::EventLoop loop;
  constexpr int Lines = 900;
  int busy[2];
  int quiet[2];
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, busy) == 0);
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, quiet) == 0);
  std::vector<std::string> received;
  int linesBeforeOther = -1;
  bool ended = false;
  LineHandlers handlers;
  handlers.OnLine = [&](std::string_view line) { received.emplace_back(line); };
  handlers.OnClosed = [&] { ended = true; };
  LineHandlers others;
  others.OnLine = [&](std::string_view) {
    linesBeforeOther = static_cast<int>(received.size());
  };
  auto first = LineConnection::adopt(loop, busy[1], handlers);
  auto second = LineConnection::adopt(loop, quiet[1], others);
  first->limitReading(4096, 16);
  std::string text;
  for (int n = 0; n < Lines; ++n)
    text += std::to_string(n) + "\r\n";
  REQUIRE(send(busy[0], text.data(), text.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(text.size()));
  REQUIRE(send(quiet[0], "one\r\n", 5, MSG_NOSIGNAL) == 5);
  // The lines that precede the end of the connection are not lost.
  close(busy[0]);
  auto check = loop.runEvery(1ms, [&] {
    if (ended)
      loop.stop();
  });
  auto limit = loop.runAfter(5s, [&] { loop.stop(); });
  loop.run();
  close(quiet[0]);
  CHECK(linesBeforeOther >= 0);
  CHECK(linesBeforeOther <= 64);
  REQUIRE(received.size() == Lines);
  for (int n = 0; n < Lines; ++n)
    CHECK(received[static_cast<std::size_t>(n)] == std::to_string(n));
}

TEST_CASE("a listener accepts a bounded number of connections at once") {
  kernel::EventLoop loop;
  constexpr int Clients = 100;
  int accepted = 0;
  int largestBatch = 0;
  int batch = 0;
  Listener listener(loop);
  std::uint16_t port = 0;
  for (port = 20600; port < 20700; ++port) {
    bool listening = base::handleFailure(
        [&]() -> base::Result<bool> {
          BOOST_LEAF_CHECK(listener.listen({"127.0.0.1", port}, [&](int fd) {
            ++accepted;
            if (++batch == 1)
              loop.post([&batch] { batch = 0; });
            largestBatch = std::max(largestBatch, batch);
            close(fd);
          }));
          return true;
        },
        [](const base::Failure &) { return false; });
    if (listening)
      break;
  }
  std::vector<int> clients;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  for (int n = 0; n < Clients; ++n) {
    clients.push_back(socket(AF_INET, SOCK_STREAM, 0));
    REQUIRE(connect(clients.back(), reinterpret_cast<sockaddr *>(&address),
                    sizeof address) == 0);
  }
  auto check = loop.runEvery(1ms, [&] {
    if (accepted == Clients)
      loop.stop();
  });
  auto limit = loop.runAfter(5s, [&] { loop.stop(); });
  loop.run();
  for (int it : clients)
    close(it);
  CHECK(accepted == Clients);
  CHECK(largestBatch <= 32);
}

} // namespace
} // namespace baobabpin::net
