/// Decides whether a client may use a route, and for which organisation its
/// statements run.
///
/// Load pattern: an operator withdraws an access key while clients use it, and
/// some nodes cannot learn of that, because the store or the way to it has
/// failed. Such a node must refuse the key before the operator may rely on its
/// withdrawal, and must not refuse it sooner than necessary.
#pragma once

#include "baobabpin/base/BootClock.h"
#include "baobabpin/base/Identifiers.h"
#include "baobabpin/cluster/Types.h"
#include "baobabpin/organisation/AccessKeys.h"

#include <chrono>
#include <optional>
#include <string_view>

namespace baobabpin::organisation {

enum class Access {
  Granted,
  /// The key identifies no organisation.
  Denied,
  /// This node does not know whether the key is valid, because its
  /// configuration may have been replaced.
  Unconfirmed,
};

std::string_view accessName(Access access);

struct Authorization {
  Access Result = Access::Granted;
  /// The organisation for which statements run. Empty for a public route, and
  /// if the configuration declares no organisations.
  base::OrganisationName Organisation;

  bool operator==(const Authorization &) const = default;
};

/// The access keys of the configuration in force, and how recent it is.
struct AuthorizationState {
  /// Empty if the configuration declares no organisations.
  std::optional<AccessKeys> Keys;
  /// The latest time at which the configuration was known to be the newest one.
  /// It must not be later than the moment at which the store was asked.
  base::BootTime ConfirmedAt{};
  /// The time after its withdrawal from which on a key must not be used. Zero
  /// if keys may be used however old the configuration is.
  std::chrono::milliseconds RevocationLimit{0};
};

/// Returns how old the configuration may become before keys are refused. It is
/// shorter than the limit, because the clocks of the hosts and the store run at
/// slightly different rates.
std::chrono::milliseconds
maxConfigurationAge(std::chrono::milliseconds revocationLimit);

/// Decides about a statement that is received, or a session that is opened, at
/// \p now. Because the statement was sent before, a granted one was sent within
/// the revocation limit of any withdrawal that this node does not know.
Authorization authorize(const AuthorizationState &state,
                        const cluster::Route &route, std::string_view key,
                        base::BootTime now);

} // namespace baobabpin::organisation
