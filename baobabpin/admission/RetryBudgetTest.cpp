#include "baobabpin/admission/RetryBudget.h"

#include "baobabpin/admission/ConnectionShare.h"

#include <doctest/doctest.h>

#include <initializer_list>

namespace baobabpin::admission {

TEST_CASE(
    "retries stay near a tenth of the requests when every request fails") {
  RetryBudget budget;
  int retries = 0;
  for (int n = 0; n < 1000; ++n) {
    onRequest(budget);
    if (tryRetry(budget))
      ++retries;
  }
  CHECK(retries <= 110);
  CHECK(retries >= 100);
}

TEST_CASE("three owners with diverging views stay within a server's limit") {
  for (unsigned limit : {15U, 35U, 6U, 100U}) {
    CHECK(3 * connectionShare({.Slots = 2, .Connections = limit}) <= limit);
    CHECK(connectionShare({.Slots = 2, .Connections = limit}) >= 2);
  }
  CHECK(connectionShare({.Slots = 2, .Connections = 15}) == 4);
}

} // namespace baobabpin::admission
