/// Creates and connects the services of a node.
#pragma once

#include "baobabpin/kernel/Kernel.h"
#include "baobabpin/node/NodeSettings.h"

namespace baobabpin::node {

/// Adds every service of a node to \p kernel, in the order in which they start.
void addServices(kernel::Kernel &kernel, const NodeSettings &settings);

} // namespace baobabpin::node
