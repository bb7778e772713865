/// 64-bit hashing (xxHash) for rendezvous ordering, routing keys and digests.
#pragma once

#include <cstdint>
#include <string_view>

namespace baobabpin::base {

/// Equal on every node and build; not for secrets.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

} // namespace baobabpin::base
