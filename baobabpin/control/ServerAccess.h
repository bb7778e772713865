/// What the services of this package need of the connections to the servers.
#pragma once

#include "baobabpin/cluster/MoveDecision.h"
#include "baobabpin/pooling/RunContact.h"
#include "baobabpin/sql/Statement.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace baobabpin::control {

/// Access to the servers, provided by the service that holds the connections to
/// them.
struct ServerAccess {
  /// Returns what this node has observed of the primary.
  std::function<cluster::PrimaryObservation(const base::GroupName &)> Observe;
  /// Runs a statement of the proxy itself. The callback gets nothing when no
  /// reply arrives within the timeout.
  std::function<void(const base::ServerId &, const std::string &line,
                     std::chrono::milliseconds timeout,
                     std::function<void(std::optional<sql::Reply>)>)>
      Query;
  /// Asks a run without a registration for its status (pooling/RunContact.h).
  std::function<void(const base::GroupName &, const cluster::ServerRun &,
                     std::chrono::milliseconds timeout,
                     std::function<void(const pooling::RunContact &)>)>
      Contact;
};

/// The time after which a status query is given up.
inline constexpr std::chrono::milliseconds StatusTimeout{250};

/// Returns the reported status, or nothing when the report is missing or
/// incomplete.
std::optional<sql::ServerStatus> statusOf(const std::optional<sql::Reply> &it);

} // namespace baobabpin::control
