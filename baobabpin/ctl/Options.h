/// The command line of baobabpinctl.
#pragma once

#include "baobabpin/base/Errors.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabpin::ctl {

enum class Command {
  Apply,
  Get,
  List,
  Watch,
  Diff,
  Validate,
  Delete,
  Timeline,
  CheckConfig,
  Help,
  Version,
};

struct Options {
  Command Action = Command::Help;
  std::string Kind;
  std::string Name;
  std::vector<std::string> Files;

  /// The configuration to check, and the one in force or empty.
  std::string ConfigurationFile;
  std::string InForceFile;

  std::vector<std::string> Servers; ///< "IP:PORT", tried in this order.
  std::string CaFile;
  std::string CertificateFile;
  std::string KeyFile;
  bool ClearText = false;

  bool JsonOutput = false;
  bool UntilInForce = false;
  /// Limit of the whole command; a watch that does not wait for anything has
  /// none unless it is stated.
  std::chrono::milliseconds Timeout = std::chrono::seconds(30);
  bool TimeoutStated = false;
  std::optional<std::uint64_t> ExpectedVersion;

  std::string HtmlFile;
  std::chrono::milliseconds Since{0}; ///< Age of the oldest event; 0: any.
  std::uint32_t Limit = 0;            ///< 0: the node's default.
  bool LocalOnly = false;
};

/// Fails with BadRequest for a usage error.
base::Result<Options> parseOptions(int argc, const char *const *argv);

/// The text of --help.
std::string helpText();

} // namespace baobabpin::ctl
