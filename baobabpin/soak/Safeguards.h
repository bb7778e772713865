/// Switches of the randomised run that disable one safeguard each, to show that
/// the invariants detect its absence. The product has no such switches: they
/// act in the fake servers and in the soak's own use of the decisions.
#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace baobabpin::soak {

enum class Safeguard {
  None,
  Fence,                ///< prepare changes nothing on the server.
  MajorityConfirmation, ///< Acknowledge on the primary's answer alone.
  TermCheck,            ///< Servers and confirmation ignore terms.
  RequestRecord,        ///< Servers do not find earlier executions.
  ReadPosition,         ///< Reads without a session position guard.
  ReadAge,              ///< Reads from any replica, whatever its age.
};

constexpr std::array<std::pair<std::string_view, Safeguard>, 7> SafeguardNames{{
    {"none", Safeguard::None},
    {"fence", Safeguard::Fence},
    {"majority", Safeguard::MajorityConfirmation},
    {"term", Safeguard::TermCheck},
    {"record", Safeguard::RequestRecord},
    {"position", Safeguard::ReadPosition},
    {"age", Safeguard::ReadAge},
}};

inline std::optional<Safeguard> parseSafeguard(std::string_view name) {
  for (const auto &[candidate, value] : SafeguardNames) {
    if (candidate == name)
      return value;
  }
  return std::nullopt;
}

} // namespace baobabpin::soak
