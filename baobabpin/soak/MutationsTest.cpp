#include "baobabpin/soak/Soak.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace baobabpin::soak {
namespace {

/// Runs until a violation is found, and returns its invariant.
std::optional<Invariant> firstViolation(Safeguard disabled,
                                        std::uint64_t runs) {
  for (std::uint64_t seed = 1; seed <= runs; ++seed) {
    auto result = runSoak({.Seed = seed, .Disabled = disabled});
    if (result.Which)
      return result.Which;
  }
  return std::nullopt;
}

struct Mutation {
  Safeguard Disabled;
  Invariant Expected;
};

TEST_CASE("the soak detects the absence of each safeguard") {
  // Guards against invariants that no longer check anything.
  constexpr std::array Mutations{
      Mutation{Safeguard::Fence, Invariant::AcknowledgedWriteSurvives},
      Mutation{Safeguard::MajorityConfirmation,
               Invariant::AcknowledgedWriteSurvives},
      Mutation{Safeguard::TermCheck, Invariant::AcknowledgedWriteSurvives},
      Mutation{Safeguard::RequestRecord, Invariant::AtMostOnce},
      Mutation{Safeguard::ReadPosition, Invariant::ReadYourWrites},
      Mutation{Safeguard::ReadAge, Invariant::AgeIsTrue},
  };
  for (const auto &it : Mutations) {
    CAPTURE(static_cast<int>(it.Disabled));
    auto found = firstViolation(it.Disabled, 300);
    REQUIRE(found.has_value());
    CHECK(*found == it.Expected);
  }
}

} // namespace
} // namespace baobabpin::soak
