#include "baobabpin/membership/MembershipService.h"

#include "baobabpin/membership/DatagramCodec.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace baobabpin::membership {
namespace {

MembershipSettings settingsOf(const std::string &node) {
  MembershipSettings settings;
  settings.Self.Node = node;
  settings.Self.Zone = "a";
  settings.Self.Host = node;
  settings.Self.GossipEndpoint = "127.0.0.1:0";
  settings.FleetSecret = "secret";
  return settings;
}

bool isStarted(kernel::Kernel &kernel) {
  return base::handleFailure(
      [&]() -> base::Result<bool> {
        BOOST_LEAF_CHECK(kernel.startAll());
        return true;
      },
      [](const base::Failure &) { return false; });
}

void sendRaw(const std::string &endpoint, const std::string &bytes) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(
      std::stoi(endpoint.substr(endpoint.rfind(':') + 1))));
  inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
  int fd = socket(AF_INET, SOCK_DGRAM, 0);
  sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr *>(&to),
         sizeof to);
  close(fd);
}

TEST_CASE("two nodes on loopback") {
  kernel::Kernel kernel("test");
  kernel.add(std::make_unique<MembershipService>(settingsOf("host-1/1")));
  REQUIRE(isStarted(kernel));
  auto &first = kernel.find<MembershipService>("membership");

  SUBCASE("they meet through a seed and exchange digests and hints") {
    kernel::Kernel other("other");
    auto settings = settingsOf("host-2/1");
    settings.Seeds = {first.self().GossipEndpoint};
    other.add(std::make_unique<MembershipService>(settings));
    REQUIRE(isStarted(other));
    auto &second = other.find<MembershipService>("membership");
    second.setDigestSource([] { return ConfigDigest{42, 7}; });
    second.setAppliedRevision(42);
    ConfigDigest received;
    std::uint64_t applied = 0;
    bool leaving = false;
    first.onDigest(
        [&](const base::NodeId &, const ConfigDigest &it) { received = it; });
    first.onHostLeaving([&] { leaving = true; });
    first.onAppliedRevision([&](const base::NodeId &, std::uint64_t it) {
      applied = it;
      kernel.loop().stop();
    });
    second.onChange([&](const MemberChange &) {
      second.sendHostLeaving("host-1/1");
      second.sendAppliedRevision("host-1/1");
    });
    // Both run in turns on this thread; the test ends when the hint arrives.
    auto turn = kernel.loop().runEvery(5ms, [&] {
      auto pause = other.loop().runAfter(1ms, [&] { other.loop().stop(); });
      other.loop().run();
    });
    kernel.loop().run();
    CHECK(received == ConfigDigest{42, 7});
    CHECK(applied == 42);
    CHECK(leaving);
    REQUIRE(first.find("host-2/1"));
    CHECK(first.find("host-2/1")->State == MemberState::Alive);
    // Logged events of the receiver come after those of the sender.
    CHECK(kernel.log().stamp() > other.log().eventsSince({}, 10).back().Stamp);
  }
  SUBCASE("forged and oversized datagrams are counted and ignored") {
    proto::Datagram datagram;
    datagram.set_from("host-9/1");
    MemberRecord intruder{.Node = "host-9/1", .GossipEndpoint = "127.0.0.1:9"};
    encodeRecord(intruder, *datagram.add_updates());
    const std::string &endpoint = first.self().GossipEndpoint;
    sendRaw(endpoint, encodeDatagram(datagram, "guess"));
    sendRaw(endpoint, "noise");
    datagram.set_target(std::string(MaxDatagramBytes, 'x'));
    sendRaw(endpoint, encodeDatagram(datagram, "secret"));
    datagram.clear_target();
    datagram.mutable_updates(0)->set_node("host-8/1");
    sendRaw(endpoint, encodeDatagram(datagram, "secret"));
    first.onChange([&](const MemberChange &) { kernel.loop().stop(); });
    kernel.loop().run();
    CHECK(first.members().size() == 1);
    CHECK(first.find("host-8/1"));
    std::string metrics = kernel.metrics().render();
    for (const char *reason : {"unauthenticated", "malformed", "oversized"})
      CHECK(metrics.find("baobabpin_membership_dropped_total{reason=\"" +
                         std::string(reason) + "\"} 1") != std::string::npos);
  }
}

TEST_CASE("wrong settings are refused") {
  auto settings = settingsOf("host-1/1");
  SUBCASE("a host name") { settings.Self.GossipEndpoint = "localhost:1"; }
  SUBCASE("an address of another host") {
    settings.Self.GossipEndpoint = "192.0.2.1:7000";
  }
  SUBCASE("no secret") { settings.FleetSecret.clear(); }
  kernel::Kernel kernel("test");
  kernel.add(std::make_unique<MembershipService>(settings));
  CHECK_FALSE(isStarted(kernel));
}

} // namespace
} // namespace baobabpin::membership
