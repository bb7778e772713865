#include "baobabpin/membership/DatagramCodec.h"

#include "baobabpin/membership/MemberList.h"

#include <doctest/doctest.h>

namespace baobabpin::membership {
namespace {

TEST_CASE("only datagrams of the fleet are read") {
  proto::Datagram datagram;
  datagram.set_from("host-1/1");
  datagram.set_sequence(7);
  std::string bytes = encodeDatagram(datagram, "secret");
  REQUIRE(decodeDatagram(bytes, "secret").Datagram->sequence() == 7);

  SUBCASE("a datagram signed with another secret is refused") {
    CHECK(decodeDatagram(bytes, "guess").Fault ==
          DatagramFault::Unauthenticated);
  }
  SUBCASE("any flipped bit is noticed") {
    for (std::size_t n = 0; n < bytes.size(); ++n) {
      std::string forged = bytes;
      forged[n] = static_cast<char>(forged[n] ^ 1);
      CHECK(decodeDatagram(forged, "secret").Fault.has_value());
    }
  }
  SUBCASE("any truncation is noticed") {
    for (std::size_t n = 0; n < bytes.size(); ++n)
      CHECK(decodeDatagram(bytes.substr(0, n), "secret").Fault.has_value());
  }
  SUBCASE("an oversized datagram is refused before its code is computed") {
    datagram.set_target(std::string(MaxDatagramBytes, 'x'));
    CHECK(decodeDatagram(encodeDatagram(datagram, "secret"), "secret").Fault ==
          DatagramFault::Oversized);
  }
  SUBCASE("a signed datagram without a sender is malformed") {
    datagram.clear_from();
    CHECK(decodeDatagram(encodeDatagram(datagram, "secret"), "secret").Fault ==
          DatagramFault::Malformed);
  }
}

} // namespace
} // namespace baobabpin::membership
