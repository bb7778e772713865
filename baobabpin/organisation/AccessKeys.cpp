#include "baobabpin/organisation/AccessKeys.h"

#include "baobabpin/base/Hash.h"

#include <openssl/crypto.h>

#include <random>

namespace baobabpin::organisation {
namespace {

bool equalInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

void addKey(AccessKeys &keys, const std::string &key,
            const base::OrganisationName &organisation) {
  auto hash = base::hash64(key, keys.Secret);
  auto [begin, end] = keys.Entries.equal_range(hash);
  for (auto it = begin; it != end; ++it) {
    AccessKeys::Entry &entry = it->second;
    if (entry.Key != key)
      continue;
    // An organisation may list a key twice.
    if (entry.Organisation != organisation && !entry.Ambiguous) {
      entry.Ambiguous = true;
      ++keys.AmbiguousCount;
    }
    return;
  }
  keys.Entries.emplace(hash, AccessKeys::Entry{key, organisation});
}

} // namespace

HashSecret drawHashSecret() {
  std::random_device random;
  constexpr int WordBits = 32;
  return (HashSecret{random()} << WordBits) | random();
}

AccessKeys indexAccessKeys(const std::map<base::OrganisationName,
                                          cluster::Organisation> &organisations,
                           HashSecret secret) {
  AccessKeys keys;
  keys.Secret = secret;
  for (const auto &[name, it] : organisations) {
    for (const auto &key : it.AccessKeys)
      addKey(keys, key, name);
  }
  return keys;
}

const base::OrganisationName *findOrganisation(const AccessKeys &keys,
                                               std::string_view key) {
  auto [begin, end] = keys.Entries.equal_range(base::hash64(key, keys.Secret));
  for (auto it = begin; it != end; ++it) {
    const AccessKeys::Entry &entry = it->second;
    if (equalInConstantTime(entry.Key, key))
      return entry.Ambiguous ? nullptr : &entry.Organisation;
  }
  return nullptr;
}

} // namespace baobabpin::organisation
