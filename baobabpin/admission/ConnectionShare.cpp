#include "baobabpin/admission/ConnectionShare.h"

#include <algorithm>

namespace baobabpin::admission {
namespace {

constexpr unsigned MaxOwners = 3;
/// One connection for control calls, and one to replace a connection whose last
/// statement is in doubt.
constexpr unsigned SpareConnections = 2;
constexpr unsigned MinConnections = 2;

} // namespace

unsigned connectionShare(const ServerLimits &limits) {
  return std::max(MinConnections, std::min(limits.Slots + SpareConnections,
                                           limits.Connections / MaxOwners));
}

} // namespace baobabpin::admission
