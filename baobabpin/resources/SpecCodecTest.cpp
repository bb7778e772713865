#include "baobabpin/resources/SpecCodec.h"
#include "baobabpin/resources/SpecDiff.h"
#include "baobabpin/resources/StoredValue.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace baobabpin::resources {
namespace {

using base::ErrorType;
using nlohmann::json;

struct Refusal {
  std::optional<ErrorType> Type;
  FieldError Field;
};

Refusal refusalOf(ResourceKind kind, const std::string &text) {
  Refusal refusal;
  auto parsed = handleInvalid(
      [&]() -> base::Result<std::optional<Spec>> {
        BOOST_LEAF_AUTO(spec, parseSpec(kind, text));
        return std::optional<Spec>(spec);
      },
      [&](const base::Failure &failure, const FieldError &field) {
        refusal = {failure.Type, field};
        return std::optional<Spec>();
      });
  CHECK(parsed.has_value() != refusal.Type.has_value());
  return refusal;
}

json goodGroup() {
  return json::parse(R"({"customer": "bukhan-grip", "database":
    "lending-ledger", "slots": 2, "connections": 15, "servers": [
    {"id": "a", "address": "127.0.0.1:1", "availability_zone": "kr-central-a"},
    {"id": "b", "address": "127.0.0.1:2", "availability_zone": "kr-central-b"},
    {"id": "c", "address": "127.0.0.1:3", "availability_zone": "kr-central-c"}
    ]})");
}

TEST_CASE("a spec is refused with the field's path and accepted range") {
  json group = goodGroup();
  auto refused = [&] {
    return refusalOf(ResourceKind::DatabaseGroup, group.dump());
  };
  REQUIRE_FALSE(refused().Type);

  SUBCASE("a number out of range or of the wrong type") {
    for (const json &bad : {json(0), json(65), json(-1), json(1.5), json("2"),
                            json(18446744073709551615ULL), json(nullptr)}) {
      group["slots"] = bad;
      Refusal refusal = refused();
      CHECK(refusal.Type == ErrorType::InvalidResource);
      CHECK(refusal.Field.Path == "spec.slots");
      CHECK(refusal.Field.Accepted == "integer 1..64");
    }
  }
  SUBCASE("an unknown key, in a nested object too") {
    group["servers"][1]["zone"] = "x";
    CHECK(refused().Field.Path == "spec.servers[1].zone");
  }
  SUBCASE("a missing field") {
    group["servers"][2].erase("availability_zone");
    CHECK(refused().Field.Path == "spec.servers[2].availability_zone");
  }
  SUBCASE("addresses that are not IP:PORT") {
    for (const char *bad : {"localhost:1", "127.0.0.1", "127.0.0.1:0",
                            "127.0.0.1:65536", "127.0.0.1:01", "1.2.3:4"}) {
      group["servers"][0]["address"] = bad;
      CHECK(refused().Field.Path == "spec.servers[0].address");
    }
  }
  SUBCASE("one server listed twice") {
    group["servers"][2]["id"] = "a";
    CHECK(refused().Field.Path == "spec.servers[2].id");
    group["servers"][2]["id"] = "c";
    group["servers"][1]["address"] = "127.0.0.1:1";
    CHECK(refused().Field.Path == "spec.servers[1].address");
  }
  SUBCASE("an empty or too long server list") {
    group["servers"] = json::array();
    CHECK(refused().Field.Path == "spec.servers");
    group["servers"] = json(8, json::object());
    CHECK(refused().Field.Path == "spec.servers");
  }
  SUBCASE("text that is not one JSON object without repeated keys") {
    for (const char *bad : {"", "[]", "{", "{}x", R"({"slots":1,"slots":2})"})
      CHECK(refusalOf(ResourceKind::DatabaseGroup, bad).Type ==
            ErrorType::InvalidResource);
  }
  SUBCASE("a text larger than the store accepts") {
    group["customer"] = std::string(MaxValueBytes, 'x');
    CHECK(refused().Type == ErrorType::RequestTooLarge);
  }
}

TEST_CASE("each kind's JSON survives parsing and printing") {
  auto roundTrip = [](ResourceKind kind, const json &spec) {
    CAPTURE(kindName(kind));
    auto printed = base::handleFailure(
        [&]() -> base::Result<std::string> {
          BOOST_LEAF_AUTO(parsed, parseSpec(kind, spec.dump()));
          BOOST_LEAF_AUTO(stored, encodeStored({"m1", parsed}));
          BOOST_LEAF_AUTO(decoded, decodeStored(kind, stored));
          CHECK(decoded.ResourceSpec == parsed);
          CHECK(decoded.Mark == "m1");
          return printSpec(parsed);
        },
        [](const base::Failure &failure) { return failure.Detail; });
    CHECK(printed == spec.dump());
  };
  roundTrip(ResourceKind::DatabaseGroup, goodGroup());
  roundTrip(ResourceKind::SessionAdmission, json::parse(R"(
    {"customer": "a", "database": "b", "max_sessions": 1000000, "classes": [
    {"name": "correction", "priority": "urgent", "timeout_ms": 10}]})"));
  roundTrip(ResourceKind::StalenessAllowance, json::parse(R"(
    {"customer": "a", "database": "b", "class": "c", "max_age_ms": 0})"));
  roundTrip(ResourceKind::PlannedStop, json::parse(R"(
    {"target_kind": "primary", "target": "g", "deadline_s": 3600})"));
}

TEST_CASE("store keys name exactly one kind and one resource") {
  auto typeOf = [](const char *key) {
    return base::handleFailure(
        [&]() -> base::Result<std::optional<ErrorType>> {
          BOOST_LEAF_AUTO(id, parseStoreKey(key));
          CHECK(storeKey(id) == key);
          return std::optional<ErrorType>();
        },
        [](const base::Failure &it) { return std::optional(it.Type); });
  };
  CHECK(typeOf("resources/PlannedStop/x") == std::nullopt);
  CHECK(typeOf("resources/Planned/x") == ErrorType::UnknownKind);
  CHECK(typeOf("resources/PlannedStop") == ErrorType::InvalidResource);
  CHECK(typeOf("resources/PlannedStop/a/b") == ErrorType::InvalidResource);
  CHECK(typeOf("other/PlannedStop/a") == ErrorType::InvalidResource);
}

TEST_CASE("a diff lists exactly the fields that differ") {
  PlannedStop before{StopTarget::Node, "n1", std::chrono::seconds(5)};
  PlannedStop after = before;
  CHECK(canonicalDiff(before, after).empty());
  after.Deadline = std::chrono::seconds(6);
  CHECK(canonicalDiff(before, after) ==
        std::vector<FieldChange>{{"deadline_s", "5", "6"}});
  CHECK(canonicalDiff(std::nullopt, after).size() == 3);
}

} // namespace
} // namespace baobabpin::resources
