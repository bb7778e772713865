#include "baobabpin/frontend/ConnectionBound.h"

#include <algorithm>

namespace baobabpin::frontend {

std::optional<int> clientConnectionBound(int maxDescriptors, int nodes) {
  if (maxDescriptors <= 0)
    return std::nullopt;
  int connections = std::max(maxDescriptors - FileDescriptors, 2);
  int wanted =
      std::max(connections / 4, ServerDescriptors + ConnectionsPerNode * nodes);
  return connections - std::min(wanted, connections / 2);
}

} // namespace baobabpin::frontend
