/// Finds the organisation that an access key identifies.
///
/// \code
///   AccessKeys keys = indexAccessKeys(*configuration.Organisations, secret);
///   if (const auto *name = findOrganisation(keys, open.AccessKey))
///     ...
/// \endcode
#pragma once

#include "baobabpin/base/Identifiers.h"
#include "baobabpin/cluster/Types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace baobabpin::organisation {

/// A random number that only this process knows. It keeps a client that chooses
/// its keys from filling one bucket of the index.
using HashSecret = std::uint64_t;

HashSecret drawHashSecret();

/// All access keys of a configuration, indexed by a hash that depends on the
/// secret. The cost of a search does not grow with the number of keys.
struct AccessKeys {
  struct Entry {
    std::string Key;
    base::OrganisationName Organisation;
    /// Several organisations hold the key, so it identifies none.
    bool Ambiguous = false;
  };

  HashSecret Secret = 0;
  std::unordered_multimap<std::uint64_t, Entry> Entries;
  /// The number of keys that several organisations hold.
  std::size_t AmbiguousCount = 0;
};

AccessKeys indexAccessKeys(const std::map<base::OrganisationName,
                                          cluster::Organisation> &organisations,
                           HashSecret secret);

/// Returns the organisation that \p key identifies, or null. The key is
/// compared in constant time, so that the time of an attempt tells nothing
/// about the keys that exist.
const base::OrganisationName *findOrganisation(const AccessKeys &keys,
                                               std::string_view key);

} // namespace baobabpin::organisation
