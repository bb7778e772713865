#include "baobabpin/node/NodeSettings.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

namespace baobabpin::node {
namespace {

using nlohmann::json;

json validSettings() {
  return json::parse(R"({
    "node": "host-1", "host": "host-1", "availability_zone": "kotte",
    "customer": "lankapura",
    "listen": {"callers": "127.0.1.1:7100", "peers": "127.0.1.1:7101",
               "gossip": "127.0.1.1:7102", "operators": "127.0.1.1:7103"},
    "store": "127.0.3.1:7000", "seeds": ["127.0.1.2:7102"],
    "fleet_secret": "000102030405060708090a0b0c0d0e0f",
    "session_keys": [{"id": 1, "secret": "000102030405060708090a0b0c0d0e0f"}],
    "tls": {"clear_text": true}})");
}

std::string errorOf(const json &settings) {
  return base::handleFailure(
      [&]() -> base::Result<std::string> {
        BOOST_LEAF_CHECK(parseSettings(settings.dump()));
        return std::string();
      },
      [](const base::Failure &failure) { return failure.Detail; });
}

TEST_CASE("invalid settings are rejected with the path of the invalid key") {
  json settings = validSettings();
  CHECK(errorOf(settings).empty());

  SUBCASE("a misspelled key is rejected as unknown") {
    settings["listen"]["caller"] = "127.0.0.1:1";
    CHECK(errorOf(settings) == "listen.caller: unknown key");
  }
  SUBCASE("a port above 65535 is rejected") {
    settings["store"] = "127.0.0.1:70000";
    CHECK(errorOf(settings).starts_with("store: must be"));
  }
  SUBCASE("a secret of fewer than 32 hex digits is rejected") {
    settings["session_keys"][0]["secret"] = "0011";
    CHECK(errorOf(settings).starts_with("session_keys[0].secret: must be"));
  }
  SUBCASE("without clear_text the TLS files are required") {
    settings["tls"] = json::object();
    CHECK(errorOf(settings).starts_with("tls.certificate: must be"));
  }
  SUBCASE("an unknown replica chooser is rejected") {
    settings["policy"] = {{"chooser", "best"}};
    CHECK(errorOf(settings).starts_with("policy.chooser: must be"));
  }
}

} // namespace
} // namespace baobabpin::node
