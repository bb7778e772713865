#include "baobabpin/organisation/Authorization.h"

namespace baobabpin::organisation {
namespace {

/// The part of the revocation limit, in tenths, for which a configuration may
/// be used after it was last confirmed.
constexpr int UsableTenths = 9;
/// An unknown key is denied only if the configuration was confirmed within this
/// part of the limit, in tenths. With an older one, the key may be a new one.
constexpr int UnknownKeyTenths = 4;
constexpr int Tenths = 10;

} // namespace

std::string_view accessName(Access access) {
  switch (access) {
  case Access::Granted:
    return "granted";
  case Access::Denied:
    return "unknown_key";
  case Access::Unconfirmed:
    break;
  }
  return "configuration_unconfirmed";
}

std::chrono::milliseconds
maxConfigurationAge(std::chrono::milliseconds revocationLimit) {
  return revocationLimit * UsableTenths / Tenths;
}

Authorization authorize(const AuthorizationState &state,
                        const cluster::Route &route, std::string_view key,
                        base::BootTime now) {
  if (!state.Keys || route.Public)
    return {};
  bool bounded = state.RevocationLimit.count() > 0;
  auto age = now - state.ConfirmedAt;
  if (bounded && age > maxConfigurationAge(state.RevocationLimit))
    return {Access::Unconfirmed, {}};
  if (const auto *name = findOrganisation(*state.Keys, key))
    return {Access::Granted, *name};
  if (bounded && age > state.RevocationLimit * UnknownKeyTenths / Tenths)
    return {Access::Unconfirmed, {}};
  return {Access::Denied, {}};
}

} // namespace baobabpin::organisation
