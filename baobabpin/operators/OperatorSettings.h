/// Settings of the operators' endpoint.
///
/// \code
///   {"listen": "127.0.0.1:7443", "ca": "ca.pem", "certificate": "node.pem",
///    "key": "node.key"}
/// \endcode
#pragma once

#include "baobabpin/base/Errors.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace baobabpin::operators {

struct OperatorSettings {
  std::string Listen; ///< "IP:PORT"; port 0 picks a free one.
  /// Serves without TLS and lets every client change resources.
  bool ClearText = false;
  std::string CaFile;
  std::string CertificateFile;
  std::string KeyFile;
};

/// Fails with InvalidSettings naming the key: unknown or missing keys, wrong
/// types, and clear text together with certificates.
base::Result<OperatorSettings>
parseOperatorSettings(const nlohmann::json &value);

} // namespace baobabpin::operators
