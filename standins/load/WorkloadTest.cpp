#include "standins/load/Workload.h"
#include "standins/load/ProcessUsage.h"
#include "standins/load/Throughput.h"

#include <doctest/doctest.h>

#include <set>

namespace standins::load {
namespace {

using namespace std::chrono_literals;
using Shape = ClassMix::Shape;

constexpr std::chrono::system_clock::time_point Noon{12h};

TEST_CASE("operations of a deployment") {
  for (const char *name : {"bukhan", "lankapura"}) {
    CAPTURE(name);
    Workload workload(*findDeployment(name), 7);
    Workload twin(*findDeployment(name), 7);
    std::set<Shape> shapes;
    std::set<std::string> ids;
    std::set<std::string> puts;
    WrittenKey last{"some-group", "shelf1:x:1"};
    for (int i = 0; i < 3000; ++i) {
      Operation op = workload.draw("s1", last, Noon);
      // Guards against a draw that depends on anything but the seed.
      REQUIRE(twin.draw("s1", last, Noon).Statements == op.Statements);
      shapes.insert(op.What);
      if (op.What == Shape::ReadBack) {
        REQUIRE(op.Group == last.Group);
      }
      if (isRead(op))
        continue;
      // Guards against two writes that cannot be told apart from outside.
      REQUIRE(ids.insert(op.RequestId).second);
      for (const std::string &it : op.Statements) {
        if (it.rfind("PUT", 0) == 0) {
          REQUIRE(puts.insert(it).second);
        }
      }
    }
    CHECK(shapes.size() == 7);
    CHECK(ids.begin()->rfind("43200000-", 0) == 0);
    CHECK(ids.begin()->size() == std::string("43200000-").size() + 32);
  }
  CHECK_FALSE(findDeployment("nowhere"));
}

TEST_CASE("measurements") {
  // Guards against a command name that shifts the fields.
  CHECK(parseCpuTicks("7 (a b) c) S 1 1 1 0 0 0 0 0 0 0 30 12 0") == 42);
  CHECK_FALSE(parseCpuTicks("7 (a) S 1"));
  std::vector<std::chrono::microseconds> sorted{1us, 2us, 3us, 4us};
  CHECK(latencyAt(sorted, 0.5) == 3us);
  CHECK(latencyAt(sorted, 0.999) == 4us);
  CHECK(latencyAt({}, 0.5) == 0us);
}

} // namespace
} // namespace standins::load
