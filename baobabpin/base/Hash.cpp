#include "baobabpin/base/Hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace baobabpin::base {

std::uint64_t hash64(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

} // namespace baobabpin::base
