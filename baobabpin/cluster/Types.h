/// Records that all nodes share: routes, groups, servers and nodes.
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

/// The guarantee that the reads of a route get.
enum class Consistency {
  Strict,           ///< Sees every commit acknowledged before the read.
  BoundedStaleness, ///< Sees every commit older than MaxStaleness.
  ReadYourWrites,   ///< As BoundedStaleness, plus the session's own commits.
};

/// A database that clients can name, and how its statements are handled.
struct Route {
  std::string Name;
  std::string Database;
  base::GroupName Group;
  Consistency Reads = Consistency::Strict;
  /// Limits the time from the arrival of a statement to its reply.
  std::chrono::milliseconds StatementTimeout{1000};
  /// The latency that the clients of the route ask for; it is not a limit.
  std::chrono::milliseconds TargetLatency{200};
  /// Under bounded staleness, a read may miss commits that are younger than
  /// this.
  std::chrono::milliseconds MaxStaleness{0};
  /// 0 is the highest priority.
  int Priority = 0;
  /// Clients need no access key, also where the configuration has
  /// organisations.
  bool Public = false;
};

/// The rate limit of an organisation, counted in operations over all nodes. An
/// operation is a transaction or a statement outside of one.
struct RateLimit {
  /// Operations per second.
  double Rate = 0;
  /// The operations that may come at once after a quiet period.
  double Burst = 0;

  bool operator==(const RateLimit &) const = default;
};

/// An organisation whose callers use the proxy.
struct Organisation {
  base::OrganisationName Name;
  std::vector<std::string> AccessKeys;
  /// Empty if the organisation may send any number of operations.
  std::optional<RateLimit> Limit;
};

/// The settings of one database group: a primary and its replicas.
struct GroupConfig {
  base::GroupName Name;
  /// The number of connections that one server accepts from all nodes together.
  int MaxConnections = 16;
  /// The number of replicas that have received a commit before the primary
  /// acknowledges it.
  int SyncReplicas = 0;
};

/// The configuration that an operator has put in force.
struct Configuration {
  std::uint64_t Version = 0;
  std::map<std::string, Route> RoutesByDatabase;
  std::map<base::GroupName, GroupConfig> Groups;
  /// Empty unless the operator has declared organisations. If it is not empty,
  /// clients of routes that are not public need an access key, also when it
  /// holds no organisation.
  std::optional<std::map<base::OrganisationName, Organisation>> Organisations;
  /// A transaction may be aborted when it runs no statement for this long.
  std::chrono::milliseconds TransactionIdle{3000};
  /// A client connection is closed unless its client opens a session within
  /// this time.
  std::chrono::milliseconds HeaderTimeout{3000};
};

/// The registration that a database server writes about itself.
struct ServerRegistration {
  base::ServerId Id;
  base::GroupName Group;
  http::Endpoint Address;
  base::AvailabilityZone Zone;
  bool Draining = false;
  /// The number of statements that the server runs concurrently.
  int Slots = 1;
  /// The role that the server reports. A server that missed a failover may
  /// still report to be the primary.
  sql::ServerRole Role = sql::ServerRole::Replica;
  /// The start of the server's process, in Unix milliseconds, or 0 if it does
  /// not report it. It distinguishes two runs under the same Id.
  std::int64_t StartedMs = 0;

  bool operator==(const ServerRegistration &) const = default;
};

/// Whether the names of \p it can be fields of a message to the server, and a
/// connection can be opened to its address. Any process can write a
/// registration, so this is checked for each one that another process supplies.
bool isUsable(const ServerRegistration &it);

/// Whether the run that started at \p startedMs may be the one that \p expected
/// names. A start of 0 is not known.
constexpr bool maybeSameRun(std::int64_t startedMs, std::int64_t expected) {
  return startedMs == 0 || expected == 0 || startedMs == expected;
}

