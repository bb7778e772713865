/// The node on the users' platform.
#pragma once

#include "baobabpin/kernel/Kernel.h"
#include "baobabpin/kernel/LineLog.h"
#include "platform/Settings.h"

namespace baobabpin::node {

/// Adds the services of a node, connected to each other. \p log must outlive
/// \p kernel's services.
void addPlatformServices(kernel::Kernel &kernel, kernel::LineLog &log,
                         const platform::HostSettings &settings);

/// Runs until it is told to stop; returns the exit code of the process. On
/// SIGHUP, and when the file at \p path has changed, the settings are read
/// again; faulty ones are reported and change nothing.
int runPlatformNode(const platform::HostSettings &settings,
                    const std::string &path);

} // namespace baobabpin::node
