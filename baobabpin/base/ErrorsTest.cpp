#include "baobabpin/base/Errors.h"

#include <doctest/doctest.h>

namespace baobabpin::base {
namespace {

Result<int> half(int n) {
  if (n % 2 != 0)
    return fail(ErrorType::BadRequest, "odd");
  return n / 2;
}

TEST_CASE("handleFailure passes the error of a failed result to the handler") {
  auto run = [](int n) {
    return handleFailure(
        [&]() -> Result<Failure> {
          BOOST_LEAF_CHECK(half(n));
          return Failure{ErrorType::NotFound, "no failure"};
        },
        [](const Failure &failure) { return failure; });
  };
  CHECK(run(3) == Failure{ErrorType::BadRequest, "odd"});
  CHECK(run(4).Type == ErrorType::NotFound);
}

TEST_CASE("every error type and outcome is parsed back from its name") {
  for (int n = 0; n <= static_cast<int>(ErrorType::Internal); ++n) {
    auto type = static_cast<ErrorType>(n);
    CHECK(parseErrorType(errorName(type)) == type);
  }
  for (int n = 0; n <= static_cast<int>(Outcome::Failed); ++n) {
    auto outcome = static_cast<Outcome>(n);
    CHECK(parseOutcome(outcomeName(outcome)) == outcome);
  }
  CHECK_FALSE(parseErrorType("no_such_error").has_value());
}

} // namespace
} // namespace baobabpin::base
