#include "baobabpin/resources/Validation.h"
#include "baobabpin/resources/StoredValue.h"

#include <doctest/doctest.h>

namespace baobabpin::resources {
namespace {

using namespace std::chrono_literals;

DatabaseGroup group(const std::string &prefix, int firstPort, int size) {
  DatabaseGroup spec{"bukhan-grip", "lending-ledger", {}, 2, 15};
  for (int i = 0; i < size; ++i)
    spec.Servers.push_back({prefix + std::to_string(i),
                            "127.0.0.1:" + std::to_string(firstPort + i),
                            "kr-central-a"});
  return spec;
}

struct Present {
  Present() {
    add({ResourceKind::DatabaseGroup, "ledger-0"}, group("a", 100, 3));
    add({ResourceKind::StalenessAllowance, "browse"},
        StalenessAllowance{"bukhan-grip", "lending-ledger", "browse", 5s});
    add({ResourceKind::SessionAdmission, "ledger"},
        SessionAdmission{"bukhan-grip",
                         "lending-ledger",
                         {{"browse", Priority::Normal, 1s}},
                         5});
  }
  void add(const ResourceId &id, const Spec &spec) {
    base::handleFailure(
        [&]() -> base::Result<void> {
          BOOST_LEAF_AUTO(value, encodeStored({"m", spec}));
          BOOST_LEAF_CHECK(
              Catalog.apply(ResourceChange{storeKey(id), ++Revision, value}));
          return {};
        },
        [](const base::Failure &it) { FAIL(it.Detail); });
  }
  /// The refused field; empty when the change is accepted.
  std::string refusedField(const ResourceId &id,
                           const std::optional<Spec> &spec) {
    return handleInvalid(
        [&]() -> base::Result<std::string> {
          BOOST_LEAF_CHECK(validateChange(Catalog, id, spec));
          return std::string();
        },
        [](const base::Failure &failure, const FieldError &field) {
          CHECK(failure.Type == base::ErrorType::InvalidResource);
          return field.Path;
        });
  }

  ResourceCatalog Catalog;
  std::uint64_t Revision = 0;
};

TEST_CASE("a server list changes by one server at a time") {
  Present present;
  ResourceId id{ResourceKind::DatabaseGroup, "ledger-0"};
  DatabaseGroup next = group("a", 100, 3);

  SUBCASE("adding or removing one server keeps majorities intersecting") {
    next = group("a", 100, 4);
    CHECK(present.refusedField(id, next) == "");
    next = group("a", 100, 2);
    CHECK(present.refusedField(id, next) == "");
  }
  SUBCASE("a replacement could let two disjoint majorities acknowledge") {
    next.Servers[2].Id = "new";
    CHECK(present.refusedField(id, next) == "spec.servers");
  }
  SUBCASE("so could a server that moves to an empty host") {
    next.Servers[2].Address = "127.0.0.1:999";
    CHECK(present.refusedField(id, next) == "spec.servers");
  }
  SUBCASE("two at once") {
    CHECK(present.refusedField(id, group("a", 100, 5)) == "spec.servers");
    CHECK(present.refusedField(id, group("a", 100, 1)) == "spec.servers");
  }
  SUBCASE("a new group begins with an odd number") {
    ResourceId other{ResourceKind::DatabaseGroup, "ledger-1"};
    CHECK(present.refusedField(other, group("b", 200, 2)) == "spec.servers");
    CHECK(present.refusedField(other, group("b", 200, 1)) == "");
  }
}

TEST_CASE("specs that contradict others are refused") {
  Present present;
  ResourceId other{ResourceKind::DatabaseGroup, "ledger-1"};

  SUBCASE("two groups with one server ID or address") {
    CHECK(present.refusedField(other, group("a", 200, 3)) ==
          "spec.servers[0].id");
    CHECK(present.refusedField(other, group("b", 102, 3)) ==
          "spec.servers[0].address");
  }
  SUBCASE("an allowance for a database that no group serves") {
    ResourceId id{ResourceKind::StalenessAllowance, "search"};
    CHECK(present.refusedField(
              id, StalenessAllowance{"bukhan-grip", "other", "search", 1s}) ==
          "spec.database");
    CHECK(present.refusedField({ResourceKind::DatabaseGroup, "ledger-0"},
                               std::nullopt) == "spec.database");
  }
  SUBCASE("two answers to one question") {
    CHECK(
        present.refusedField({ResourceKind::StalenessAllowance, "browse-2"},
                             StalenessAllowance{"bukhan-grip", "lending-ledger",
                                                "browse", 1s}) == "spec.class");
    CHECK(present.refusedField(
              {ResourceKind::SessionAdmission, "ledger-2"},
              SessionAdmission{"bukhan-grip",
                               "lending-ledger",
                               {{"browse", Priority::Normal, 1s}},
                               5}) == "spec.database");
  }
  SUBCASE("planned stops of unknown servers and groups") {
    ResourceId id{ResourceKind::PlannedStop, "stop"};
    auto refused = [&](StopTarget kind, const char *target) {
      return present.refusedField(id, PlannedStop{kind, target, 5s});
    };
    CHECK(refused(StopTarget::Server, "z") == "spec.target");
    CHECK(refused(StopTarget::Primary, "z") == "spec.target");
    CHECK(refused(StopTarget::Server, "a1") == "");
    CHECK(refused(StopTarget::Primary, "ledger-0") == "");
  }
  SUBCASE("a group that changes its database") {
    DatabaseGroup moved = group("a", 100, 3);
    moved.Database = "other";
    CHECK(present.refusedField({ResourceKind::DatabaseGroup, "ledger-0"},
                               moved) == "spec.database");
  }
  SUBCASE("a set that contradicts itself") {
    auto typeOf = [&](DatabaseGroup second) {
      return base::handleFailure(
          [&]() -> base::Result<bool> {
            BOOST_LEAF_CHECK(validateAll(
                present.Catalog,
                {{{ResourceKind::PlannedStop, "s"},
                  PlannedStop{StopTarget::Server, "b0", 5s}},
                 {other, group("b", 200, 3)},
                 {{ResourceKind::DatabaseGroup, "ledger-2"}, second}}));
            return true;
          },
          [](const base::Failure &) { return false; });
    };
    CHECK(typeOf(group("c", 300, 1)));
    CHECK_FALSE(typeOf(group("c", 202, 1)));
  }
}

} // namespace
} // namespace baobabpin::resources
