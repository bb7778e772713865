/// Settings of the operators' endpoint, from the node's settings file.
#pragma once

#include <string>

namespace baobabpin::operators {

struct OperatorSettings {
  std::string Listen; ///< "IP:PORT"; port 0 picks a free one.
  /// Serves without TLS and lets every client change resources. When false, the
  /// three files are required.
  bool ClearText = false;
  std::string CaFile; ///< Authority of the operators' certificates, PEM.
  std::string CertificateFile;
  std::string KeyFile;
};

} // namespace baobabpin::operators
