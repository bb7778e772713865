#include "baobabpin/base/Hash.h"

#include <doctest/doctest.h>

namespace baobabpin::base {

TEST_CASE("every node computes the same hash") {
  // Owners are chosen by this value; a change would divide a mixed fleet.
  CHECK(hash64("") == 0x2d06800538d394c2ULL);
  CHECK(hash64("lending-ledger-0") != hash64("lending-ledger-1"));
  CHECK(hash64("lending-ledger-0", 1) != hash64("lending-ledger-0", 2));
}

} // namespace baobabpin::base
