#include "baobabpin/resources/ResourceCatalog.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

namespace baobabpin::resources {
namespace {

using namespace std::chrono_literals;

std::string groupValue(const std::string &server, const std::string &database) {
  return R"({"mark": "m", "spec": {"customer": "c", "database": ")" + database +
         R"(", "slots": 2, "connections": 15, "servers": [{"id": ")" + server +
         R"(", "address": "127.0.0.1:1", "availability_zone": "z"}]}})";
}

std::string allowanceValue(int ms) {
  return R"({"mark": "m", "spec": {"customer": "c", "database": "d", "class":
    "browse", "max_age_ms": )" +
         std::to_string(ms) + "}}";
}

/// Whether the change took effect; empty for a failure.
std::optional<bool> apply(ResourceCatalog &catalog, ResourceChange change) {
  return base::handleFailure(
      [&]() -> base::Result<std::optional<bool>> {
        BOOST_LEAF_AUTO(changed, catalog.apply(change));
        return std::optional(changed);
      },
      [](const base::Failure &) { return std::optional<bool>(); });
}

TEST_CASE("a catalog follows store changes in whatever order they arrive") {
  ResourceCatalog catalog;
  REQUIRE(apply(catalog, {"resources/DatabaseGroup/g2", 5,
                          groupValue("s2", "d")}) == true);
  REQUIRE(apply(catalog, {"resources/DatabaseGroup/g1", 4,
                          groupValue("s1", "d")}) == true);
  CHECK(catalog.groupsOf("c", "d") == std::vector<std::string>{"g1", "g2"});
  CHECK(catalog.groupOfServer("s2") == "g2");
  CHECK(catalog.groupsOf("c", "unknown").empty());

  SUBCASE("an older or repeated value reverts nothing") {
    CHECK(apply(catalog, {"resources/DatabaseGroup/g2", 3,
                          groupValue("old", "d")}) == false);
    CHECK(apply(catalog, {"resources/DatabaseGroup/g2", 5,
                          groupValue("old", "d")}) == false);
    CHECK(catalog.findGroup("g2")->Servers[0].Id == "s2");
  }
  SUBCASE("a deletion is not undone by a late older value") {
    CHECK(apply(catalog, {"resources/DatabaseGroup/g2", 9, {}}) == true);
    CHECK(apply(catalog, {"resources/DatabaseGroup/g2", 8,
                          groupValue("s2", "d")}) == false);
    CHECK(catalog.findGroup("g2") == nullptr);
    CHECK_FALSE(catalog.groupOfServer("s2"));
    CHECK(catalog.groupsOf("c", "d") == std::vector<std::string>{"g1"});
    CHECK(catalog.highestRevision() == 9);
  }
  SUBCASE("a value that cannot be read leaves the last good one in force") {
    CHECK_FALSE(apply(catalog, {"resources/DatabaseGroup/g2", 6, "{}"}));
    CHECK(catalog.findGroup("g2")->Servers[0].Id == "s2");
    CHECK(apply(catalog, {"resources/DatabaseGroup/g2", 7,
                          groupValue("s3", "d")}) == true);
    CHECK_FALSE(catalog.groupOfServer("s2"));
  }
  SUBCASE("allowances follow their latest value") {
    const char *key = "resources/StalenessAllowance/a";
    CHECK_FALSE(catalog.allowance("c", "d", "browse"));
    CHECK(apply(catalog, {key, 10, allowanceValue(500)}) == true);
    CHECK(apply(catalog, {key, 11, allowanceValue(700)}) == true);
    CHECK(catalog.allowance("c", "d", "browse") == 700ms);
    CHECK(apply(catalog, {key, 12, {}}) == true);
    CHECK_FALSE(catalog.allowance("c", "d", "browse"));
  }
  SUBCASE("planned stops are found by their target") {
    CHECK(apply(catalog, {"resources/PlannedStop/s", 10,
                          R"({"mark": "m", "spec": {"target_kind": "server",
                     "target": "s1", "deadline_s": 9}})"}) == true);
    CHECK(catalog.findStop(StopTarget::Server, "s1")->Deadline == 9s);
    CHECK_FALSE(catalog.findStop(StopTarget::Node, "s1"));
  }
  SUBCASE("classes are admitted with their priority and timeout") {
    CHECK(apply(catalog,
                {"resources/SessionAdmission/a", 10,
                 R"({"mark": "m", "spec": {"customer": "c", "database": "d",
                     "max_sessions": 7, "classes": [{"name": "checkout",
                     "priority": "high", "timeout_ms": 900}]}})"}) == true);
    const auto *found = catalog.admittedClass("c", "d", "checkout");
    REQUIRE(found);
    CHECK(found->ClassPriority == Priority::High);
    CHECK(found->Timeout == 900ms);
    CHECK(catalog.admittedClass("c", "d", "search") == nullptr);
    CHECK(catalog.admissionOf("c", "d")->MaxSessions == 7);
  }
}

TEST_CASE("all orders of arrival, with repeats, end in the same catalog") {
  std::vector<ResourceChange> history;
  for (std::uint64_t revision = 1; revision <= 12; ++revision) {
    std::string key =
        "resources/DatabaseGroup/g" + std::to_string(revision % 3);
    std::string server = "s" + std::to_string(revision % 5);
    std::optional<std::string> value;
    if (revision % 4 != 0)
      value = groupValue(server, revision % 2 ? "d" : "e");
    history.push_back({key, revision, value});
  }
  auto describe = [](const ResourceCatalog &catalog) {
    std::string text = std::to_string(catalog.highestRevision());
    for (const char *database : {"d", "e"}) {
      for (const auto &it : catalog.groupsOf("c", database))
        text += std::string(" ") + database + ":" + it;
    }
    for (const char *server : {"s0", "s1", "s2", "s3", "s4"})
      text += " " + catalog.groupOfServer(server).value_or("-");
    return text;
  };
  ResourceCatalog inOrder;
  for (const auto &it : history)
    apply(inOrder, it);
  std::mt19937 random(1);
  for (int round = 0; round < 200; ++round) {
    CAPTURE(round);
    auto changes = history;
    changes.insert(changes.end(), history.begin(), history.end());
    std::shuffle(changes.begin(), changes.end(), random);
    ResourceCatalog catalog;
    for (const auto &it : changes)
      apply(catalog, it);
    CHECK(describe(catalog) == describe(inOrder));
  }
}

} // namespace
} // namespace baobabpin::resources
