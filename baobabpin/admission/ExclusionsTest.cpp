#include "baobabpin/admission/Exclusions.h"

#include <doctest/doctest.h>

namespace baobabpin::admission {
namespace {

using namespace std::chrono_literals;

constexpr base::BootTime Start{1000s};

TEST_CASE("a refusal excludes its server for a time that grows") {
  // Guards against a read that ends after one refusal of each server.
  Exclusions it;
  CHECK(excludedFor(it, "s1", Start) == 0ns);
  exclude(it, "s1", Failure::Refused, Start);
  CHECK(excludedFor(it, "s1", Start) == 25ms);
  CHECK(excludedFor(it, "s1", Start + 25ms) == 0ns);
  CHECK(excludedFor(it, "s2", Start) == 0ns);
  exclude(it, "s2", Failure::Refused, Start);
  CHECK(excludedFor(it, "s2", Start) == 50ms);
  for (int n = 0; n < 100; ++n)
    exclude(it, "s1", Failure::Refused, Start);
  CHECK(excludedFor(it, "s1", Start) == MaxPause);
}

TEST_CASE("only a server that cannot be reached is out of reach") {
  Exclusions it;
  exclude(it, "s1", Failure::Refused, Start);
  exclude(it, "s2", Failure::NoReply, Start);
  exclude(it, "s3", Failure::Unreachable, Start);
  CHECK_FALSE(isOutOfReach(it, "s1", Start));
  CHECK_FALSE(isOutOfReach(it, "s2", Start));
  CHECK(isOutOfReach(it, "s3", Start));
  CHECK_FALSE(isOutOfReach(it, "s3", Start + UnreachablePause));
}

} // namespace
} // namespace baobabpin::admission
