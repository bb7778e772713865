/// Signed datagrams: protobuf and HMAC-SHA256 with the fleet's secret.
///
/// \code
///   std::string bytes = encodeDatagram(datagram, secret);
///   auto decoded = decodeDatagram(bytes, secret);
/// \endcode
#pragma once

#include "baobabpin/proto/membership.pb.h"

#include <optional>
#include <string>
#include <string_view>

namespace baobabpin::membership {

/// Why a received datagram is dropped.
enum class DatagramFault {
  Oversized,       ///< Beyond MaxDatagramBytes.
  Malformed,       ///< Not a signed datagram, or without a sender.
  Unauthenticated, ///< The code does not match.
};

/// "oversized", "malformed" or "unauthenticated".
std::string_view datagramFaultName(DatagramFault fault);

std::string encodeDatagram(const proto::Datagram &datagram,
                           std::string_view secret);

/// Exactly one of both is set.
struct DecodedDatagram {
  std::optional<proto::Datagram> Datagram;
  std::optional<DatagramFault> Fault;
};

/// The content is parsed only after its code was verified.
DecodedDatagram decodeDatagram(std::string_view bytes, std::string_view secret);

} // namespace baobabpin::membership
