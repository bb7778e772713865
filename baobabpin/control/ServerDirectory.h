/// The database servers, as their registrations tell.
///
/// A registration may lapse although its server lives, so a server stays for
/// GoneDelay after the first snapshot that lacks it; meanwhile it is leaving.
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
#include <vector>

namespace baobabpin::control {

/// The store puts lapsed entries back within two seconds of an outage.
inline constexpr std::chrono::milliseconds GoneDelay{2500};

class ServerDirectory {
public:
  explicit ServerDirectory(kernel::LineLog &log);

  /// All usable registrations, as of \p confirmedAt; what is not newer than the
  /// last confirmation is ignored. Returns whether the servers changed.
  bool adopt(std::vector<cluster::ServerRegistration> registrations,
             base::BootTime confirmedAt, base::BootTime now);
  /// As adopt() with the registrations of last time.
  bool confirm(base::BootTime confirmedAt, base::BootTime now);

  const std::map<base::ServerId, cluster::ServerRegistration> &servers() const {
    return Servers;
  }
  /// When a server's registration was first missing or draining.
  std::optional<base::BootTime> leavingSince(const base::ServerId &id) const;
  /// The last snapshot, without the servers that only wait for GoneDelay.
  const std::vector<cluster::ServerRegistration> &registrations() const {
    return Registrations;
  }
  /// Identifies registrations().
  std::uint64_t digest() const { return Digest; }
  base::BootTime confirmedAt() const { return ConfirmedAt; }

private:
  /// Brings Servers in line with Registrations.
  bool follow(base::BootTime now);

  kernel::LineLog &Log;
  std::vector<cluster::ServerRegistration> Registrations;
  std::uint64_t Digest = 0;
  base::BootTime ConfirmedAt{};
  std::map<base::ServerId, cluster::ServerRegistration> Servers;
  std::map<base::ServerId, base::BootTime> LeavingSince;
};

} // namespace baobabpin::control
