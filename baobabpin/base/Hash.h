/// 64-bit xxHash, used for rendezvous hashing, routing keys and digests.
#pragma once

#include <cstdint>
#include <string_view>

namespace baobabpin::base {

/// Returns the hash of \p data, which is the same on every node and in every
/// version of the program. The hash is not cryptographic.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

} // namespace baobabpin::base
