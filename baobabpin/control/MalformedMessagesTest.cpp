/// Feeds damaged messages to the decoders of calls between nodes, of the
/// store's replies and of the documents in the store. A decoder returns a value
/// or nothing; it never throws.

#include "baobabpin/control/PeerCalls.h"
#include "baobabpin/distribution/PatchTransfer.h"
#include "baobabpin/relay/Messages.h"
#include "platform/Documents.h"
#include "platform/Settings.h"
#include "platform/StoreCalls.h"
#include "platform/Wire.h"

#include <doctest/doctest.h>

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace baobabpin::control {
namespace {

using namespace std::chrono_literals;

constexpr int MutationsPerSample = 4000;
constexpr unsigned Seed = 20261204;

struct Decoder {
  const char *Name;
  std::function<void(const std::string &)> Decode;
};

http::HttpReply replyWith(int status, const std::string &body) {
  return {http::Transfer::Completed, status, body};
}

std::vector<Decoder> decoders() {
  return {
      {"sync request", [](const auto &it) { (void)decodeSyncRequest(it); }},
      {"sync reply", [](const auto &it) { (void)decodeSyncReply(it); }},
      {"revocation", [](const auto &it) { (void)decodeRevokeRequest(it); }},
      {"records request",
       [](const auto &it) { (void)decodeRecordsRequest(it); }},
      {"records reply", [](const auto &it) { (void)decodeRecordsReply(it); }},
      {"evidence", [](const auto &it) { (void)decodeEvidenceReply(it); }},
      {"evidence request",
       [](const auto &it) { (void)decodeEvidenceRequest(it); }},
      {"view", [](const auto &it) { (void)cluster::decodeView(it); }},
      {"group change",
       [](const auto &it) {
         cluster::ClusterView view;
         cluster::applyGroupChange(view, it);
       }},
      {"piece", [](const auto &it) { (void)distribution::decodePiece(it); }},
      {"piece request",
       [](const auto &it) { (void)distribution::decodePieceRequest(it); }},
      {"relay request", [](const auto &it) { (void)relay::decodeRequest(it); }},
      {"relay reply", [](const auto &it) { (void)relay::decodeReply(it); }},
      {"range",
       [](const auto &it) { (void)platform::parseRange(replyWith(200, it)); }},
      {"change",
       [](const auto &it) { (void)platform::parseChange(replyWith(200, it)); }},
      {"changed entry",
       [](const auto &it) {
         (void)platform::parseReadIfChanged(replyWith(412, it), "op/config");
       }},
      {"configuration",
       [](const auto &it) { (void)platform::parseConfiguration(it); }},
      {"registration",
       [](const auto &it) {
         (void)platform::parseRegistration("servers/s1", it);
       }},
      {"client message",
       [](const auto &it) { (void)platform::parseClientMessage(it); }},
      {"statement", [](const auto &it) { (void)platform::parseStatement(it); }},
      {"status row",
       [](const auto &it) { (void)platform::parseStatusRow(it); }},
      {"settings",
       [](const auto &it) {
         base::handleFailure(
             [&]() -> base::Result<bool> {
               BOOST_LEAF_CHECK(platform::parseHostSettings(it));
               return true;
             },
             [](const base::Failure &) { return false; });
       }},
  };
}

/// Returns valid messages of all kinds, from which the damaged ones are made.
std::vector<std::string> samples() {
  SyncReply reply;
  reply.Servers.emplace();
  reply.Servers->push_back({"s1", "g", {"10.0.0.1", 70}, "a", false, 2});
  reply.Positions["g"] = {1, {2, 3}, 4ms};
  cluster::ClusterView view;
  view.Groups["g"].Value = {.Epoch = 3, .Primary = "s1"};
  view.Nodes["n1"].Value = {.Peer = {"10.0.0.1", 70},
                            .Relay = {"10.0.0.1", 71}};
  reply.View = cluster::encodeView(view);
  return {
      encode(SyncRequest{.Node = "n1"}),
      encode(reply),
      encode(RevokeRequest{"g", 3, 1, cluster::encodeGroupChange(view, "g")}),
      encode(EvidenceReply{true, {{"g", {5ms, false}}}}),
      encode(EvidenceRequest{{{"g", true}}}),
      encode(RecordsRequest{2}),
      encode(RecordsReply{true, {{"g", {3, false}}}}),
      cluster::encodeView(view),
      cluster::encodeGroupChange(view, "g"),
      distribution::encode(distribution::PieceRequest{1, 2, 3}),
      distribution::encode(
          distribution::Piece{{1, 2, {3, 4}, 5, 6, 7}, 0, "bytes"}),
      relay::encode(relay::Request{}),
      relay::encode(relay::Reply{}),
      R"({"items":[{"Key":"op/config","Value":"e30=","Revision":7}],)"
      R"("HasMore":false,"AtRevision":9,"Revision":9})",
      R"({"Version":3,"Routes":[{"Name":"r","DatabaseName":"d","Service":"g",)"
      R"("Kind":"primary","TimeoutMs":900,"Priority":1}],"Services":)"
      R"([{"Name":"g","MaxConnections":16}],"Limits":{"TransactionIdleMs":5}})",
      R"({"Service":"g","Address":"10.0.0.1:70","Zone":"a","Slots":2,)"
      R"("State":"ready","DatabaseRole":"replica","Sequence":4,"born":5})",
      "QUERY 5c0e7a21d94b36f8 EXECUTE s1 1a4 xkqpwnzd",
      "replica 3 3.1209 0 12 2 17",
      R"({"NodeName":"n","IpAddress":"10.0.0.1","Zone":"a","Limits":)"
      R"({"CpuShare":0.25,"LinkMbps":20},"Seeds":["10.0.0.2:80"],)"
      R"("InternalPortRange":[7440,7480],"Bounds":{"GraceS":6}})",
  };
}

/// Replaces, removes or inserts a few bytes, or a value of another type.
std::string damage(std::string text, std::minstd_rand &random) {
  static const std::vector<std::string> Values{
      "null",     "-1",   "1e300", "\"x\"",
      "[]",       "{}",   "true",  "18446744073709551616",
      "\xff\xfe", "\r\n", ":",     ""};
  int changes = 1 + static_cast<int>(random() % 3);
  for (int n = 0; n < changes && !text.empty(); ++n) {
    std::size_t at = random() % text.size();
    std::size_t length = random() % 6;
    switch (random() % 3) {
    case 0:
      text[at] = static_cast<char>(random());
      break;
    case 1:
      text.erase(at, length);
      break;
    default:
      text.replace(at, length, Values[random() % Values.size()]);
      break;
    }
  }
  return text;
}

TEST_CASE("no decoder throws on a damaged message") {
  std::minstd_rand random(Seed);
  for (const auto &sample : samples()) {
    for (int n = 0; n < MutationsPerSample; ++n) {
      std::string text = n == 0 ? sample : damage(sample, random);
      for (const auto &it : decoders()) {
        CAPTURE(std::string(it.Name));
        CAPTURE(text);
        CHECK_NOTHROW(it.Decode(text));
      }
    }
  }
}

TEST_CASE("a peer passes on no server with an invalid name or address") {
  // Guards against entries of other writers that a peer of an earlier program
  // version accepts and passes on.
  SyncReply reply;
  reply.Servers.emplace();
  cluster::ServerRegistration valid{"s1", "g", {"10.0.0.1", 70}, "a", false, 2};
  reply.Servers->push_back(valid);
  auto add = [&](auto change) {
    reply.Servers->push_back(valid);
    change(reply.Servers->back());
  };
  add([](auto &it) { it.Id = "s2\r\nother message"; });
  add([](auto &it) { it.Group = "g\nx"; });
  add([](auto &it) { it.Zone = ""; });
  add([](auto &it) { it.Address = {"300.1.2.3", 80}; });
  add([](auto &it) { it.Address.Port = 0; });
  auto decoded = decodeSyncReply(encode(reply));
  REQUIRE(decoded);
  REQUIRE(decoded->Servers);
  CHECK(*decoded->Servers == std::vector{valid});
}

TEST_CASE("an age of a peer's reply cannot extend a lease") {
  SyncReply reply;
  reply.ViewAge = 5ms;
  REQUIRE(decodeSyncReply(encode(reply)));
  SUBCASE("a negative age is rejected") {
    reply.ViewAge = -1000ms;
    CHECK_FALSE(decodeSyncReply(encode(reply)));
  }
  SUBCASE("an age that overflows is rejected") {
    reply.StoreAge = std::chrono::milliseconds::max();
    CHECK_FALSE(decodeSyncReply(encode(reply)));
  }
  SUBCASE("the age of a view that was never confirmed is accepted") {
    reply.ViewAge = std::chrono::hours(24 * 365);
    CHECK(decodeSyncReply(encode(reply)));
  }
}

TEST_CASE("messages of a program version that does not know of eras are read") {
  auto sync = decodeSyncRequest(
      R"({"node":"n1","view_revision":7,"view_digest":1,"servers_digest":2,)"
      R"("change":""})");
  REQUIRE(sync);
  CHECK(sync->ViewPosition == base::StorePosition{0, 7});
  auto revoke = decodeRevokeRequest(R"({"group":"g","epoch":3,"change":""})");
  REQUIRE(revoke);
  CHECK(revoke->Era == 0);
}

TEST_CASE("an evidence reply says that the node does not know") {
  // Guards against a late node whose reply counts against a primary that runs,
  // and against a changed message where no node is late.
  EvidenceReply reply{true, {{"g", {700ms, false, true}}}};
  auto decoded = decodeEvidenceReply(encode(reply));
  REQUIRE(decoded);
  CHECK(decoded->Groups.at("g").Unsure);
  reply.Groups.at("g").Unsure = false;
  CHECK(encode(reply).find("unsure") == std::string::npos);
  CHECK_FALSE(decodeEvidenceReply(encode(reply))->Groups.at("g").Unsure);
}

} // namespace
} // namespace baobabpin::control
