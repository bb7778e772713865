#include "baobabpin/control/ServerDirectory.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

namespace baobabpin::control {
namespace {

using namespace std::chrono_literals;

constexpr base::BootTime Start{1000s};

cluster::ServerRegistration makeServer(const std::string &id) {
  return {.Id = id, .Group = "g", .Address = {"10.0.0.1", 70}, .Zone = "a"};
}

/// A directory that contains s1 and s2 as of Start.
struct DirectoryFixture {
  kernel::EventLoop Loop;
  int Fd = open("/dev/null", O_WRONLY);
  kernel::LineLog Log{Loop, "n1", Fd};
  ServerDirectory Directory{Log};

  DirectoryFixture() {
    CHECK(Directory.adopt({makeServer("s1"), makeServer("s2")}, Start, Start));
  }
  ~DirectoryFixture() { close(Fd); }
  bool adopt(std::vector<cluster::ServerRegistration> servers,
             std::chrono::milliseconds later) {
    return Directory.adopt(std::move(servers), Start + later, Start + later);
  }
};

TEST_CASE("a server whose registration expires is kept for RemovalDelay") {
  // The store drops the entries of running servers while it is unreachable.
  DirectoryFixture fixture;
  CHECK_FALSE(fixture.adopt({makeServer("s1")}, 100ms));
  CHECK(fixture.Directory.servers().contains("s2"));
  CHECK(fixture.Directory.leavingSince("s2") == Start + 100ms);

  SUBCASE("a registration that returns in time ends the leaving state") {
    CHECK_FALSE(fixture.adopt({makeServer("s1"), makeServer("s2")}, 300ms));
    CHECK_FALSE(fixture.Directory.leavingSince("s2"));
  }
  SUBCASE("a server without a registration is removed after RemovalDelay") {
    CHECK_FALSE(fixture.adopt({makeServer("s1")}, 99ms + RemovalDelay));
    CHECK(fixture.adopt({makeServer("s1")}, 100ms + RemovalDelay));
    CHECK_FALSE(fixture.Directory.servers().contains("s2"));
    CHECK_FALSE(fixture.Directory.leavingSince("s2"));
  }
  SUBCASE("a confirmation without a new snapshot also removes it") {
    auto later = Start + 100ms + RemovalDelay;
    CHECK(fixture.Directory.confirm(later, later));
    CHECK_FALSE(fixture.Directory.servers().contains("s2"));
  }
}

TEST_CASE("a server that drains does not become ready in an older copy") {
  // Guards against new work for a server that is leaving, after the store was
  // restored to a time at which the server was ready.
  DirectoryFixture fixture;
  auto draining = makeServer("s2");
  draining.Draining = true;
  draining.StartedMs = 7;
  auto ready = draining;
  ready.Draining = false;
  fixture.adopt({makeServer("s1"), draining}, 100ms);
  auto isLeaving = [&] {
    return fixture.Directory.leavingSince("s2").has_value();
  };

  SUBCASE("while it drains") {
    fixture.adopt({makeServer("s1"), ready}, 200ms);
    CHECK(isLeaving());
    CHECK(fixture.Directory.registrations().back().Draining);
  }
  SUBCASE("after its registration has gone") {
    fixture.adopt({makeServer("s1")}, 200ms);
    fixture.adopt({makeServer("s1")}, 300ms + RemovalDelay);
    REQUIRE_FALSE(fixture.Directory.servers().contains("s2"));
    fixture.adopt({makeServer("s1"), ready}, 400ms + RemovalDelay);
    CHECK(isLeaving());
  }
  SUBCASE("but the next run under the same Id is ready") {
    ready.StartedMs = 8;
    fixture.adopt({makeServer("s1"), ready}, 200ms);
    CHECK_FALSE(isLeaving());
  }
}

TEST_CASE("a draining server is leaving but is not removed") {
  DirectoryFixture fixture;
  auto draining = makeServer("s2");
  draining.Draining = true;
  CHECK(fixture.adopt({makeServer("s1"), draining}, 100ms));
  CHECK(fixture.Directory.leavingSince("s2") == Start + 100ms);
  CHECK_FALSE(
      fixture.adopt({makeServer("s1"), draining}, 100ms + 2 * RemovalDelay));
  CHECK(fixture.Directory.servers().contains("s2"));
}

TEST_CASE("a server that was draining when it was first seen") {
  DirectoryFixture fixture;
  auto draining = makeServer("s2");
  draining.Draining = true;
  fixture.adopt({makeServer("s1"), draining}, 100ms);
  CHECK_FALSE(fixture.Directory.wasFirstSeenDraining("s2"));
  auto other = draining;
  other.Id = "s3";
  fixture.adopt({makeServer("s1"), draining, other}, 200ms);
  CHECK(fixture.Directory.wasFirstSeenDraining("s3"));
  other.Draining = false;
  fixture.adopt({makeServer("s1"), draining, other}, 300ms);
  CHECK_FALSE(fixture.Directory.wasFirstSeenDraining("s3"));
}

TEST_CASE("a snapshot that is not newer has no effect") {
  DirectoryFixture fixture;
  CHECK_FALSE(fixture.adopt({}, 0ms));
  CHECK_FALSE(fixture.Directory.leavingSince("s1"));
  CHECK(fixture.Directory.registrations().size() == 2);
}

TEST_CASE("the digest differs between different snapshots") {
  DirectoryFixture fixture;
  auto before = fixture.Directory.digest();
  fixture.adopt({makeServer("s1"), makeServer("s2")}, 100ms);
  CHECK(fixture.Directory.digest() == before);
  fixture.adopt({makeServer("s1")}, 200ms);
  CHECK(fixture.Directory.digest() != before);
}

} // namespace
} // namespace baobabpin::control