/// One run of a database server. A server that starts again under its ID has
/// none of the commits that it held before.
struct ServerRun {
  base::ServerId Id;
  /// The same as ServerRegistration::StartedMs.
  std::int64_t StartedMs = 0;
  http::Endpoint Address;
  /// The run was draining when it was last seen. Once it has ended, the server
  /// that takes over its address has its log.
  bool Draining = false;

  bool operator==(const ServerRun &) const = default;
};

/// The beginning of a term.
struct TermStart {
  base::TermNumber Term = 0;
  /// The end of the primary's log when it began to lead in Term. The promotion
  /// discarded all later entries of earlier terms.
  base::LogPosition Position;

  bool operator==(const TermStart &) const = default;
};

/// Returns the first of \p terms, which are in ascending order, that is later
/// than \p term, or null if there is none.
const TermStart *termAfter(const std::vector<TermStart> &terms,
                           base::TermNumber term);

/// The number of earlier terms that a record remembers.
inline constexpr std::size_t MaxEarlierTerms = 8;
/// The number of holders of commits that a record remembers.
inline constexpr std::size_t MaxHolders = 32;

/// The primary of a group on which all nodes agree. The record is kept in the
/// store.
struct GroupRecord {
  /// Increases with every change of the primary.
  std::uint64_t Epoch = 0;
  base::ServerId Primary;
  /// The run of Primary that leads (ServerRegistration::StartedMs), or 0 if it
  /// is not known.
  std::int64_t PrimaryStartedMs = 0;
  /// The term in which Primary began to lead. It is 0 for a group's first
  /// primary, whose term is not needed because there is no earlier one.
  base::TermNumber Term = 0;
  /// The end of Primary's log when it began to lead.
  base::LogPosition StartPosition;
  /// The terms before Term whose beginnings are known, in ascending order.
  std::vector<TermStart> EarlierTerms;
  /// The runs of servers that may hold acknowledged commits
  /// (cluster/CommitHolders.h). Empty if they are not known.
  std::optional<std::vector<ServerRun>> Holders;
  /// A failover to another primary is in progress. No node may use Primary.
  bool FailoverInProgress = false;
  /// The node that runs the failover, in the form "node/incarnation".
  std::string Coordinator;
  /// The fencing token of the failover.
  std::uint64_t Token = 0;

  bool operator==(const GroupRecord &) const = default;
};

/// The registration of a node. It is kept in the store without a lease, because
/// the store may end a lease early without notice.
struct NodeRecord {
  /// The start of the process, in Unix milliseconds. It distinguishes two runs
  /// of a node.
  std::uint64_t Incarnation = 0;
  /// The first registration under this name, in Unix milliseconds.
  std::uint64_t AddedMs = 0;
  /// The endpoint that serves the calls of other nodes.
  http::Endpoint Peer;
  /// The endpoint at which the node accepts statements of other nodes for the
  /// servers whose connections it owns.
  http::Endpoint Relay;
  base::AvailabilityZone Zone;
  /// The node's share of the host's processors, in thousandths of a core.
  int Capacity = 0;
  /// The time after the last confirmation of its view for which the node uses
  /// primaries, at most. A failover waits this long for the node.
  std::chrono::milliseconds Lease{0};
  /// Set by another node that could not reach this one. A node that finds
  /// itself retired registers again before it uses a primary.
  bool Retired = false;

  bool operator==(const NodeRecord &) const = default;
};

/// The availability zone and the capacity of a node.
struct NodePlacement {
  std::string Name;
  base::AvailabilityZone Zone;
  /// The same as NodeRecord::Capacity.
  int Capacity = 0;
};

/// The node that may currently request promotions from the platform, and the
/// last fencing token that was issued. The platform calls this permission the
/// promotion duty.
struct DutyRecord {
  std::string Holder;
  std::uint64_t Token = 0;

  bool operator==(const DutyRecord &) const = default;
};

/// A record and the revision of the store in which it was written.
template <typename T> struct Versioned {
  T Value;
  std::uint64_t Revision = 0;
};

} // namespace baobabpin::cluster
