#include "baobabpin/organisation/AccessKeys.h"

#include <doctest/doctest.h>

#include <string>

namespace baobabpin::organisation {
namespace {

using Organisations = std::map<base::OrganisationName, cluster::Organisation>;

constexpr HashSecret Secret = 7;

void declare(Organisations &organisations, const std::string &name,
             std::vector<std::string> keys) {
  organisations[name] = {.Name = name, .AccessKeys = std::move(keys)};
}

TEST_CASE("an access key identifies the organisation that holds it") {
  Organisations organisations;
  declare(organisations, "north", {"n1", "n2", "n2"});
  declare(organisations, "south", {"s1"});
  declare(organisations, "empty", {});
  auto keys = indexAccessKeys(organisations, Secret);
  REQUIRE(findOrganisation(keys, "n2"));
  CHECK(*findOrganisation(keys, "n2") == "north");
  CHECK(*findOrganisation(keys, "s1") == "south");
  CHECK(keys.AmbiguousCount == 0);

  SUBCASE("other words identify none") {
    // Guards against a comparison that stops at the shorter word.
    for (const char *word : {"", "n", "n1 ", "n11", "N1", "north"}) {
      CAPTURE(word);
      CHECK_FALSE(findOrganisation(keys, word));
    }
  }
  SUBCASE("a key of two organisations identifies none") {
    // Guards against the choice of whichever organisation is listed first.
    declare(organisations, "west", {"n1", "w1"});
    declare(organisations, "east", {"n1"});
    auto changed = indexAccessKeys(organisations, Secret);
    CHECK_FALSE(findOrganisation(changed, "n1"));
    CHECK(*findOrganisation(changed, "n2") == "north");
    CHECK(*findOrganisation(changed, "w1") == "west");
    CHECK(changed.AmbiguousCount == 1);
  }
  SUBCASE("a key may move to another organisation") {
    declare(organisations, "north", {"n1"});
    declare(organisations, "south", {"s1", "n2"});
    auto changed = indexAccessKeys(organisations, Secret);
    CHECK(*findOrganisation(changed, "n2") == "south");
  }
}

TEST_CASE("all of many keys are found") {
  Organisations organisations;
  constexpr int Count = 100;
  for (int n = 0; n < Count; ++n) {
    std::vector<std::string> own;
    for (int k = 0; k < Count; ++k)
      own.push_back("key-" + std::to_string(n) + "-" + std::to_string(k));
    declare(organisations, "o" + std::to_string(n), std::move(own));
  }
  auto keys = indexAccessKeys(organisations, drawHashSecret());
  CHECK(keys.Entries.size() == Count * Count);
  for (int n = 0; n < Count; ++n) {
    const auto *name =
        findOrganisation(keys, "key-" + std::to_string(n) + "-42");
    REQUIRE(name);
    CHECK(*name == "o" + std::to_string(n));
  }
}

} // namespace
} // namespace baobabpin::organisation
