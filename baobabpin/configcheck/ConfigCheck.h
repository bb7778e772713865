/// Checks a configuration before an operator puts it in force.
///
/// \code
///   auto findings = checkConfiguration(proposed);
///   std::ranges::copy(checkReplacement(inForce, proposed),
///                     std::back_inserter(findings));
/// \endcode
///
/// No result holds an access key. A key is named by its organisation and its
/// index in the organisation's list, counted from 0.
#pragma once

#include "baobabpin/cluster/Types.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace baobabpin::configcheck {

enum class Severity {
  /// The configuration does not do what it says.
  Error,
  /// The configuration is consistent but probably not intended.
  Warning,
};

struct Finding {
  Severity Level = Severity::Error;
  /// The part of the configuration, such as "route of database orders".
  std::string Where;
  std::string Text;

  bool operator==(const Finding &) const = default;
};

struct CheckedConfiguration {
  cluster::Configuration Parsed;
  /// For each organisation, the index of each of its access keys in the list of
  /// the document, which may hold others that are not usable.
  std::map<base::OrganisationName, std::vector<std::size_t>> KeyIndices;
};

/// Returns entries that can never match, contradictory limits and the like.
std::vector<Finding> checkConfiguration(const CheckedConfiguration &it);

/// Returns problems of putting \p next in force in place of \p inForce.
std::vector<Finding> checkReplacement(const CheckedConfiguration &inForce,
                                      const CheckedConfiguration &next);

enum class ChangeKind { Added, Removed, Changed };

struct Change {
  ChangeKind Kind = ChangeKind::Changed;
  std::string Where;
  /// What has changed; empty if the whole entry was added or removed.
  std::string Text;

  bool operator==(const Change &) const = default;
};

std::vector<Change> listChanges(const CheckedConfiguration &inForce,
                                const CheckedConfiguration &next);

/// The index of the \p n th usable key of an organisation in its list.
std::size_t keyIndex(const CheckedConfiguration &it,
                     const base::OrganisationName &organisation, std::size_t n);

} // namespace baobabpin::configcheck
