/// The node on the users' platform.
#pragma once

#include "platform/Settings.h"

namespace baobabpin::node {

/// Runs until it is told to stop; returns the exit code of the process.
int runPlatformNode(const platform::HostSettings &settings);

} // namespace baobabpin::node
