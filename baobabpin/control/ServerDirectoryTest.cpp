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

/// A directory that knows s1 and s2 as of Start.
struct Known {
  kernel::EventLoop Loop;
  int Fd = open("/dev/null", O_WRONLY);
  kernel::LineLog Log{Loop, "n1", Fd};
  ServerDirectory Directory{Log};

  Known() {
    CHECK(Directory.adopt({makeServer("s1"), makeServer("s2")}, Start, Start));
  }
  ~Known() { close(Fd); }
  bool adopt(std::vector<cluster::ServerRegistration> servers,
             std::chrono::milliseconds later) {
    return Directory.adopt(std::move(servers), Start + later, Start + later);
  }
};

TEST_CASE("a registration that lapses") {
  // The store drops entries of living servers while it is away.
  Known known;
  CHECK_FALSE(known.adopt({makeServer("s1")}, 100ms));
  CHECK(known.Directory.servers().contains("s2"));
  CHECK(known.Directory.leavingSince("s2") == Start + 100ms);

  SUBCASE("comes back, and nothing is left of it") {
    CHECK_FALSE(known.adopt({makeServer("s1"), makeServer("s2")}, 300ms));
    CHECK_FALSE(known.Directory.leavingSince("s2"));
  }
  SUBCASE("or does not, and the server is gone") {
    CHECK_FALSE(known.adopt({makeServer("s1")}, 99ms + GoneDelay));
    CHECK(known.adopt({makeServer("s1")}, 100ms + GoneDelay));
    CHECK_FALSE(known.Directory.servers().contains("s2"));
    CHECK_FALSE(known.Directory.leavingSince("s2"));
  }
  SUBCASE("is gone also when only confirmed") {
    auto later = Start + 100ms + GoneDelay;
    CHECK(known.Directory.confirm(later, later));
    CHECK_FALSE(known.Directory.servers().contains("s2"));
  }
}

TEST_CASE("a server that drains is leaving and stays") {
  Known known;
  auto draining = makeServer("s2");
  draining.Draining = true;
  CHECK(known.adopt({makeServer("s1"), draining}, 100ms));
  CHECK(known.Directory.leavingSince("s2") == Start + 100ms);
  CHECK_FALSE(known.adopt({makeServer("s1"), draining}, 100ms + 2 * GoneDelay));
  CHECK(known.Directory.servers().contains("s2"));
}

TEST_CASE("an older snapshot changes nothing") {
  Known known;
  CHECK_FALSE(known.adopt({}, 0ms));
  CHECK_FALSE(known.Directory.leavingSince("s1"));
  CHECK(known.Directory.registrations().size() == 2);
}

TEST_CASE("the digest tells snapshots apart") {
  Known known;
  auto before = known.Directory.digest();
  known.adopt({makeServer("s1"), makeServer("s2")}, 100ms);
  CHECK(known.Directory.digest() == before);
  known.adopt({makeServer("s1")}, 200ms);
  CHECK(known.Directory.digest() != before);
}

} // namespace
} // namespace baobabpin::control
