#include "baobabpin/membership/DatagramCodec.h"

#include "baobabpin/membership/MemberList.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace baobabpin::membership {
namespace {

constexpr std::size_t MacBytes = 32;

std::string macOf(std::string_view bytes, std::string_view secret) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned int n = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(),
       mac.data(), &n);
  return {reinterpret_cast<const char *>(mac.data()), n};
}

DecodedDatagram faulty(DatagramFault fault) { return {std::nullopt, fault}; }

} // namespace

std::string_view datagramFaultName(DatagramFault fault) {
  switch (fault) {
  case DatagramFault::Oversized:
    return "oversized";
  case DatagramFault::Malformed:
    return "malformed";
  case DatagramFault::Unauthenticated:
    break;
  }
  return "unauthenticated";
}

std::string encodeDatagram(const proto::Datagram &datagram,
                           std::string_view secret) {
  proto::SignedDatagram envelope;
  envelope.set_datagram(datagram.SerializeAsString());
  envelope.set_mac(macOf(envelope.datagram(), secret));
  return envelope.SerializeAsString();
}

DecodedDatagram decodeDatagram(std::string_view bytes,
                               std::string_view secret) {
  if (bytes.size() > MaxDatagramBytes)
    return faulty(DatagramFault::Oversized);
  proto::SignedDatagram envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return faulty(DatagramFault::Malformed);
  std::string mac = macOf(envelope.datagram(), secret);
  if (envelope.mac().size() != MacBytes ||
      CRYPTO_memcmp(mac.data(), envelope.mac().data(), MacBytes) != 0)
    return faulty(DatagramFault::Unauthenticated);
  proto::Datagram datagram;
  if (!datagram.ParseFromString(envelope.datagram()) || datagram.from().empty())
    return faulty(DatagramFault::Malformed);
  return {std::move(datagram), std::nullopt};
}

} // namespace baobabpin::membership
