#include "baobabpin/cluster/OrganisationShares.h"

#include <doctest/doctest.h>

namespace baobabpin::cluster {
namespace {

TEST_CASE("organisations share a server by their rate limits") {
  Configuration config;
  CHECK(organisationShares(config).empty());
  config.Organisations = {
      {"large", {.Name = "large", .Limit = RateLimit{80, 1}}},
      {"small", {.Name = "small", .Limit = RateLimit{4, 1}}},
      {"any", {.Name = "any"}}};
  auto shares = organisationShares(config);
  CHECK(shares["large"] == 80);
  // Guards against small organisations that wait for many turns of large ones.
  CHECK(shares["small"] == 42);
  CHECK(shares["any"] == 42);
  SUBCASE("without limits all shares are equal") {
    config.Organisations = {{"a", {.Name = "a"}}, {"b", {.Name = "b"}}};
    CHECK(organisationShares(config)["a"] == organisationShares(config)["b"]);
  }
}

} // namespace
} // namespace baobabpin::cluster
