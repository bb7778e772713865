#include "baobabpin/frontend/ConnectionBound.h"

#include <doctest/doctest.h>

namespace baobabpin::frontend {
namespace {

TEST_CASE("descriptors are kept for files, servers and other nodes") {
  // Guards against a flood of connections that takes the descriptors with
  // which the node reaches servers and other nodes.
  CHECK_FALSE(clientConnectionBound(0, 9).has_value());
  CHECK(clientConnectionBound(1024, 9) == 618);
  CHECK(clientConnectionBound(4096, 9) == 2922);
  // A large fleet needs more, but clients keep a half.
  CHECK(clientConnectionBound(1024, 64) == 504);
  CHECK(clientConnectionBound(1024, 300) == 412);
  CHECK(clientConnectionBound(100, 9) == 1);
}

} // namespace
} // namespace baobabpin::frontend
