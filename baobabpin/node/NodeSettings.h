/// The settings of a node, read from a JSON file. The whole file is validated
/// before any service starts.
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
  /// Disables TLS on the operators' endpoint. The paths below are then not
  /// read.
  bool ClearText = false;
  /// Path of the node's certificate.
  std::string Certificate;
  /// Path of the node's private key.
  std::string Key;
  /// Path of the certificate of the authority that signs the operators'
  /// certificates.
  std::string Authority;
};

struct NodeSettings {
  /// Name of the node. The node ID consists of the name and the start time of
  /// the process.
  std::string Node;
  /// Name of the machine; equal to Node unless it is set.
  std::string Host;
  base::AvailabilityZone Zone;
  /// Name of a customer, intended only for logs. Each request names its own
  /// customer.
  std::string Customer;
  /// Listening address for requests of callers.
  http::Endpoint Callers;
  /// Listening address for gRPC calls of other nodes.
  http::Endpoint Peers;
  /// Listening address for gossip datagrams of the membership protocol.
  http::Endpoint Gossip;
  /// Listening address for operators.
  http::Endpoint Operators;
  /// Address of the platform's store.
  http::Endpoint Store;
  /// Gossip endpoints of nodes through which this node joins the fleet.
  std::vector<std::string> Seeds;
  /// Key shared by all nodes that authenticates gossip datagrams.
  std::string FleetSecret;
  session::KeyRing SessionKeys;
  TlsSettings Tls;
  /// Selects the simple policy that serves for comparisons: all reads go to the
  /// primary, and a failover starts after a fixed time without a reply.
  bool Baseline = false;
  /// Name of the replica chooser; see routing::findChooser.
  std::string Chooser = "least_pending";
  /// Maximum duration of a drain that a signal or a leaving host starts.
  std::chrono::milliseconds StopTimeout{30'000};
};

/// Parses JSON settings. Fails with InvalidSettings; the detail names the
/// path of the invalid key, if there is one, and the accepted values of a known
/// key.
base::Result<NodeSettings> parseSettings(const std::string &text);
/// Reads and parses the file at \p path.
base::Result<NodeSettings> readSettings(const std::string &path);

} // namespace baobabpin::node
