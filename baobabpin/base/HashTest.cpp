#include "baobabpin/base/Hash.h"

#include <doctest/doctest.h>

namespace baobabpin::base {

TEST_CASE("hashes do not change between versions and depend on data and seed") {
  // Nodes choose the owner of a group by this hash. If it changed, nodes of two
  // versions in one fleet would choose different owners.
  CHECK(hash64("") == 0x2d06800538d394c2ULL);
  CHECK(hash64("lending-ledger-0") != hash64("lending-ledger-1"));
  CHECK(hash64("lending-ledger-0", 1) != hash64("lending-ledger-0", 2));
}

} // namespace baobabpin::base
