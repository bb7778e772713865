/// What a client may do, by the organisational units of its certificate.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace baobabpin::operators {

enum class Right {
  None,   ///< Every request is refused.
  Read,   ///< Unit "viewer".
  Change, ///< Unit "operator".
};

/// The identity in a client certificate's subject.
struct ClientIdentity {
  std::string CommonName;
  std::vector<std::string> Units;
};

/// Reads a certificate in PEM; empty fields when it cannot be read. The
/// certificate's signature has been verified by the TLS handshake.
ClientIdentity readIdentity(std::string_view pem);

/// The highest right that any unit grants.
Right rightOf(const ClientIdentity &identity);

} // namespace baobabpin::operators
