/// The settings file of a node: JSON, checked completely before anything
/// starts.
///
/// \code
///   auto settings = BOOST_LEAF_TRY(readSettings("node.json"));
/// \endcode
#pragma once

#include "baobabpin/base/Errors.h"
#include "baobabpin/base/Identifiers.h"
#include "baobabpin/http/HttpClient.h"
#include "baobabpin/session/Token.h"

#include <chrono>
#include <string>
#include <vector>

namespace baobabpin::node {

struct TlsSettings {
  bool ClearText = false;
  std::string Certificate;
  std::string Key;
  std::string Authority;
};

struct NodeSettings {
  std::string Node;
  std::string Host;
  base::AvailabilityZone Zone;
  /// Only for the log; callers name their customer themselves.
  std::string Customer;
  http::Endpoint Callers;
  http::Endpoint Peers;
  http::Endpoint Gossip;
  http::Endpoint Operators;
  http::Endpoint Store;
  std::vector<std::string> Seeds;
  std::string FleetSecret;
  session::KeyRing SessionKeys;
  TlsSettings Tls;
  bool Baseline = false;
  std::string Chooser = "least_pending";
  /// A node that is told to stop exits after this at the latest.
  std::chrono::milliseconds StopDeadline{30'000};
};

/// Fails with InvalidSettings; the detail names the key's path and what would
/// be accepted.
base::Result<NodeSettings> parseSettings(const std::string &text);
base::Result<NodeSettings> readSettings(const std::string &path);

} // namespace baobabpin::node
