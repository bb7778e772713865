/// What every node knows about servers, groups, nodes and routes.
#pragma once

#include "baobabpin/base/BootClock.h"
#include "baobabpin/base/Identifiers.h"
#include "baobabpin/base/LogPosition.h"
#include "baobabpin/http/HttpClient.h"
#include "baobabpin/sql/Statement.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace baobabpin::cluster {

/// How fresh a route's reads must be.
enum class Consistency {
  Strict,           ///< Every commit acknowledged before the read.
  BoundedStaleness, ///< Every commit older than the route's MaxStaleness.
  ReadYourWrites,   ///< As BoundedStaleness, and the session's own commits.
};

/// One database that clients can name, and how its statements are handled.
struct Route {
  std::string Name;
  std::string Database;
  base::GroupName Group;
  Consistency Reads = Consistency::Strict;
  /// Limits one statement, from its arrival to its reply.
  std::chrono::milliseconds StatementTimeout{1000};
  /// The latency that the clients of the route hope for.
  std::chrono::milliseconds TargetLatency{200};
  std::chrono::milliseconds MaxStaleness{0};
  /// 0 is the highest.
  int Priority = 0;
};

/// One database group of the configuration.
struct GroupConfig {
  base::GroupName Name;
  /// Connections that one server accepts from all nodes together.
  int MaxConnections = 16;
};

struct Configuration {
  std::uint64_t Version = 0;
  std::map<std::string, Route> RoutesByDatabase;
  std::map<base::GroupName, GroupConfig> Groups;
  /// A transaction that stays without a statement for this long may be ended.
  std::chrono::milliseconds TransactionIdle{3000};
};

/// A server's own registration.
struct ServerRegistration {
  base::ServerId Id;
  base::GroupName Group;
  http::Endpoint Address;
  base::AvailabilityZone Zone;
  bool Draining = false;
  /// Statements that the server works on at the same time.
  int Slots = 1;
  /// How the server sees itself; it may not know of a newer primary.
  sql::ServerRole Role = sql::ServerRole::Replica;

  bool operator==(const ServerRegistration &) const = default;
};

/// The agreed primary of a group; lives in the store.
struct GroupRecord {
  /// Grows with every change of the primary.
  std::uint64_t Epoch = 0;
  base::ServerId Primary;
  /// The term in which Primary began to lead; 0 for a group's first primary,
  /// whose term nobody had to know.
  base::TermNumber Term = 0;
  /// The end of Primary's log when it began to lead.
  base::LogPosition Base;
  /// A move to another primary is under way; nobody may use Primary.
  bool FailoverInProgress = false;
  /// Who moves it: "node/incarnation".
  std::string Mover;
  /// The fencing token of the move.
  std::uint64_t Token = 0;

  bool operator==(const GroupRecord &) const = default;
};

/// A node's registration; lives in the store without a lease, because leases
/// can end early without notice.
struct NodeRecord {
  /// Start of the process, in Unix milliseconds; tells two runs apart.
  std::uint64_t Incarnation = 0;
  /// First registration under this name, in Unix milliseconds.
  std::uint64_t AddedMs = 0;
  http::Endpoint Peer;
  /// Where the node accepts statements for servers whose connections it owns.
  http::Endpoint Relay;
  base::AvailabilityZone Zone;
  /// Processor share of the host, in thousandths of a core.
  int Capacity = 0;
  /// Set by another node that could not reach this one. A node that finds
  /// itself retired registers anew before it uses a primary again.
  bool Retired = false;

  bool operator==(const NodeRecord &) const = default;
};

/// Where a node runs, and how strong its host is.
struct NodePlacement {
  std::string Name;
  base::AvailabilityZone Zone;
  /// As in NodeRecord.
  int Capacity = 0;
};

/// The present holder of the promotion duty and the last fencing token.
struct DutyRecord {
  std::string Holder;
  std::uint64_t Token = 0;

  bool operator==(const DutyRecord &) const = default;
};

/// A value with its revision in the store.
template <typename T> struct Versioned {
  T Value;
  std::uint64_t Revision = 0;
};

} // namespace baobabpin::cluster
