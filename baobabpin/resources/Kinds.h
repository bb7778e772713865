/// The resource kinds that operators declare, as typed structs.
///
/// \code
///   BOOST_LEAF_AUTO(spec, parseSpec(ResourceKind::DatabaseGroup, json));
///   const auto &group = std::get<DatabaseGroup>(spec);
/// \endcode
#pragma once

#include "baobabpin/base/Identifiers.h"

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace baobabpin::resources {

/// In the order in which a set of resources is applied: a resource may refer
/// to resources of earlier kinds only.
enum class ResourceKind {
  DatabaseGroup,
  SessionAdmission,
  StalenessAllowance,
  PlannedStop,
};

inline constexpr std::array AllKinds = {
    ResourceKind::DatabaseGroup, ResourceKind::SessionAdmission,
    ResourceKind::StalenessAllowance, ResourceKind::PlannedStop};

/// "DatabaseGroup", "SessionAdmission" and so on.
std::string_view kindName(ResourceKind kind);
std::optional<ResourceKind> parseKind(std::string_view name);

/// One upstream database server of a group.
struct ServerSpec {
  base::ServerId Id;
  std::string Address; ///< "IP:PORT".
  base::AvailabilityZone Zone;

  bool operator==(const ServerSpec &) const = default;
};

/// A replicated group of upstream servers that holds a part of a database.
struct DatabaseGroup {
  std::string Customer;
  std::string Database;
  std::vector<ServerSpec> Servers; ///< 1 to 7.
  std::int64_t Slots = 1;          ///< Statements at once on a server, 1..64.
  std::int64_t Connections = 3;    ///< Limit of one server, 3..10000.

  /// The first server's zone; group owners are chosen from it first.
  const base::AvailabilityZone &homeZone() const { return Servers[0].Zone; }
  bool operator==(const DatabaseGroup &) const = default;
};

enum class Priority { Urgent, High, Normal, Low };

std::string_view priorityName(Priority priority);
std::optional<Priority> parsePriority(std::string_view name);

/// A request class that a database admits.
struct AdmittedClass {
  std::string Name;
  Priority ClassPriority = Priority::Normal;
  /// Used when the request states none; 10 ms to 60 s.
  std::chrono::milliseconds Timeout{};

  bool operator==(const AdmittedClass &) const = default;
};

/// The sessions and request classes that a customer's database admits.
struct SessionAdmission {
  std::string Customer;
  std::string Database;
  std::vector<AdmittedClass> Classes; ///< 1 to 64, unique names.
  std::int64_t MaxSessions = 1;       ///< 1..1000000.

  bool operator==(const SessionAdmission &) const = default;
};

/// The greatest age that reads of a class may ask for. A request that asks for
/// more is served data at most this old.
struct StalenessAllowance {
  std::string Customer;
  std::string Database;
  std::string Class;
  std::chrono::milliseconds MaxAge{}; ///< 0 to 1 h.

  bool operator==(const StalenessAllowance &) const = default;
};

enum class StopTarget { Node, Server, Primary };

std::string_view stopTargetName(StopTarget target);
std::optional<StopTarget> parseStopTarget(std::string_view name);

/// A graceful stop of a proxy node or server, or the handover of a primary.
struct PlannedStop {
  StopTarget TargetKind = StopTarget::Node;
  /// Node ID or host, server ID, or group name, by TargetKind.
  std::string Target;
  std::chrono::seconds Deadline{}; ///< 1 s to 1 h.

  bool operator==(const PlannedStop &) const = default;
};

/// Alternatives in the order of ResourceKind.
using Spec = std::variant<DatabaseGroup, SessionAdmission, StalenessAllowance,
                          PlannedStop>;

inline ResourceKind kindOf(const Spec &spec) {
  return static_cast<ResourceKind>(spec.index());
}

/// What identifies a resource; ordered by kind, then name.
struct ResourceId {
  ResourceKind Kind = ResourceKind::DatabaseGroup;
  std::string Name;

  auto operator<=>(const ResourceId &) const = default;
};

/// "DatabaseGroup/lending-ledger-0".
std::string formatResourceId(const ResourceId &id);

} // namespace baobabpin::resources
