#include "baobabpin/pooling/RunContact.h"

#include "baobabpin/net/LineConnection.h"

#include <doctest/doctest.h>

#include <sys/resource.h>
#include <sys/socket.h>

#include <netinet/in.h>

#include <string>
#include <vector>

namespace baobabpin::pooling {
namespace {

using namespace std::chrono_literals;
using Answer = RunContact::Answer;

/// A server that answers each line with the text that it has for it.
struct ContactFixture {
  kernel::EventLoop Loop;
  net::Listener Socket{Loop};
  std::vector<std::shared_ptr<net::LineConnection>> Connections;
  std::string OnStart;
  std::string OnStatus;
  cluster::ServerRun Run{"s1", 5, {"127.0.0.1", 0}, false};

  ContactFixture() {
    // A port that was free a moment ago.
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof address;
    REQUIRE(bind(fd, reinterpret_cast<sockaddr *>(&address), n) == 0);
    REQUIRE(getsockname(fd, reinterpret_cast<sockaddr *>(&address), &n) == 0);
    close(fd);
    Run.Address.Port = ntohs(address.sin_port);
  }
  void listen() {
    bool listening = base::handleFailure(
        [&]() -> base::Result<bool> {
          BOOST_LEAF_CHECK(
              Socket.listen(Run.Address, [this](int fd) { accept(fd); }));
          return true;
        },
        [](const base::Failure &) { return false; });
    REQUIRE(listening);
  }
  void accept(int fd) {
    auto n = Connections.size();
    net::LineHandlers handlers;
    handlers.OnLine = [this, n](std::string_view line) {
      Connections[n]->send(line.starts_with("START ") ? OnStart : OnStatus);
    };
    Connections.push_back(
        net::LineConnection::adopt(Loop, fd, std::move(handlers)));
  }
  RunContact contact() {
    RunContact result;
    bool called = false;
    contactRun(Loop, "g", Run, 200ms, [&](const RunContact &it) {
      result = it;
      called = true;
      Loop.stop();
    });
    CHECK_FALSE(called);
    Loop.run();
    return result;
  }
};

TEST_CASE("a server without a registration is asked at its address") {
  ContactFixture fixture;
  fixture.OnStart = "READY I 3.7\r\n";
  fixture.OnStatus =
      "DATAROW replica 3 3.9 0 0 0 1\r\nCOMPLETE -\r\nREADY I 3.7\r\n";

  SUBCASE("it reports its status") {
    fixture.listen();
    auto it = fixture.contact();
    CHECK(it.Result == Answer::Status);
    REQUIRE(it.Status);
    CHECK(it.Status->Received == base::LogPosition{3, 9});
  }
  SUBCASE("it runs although it refuses the connection or the query") {
    SUBCASE("connection") { fixture.OnStart = "ERROR TOOMANY -\r\n"; }
    SUBCASE("query") { fixture.OnStatus = "ERROR BUSY s1\r\nREADY I 3.7\r\n"; }
    fixture.listen();
    CHECK(fixture.contact().Result == Answer::Busy);
  }
  SUBCASE("another server at the address shows that it has ended") {
    fixture.OnStart = "ERROR MISROUTED -\r\n";
    fixture.listen();
    CHECK(fixture.contact().Result == Answer::Absent);
  }
  SUBCASE("a port without a listener shows that it has ended") {
    CHECK(fixture.contact().Result == Answer::Absent);
  }
  SUBCASE("silence shows nothing") {
    fixture.OnStart.clear();
    fixture.listen();
    CHECK(fixture.contact().Result == Answer::Nothing);
  }
  SUBCASE("this node's lack of descriptors shows nothing") {
    fixture.listen();
    rlimit before{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
    rlimit none = before;
    none.rlim_cur = 3;
    REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
    auto it = fixture.contact();
    REQUIRE(setrlimit(RLIMIT_NOFILE, &before) == 0);
    CHECK(it.Result == Answer::Nothing);
  }
}

} // namespace
} // namespace baobabpin::pooling
