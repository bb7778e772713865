#include "baobabpin/configcheck/ConfigCheck.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace baobabpin::configcheck {
namespace {

using namespace std::chrono_literals;

CheckedConfiguration sound() {
  CheckedConfiguration it;
  it.Parsed.Version = 7;
  it.Parsed.Groups["g"] = {.Name = "g"};
  it.Parsed.RoutesByDatabase["orders"] = {.Database = "orders", .Group = "g"};
  it.Parsed.RoutesByDatabase["status"] = {
      .Database = "status",
      .Group = "g",
      .Reads = cluster::Consistency::BoundedStaleness,
      .MaxStaleness = 1500ms};
  it.Parsed.Organisations.emplace();
  auto &organisations = *it.Parsed.Organisations;
  organisations["acme"] = {"acme", {"secret-1", "secret-2"}, {{100, 20}}};
  organisations["beta"] = {"beta", {"secret-3"}, {}};
  return it;
}

Finding only(const std::vector<Finding> &findings) {
  REQUIRE(findings.size() == 1);
  return findings[0];
}

Finding onlyFinding(const CheckedConfiguration &it) {
  return only(checkConfiguration(it));
}

TEST_CASE("a sound configuration has no findings") {
  CHECK(checkConfiguration(sound()).empty());
  auto open = sound();
  open.Parsed.Organisations.reset();
  CHECK(checkConfiguration(open).empty());
}

TEST_CASE("routes that can never serve a client are errors") {
  auto it = sound();
  auto &route = it.Parsed.RoutesByDatabase["orders"];
  SUBCASE("an unknown group") { route.Group = "other"; }
  SUBCASE("no time") { route.StatementTimeout = 0ms; }
  SUBCASE("a target above the time limit") {
    route.StatementTimeout = 800ms;
    route.TargetLatency = 801ms;
  }
  SUBCASE("a negative staleness") { route.MaxStaleness = -1ms; }
  auto found = onlyFinding(it);
  CHECK(found.Level == Severity::Error);
  CHECK(found.Where == "route of database orders");
}

TEST_CASE("what is consistent but hardly intended is a warning") {
  auto it = sound();
  auto &orders = it.Parsed.RoutesByDatabase["orders"];
  auto &status = it.Parsed.RoutesByDatabase["status"];
  SUBCASE("staleness below the target") { status.MaxStaleness = 199ms; }
  SUBCASE("no staleness") { status.MaxStaleness = 0ms; }
  SUBCASE("staleness of strict reads") { orders.MaxStaleness = 1ms; }
  SUBCASE("a target of 0") { orders.TargetLatency = 0ms; }
  SUBCASE("a negative priority") { orders.Priority = -1; }
  SUBCASE("an unused group") { it.Parsed.Groups["h"] = {.Name = "h"}; }
  SUBCASE("an organisation without keys") {
    it.Parsed.Organisations->at("beta").AccessKeys.clear();
  }
  SUBCASE("a burst that admits no operation") {
    it.Parsed.Organisations->at("acme").Limit->Burst = 0;
  }
  SUBCASE("public without organisations") {
    it.Parsed.Organisations.reset();
    orders.Public = true;
  }
  CHECK(onlyFinding(it).Level == Severity::Warning);
}

TEST_CASE("limits without which nothing runs are errors") {
  auto it = sound();
  SUBCASE("connections") { it.Parsed.Groups["g"].MaxConnections = 0; }
  SUBCASE("idle transactions") { it.Parsed.TransactionIdle = 0ms; }
  CHECK(onlyFinding(it).Level == Severity::Error);
}

TEST_CASE("a configuration without routes or keys serves nobody") {
  auto it = sound();
  it.Parsed.Organisations->clear();
  auto findings = checkConfiguration(it);
  CHECK(findings.size() == 2);
  it.Parsed.RoutesByDatabase["orders"].Public = true;
  CHECK(onlyFinding(it).Where == "route of database status");
  it = sound();
  it.Parsed.RoutesByDatabase.clear();
  findings = checkConfiguration(it);
  CHECK(findings.size() == 2); // Its group is not used either.
  CHECK(std::ranges::count(findings, Severity::Error, &Finding::Level) == 1);
}

TEST_CASE("keys are named by organisation and index, never printed") {
  auto it = sound();
  it.KeyIndices["acme"] = {0, 4};
  SUBCASE("held by two organisations") {
    it.Parsed.Organisations->at("beta").AccessKeys = {"x", "secret-2"};
    auto found = onlyFinding(it);
    CHECK(found == Finding{Severity::Error, "organisation beta, key 1",
                           "the same as key 4 of organisation acme, so it "
                           "identifies neither"});
  }
  SUBCASE("held twice by one") {
    it.Parsed.Organisations->at("acme").AccessKeys = {"secret-1", "secret-1"};
    auto found = onlyFinding(it);
    CHECK(found == Finding{Severity::Warning, "organisation acme, key 4",
                           "the same as its key 0"});
  }
}

TEST_CASE("replacing the configuration in force") {
  auto before = sound();
  auto after = sound();
  after.Parsed.Version = 8;
  CHECK(checkReplacement(before, after).empty());
  SUBCASE("a version that is not newer is an error") {
    after.Parsed.Version = 7;
    CHECK(only(checkReplacement(before, after)).Level == Severity::Error);
  }
  SUBCASE("access that opens or closes is a warning") {
    after.Parsed.Organisations.reset();
    CHECK(only(checkReplacement(before, after)).Level == Severity::Warning);
    CHECK(only(checkReplacement({after.Parsed, {}},
                                [&] {
                                  auto it = sound();
                                  it.Parsed.Version = 9;
                                  return it;
                                }()))
              .Level == Severity::Warning);
  }
  SUBCASE("a route that becomes public is a warning") {
    after.Parsed.RoutesByDatabase["orders"].Public = true;
    CHECK(only(checkReplacement(before, after)).Where ==
          "route of database orders");
  }
}

TEST_CASE("the changes list every field, and no key") {
  auto before = sound();
  auto after = sound();
  CHECK(listChanges(before, after).empty());
  after.Parsed.Version = 8;
  auto &route = after.Parsed.RoutesByDatabase["orders"];
  route.StatementTimeout = 800ms;
  route.Public = true;
  after.Parsed.RoutesByDatabase.erase("status");
  after.Parsed.Groups["h"] = {.Name = "h"};
  after.Parsed.Groups["g"].SyncReplicas = 1;
  auto &acme = after.Parsed.Organisations->at("acme");
  acme.AccessKeys = {"secret-2", "secret-9"};
  acme.Limit.reset();
  after.Parsed.TransactionIdle = 2s;
  auto changes = listChanges(before, after);
  using enum ChangeKind;
  CHECK(
      changes ==
      std::vector<Change>{
          {Changed, "version", "7 -> 8"},
          {Changed, "route of database orders",
           "time limit 1000 ms -> 800 ms, public no -> yes"},
          {Removed, "route of database status", ""},
          {Changed, "group g", "synchronous replicas 0 -> 1"},
          {Added, "group h", ""},
          {Changed, "organisation acme",
           "rate limit 100/s with burst 20 -> none, key 0 of the list in "
           "force removed, key 1 added"},
          {Changed, "limits", "idle-transaction timeout 3000 ms -> 2000 ms"}});
  for (const auto &it : changes)
    CHECK(it.Text.find("secret") == std::string::npos);
}

} // namespace
} // namespace baobabpin::configcheck
