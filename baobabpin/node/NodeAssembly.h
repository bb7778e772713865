/// Puts the services of a node together.
#pragma once

#include "baobabpin/kernel/Kernel.h"
#include "baobabpin/node/NodeSettings.h"

namespace baobabpin::node {

/// Adds every service of a node to \p kernel, in the order of their start.
void addServices(kernel::Kernel &kernel, const NodeSettings &settings);

} // namespace baobabpin::node
