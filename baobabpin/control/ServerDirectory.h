/// The database servers that have registered.
///
/// A registration may expire although its server is running. A server therefore
/// stays in the directory for RemovalDelay after the first snapshot without it.
/// During this time it counts as leaving.
///
/// A server that has begun to drain never serves again in the same run. If the
/// store is restored from an older copy, it may show the server as ready; the
/// directory then keeps it as draining.
///
/// \code
///   if (directory.adopt(registrations, sentAt, now))
///     refreshPools();
/// \endcode
#pragma once

#include "baobabpin/cluster/Types.h"
#include "baobabpin/kernel/LineLog.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace baobabpin::control {

/// The time for which a server without a registration is kept. The store
/// restores expired entries within two seconds of an outage.
inline constexpr std::chrono::milliseconds RemovalDelay{2500};

/// The time for which a draining run of a server is remembered. It is longer
/// than the age of the copies from which the store is restored.
inline constexpr std::chrono::minutes DrainMemory{5};

class ServerDirectory {
public:
  explicit ServerDirectory(kernel::LineLog &log);

  /// Adopts all valid registrations as of \p confirmedAt, unless that is not
  /// later than the last confirmation. Returns whether the servers have
  /// changed.
  bool adopt(std::vector<cluster::ServerRegistration> registrations,
             base::BootTime confirmedAt, base::BootTime now);
  /// Does the same as adopt() with the registrations of the last snapshot.
  bool confirm(base::BootTime confirmedAt, base::BootTime now);

  const std::map<base::ServerId, cluster::ServerRegistration> &servers() const {
    return Servers;
  }
  /// Returns when the server was first seen to be draining or to have no
  /// registration, or nothing if neither holds.
  std::optional<base::BootTime> leavingSince(const base::ServerId &id) const;
  /// Returns whether the server is draining and was never seen without. When it
  /// began to drain is not known then.
  bool wasFirstSeenDraining(const base::ServerId &id) const {
    return FirstSeenDraining.contains(id);
  }
  /// Returns the last snapshot, without servers that are kept only for
  /// RemovalDelay.
  const std::vector<cluster::ServerRegistration> &registrations() const {
    return Registrations;
  }
  /// Returns a hash that identifies registrations().
  std::uint64_t digest() const { return Digest; }
  base::BootTime confirmedAt() const { return ConfirmedAt; }

private:
  /// A run of a server that was seen to be draining.
  struct DrainingRun {
    std::int64_t StartedMs = 0;
    base::BootTime LastSeen{};
  };

  /// Marks the servers as draining whose run was seen to be draining before.
  void restoreDraining(std::vector<cluster::ServerRegistration> &registrations,
                       base::BootTime now);
  /// Updates Servers from Registrations. Returns whether Servers has changed.
  bool updateServers(base::BootTime now);

  kernel::LineLog &Log;
  std::vector<cluster::ServerRegistration> Registrations;
  std::uint64_t Digest = 0;
  base::BootTime ConfirmedAt{};
  std::map<base::ServerId, cluster::ServerRegistration> Servers;
  std::map<base::ServerId, base::BootTime> LeavingSince;
  std::set<base::ServerId> FirstSeenDraining;
  std::map<base::ServerId, DrainingRun> DrainingRuns;
};

} // namespace baobabpin::control
