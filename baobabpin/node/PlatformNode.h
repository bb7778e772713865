/// Runs a node on the hosting platform. The platform writes the settings file,
/// and log lines go to standard output.
#pragma once

#include "baobabpin/kernel/Kernel.h"
#include "baobabpin/kernel/LineLog.h"
#include "platform/Settings.h"

namespace baobabpin::node {

/// Creates the services of a node, connects them to each other and adds them to
/// \p kernel. \p log must outlive the services.
void addPlatformServices(kernel::Kernel &kernel, kernel::LineLog &log,
                         const platform::HostSettings &settings);

/// Runs the node until it is told to stop and returns the exit code of the
/// process. On SIGHUP, and when the file at \p path has changed, the settings
/// are read again. If the settings are invalid, the error is logged and the
/// previous settings stay in use.
int runPlatformNode(const platform::HostSettings &settings,
                    const std::string &path);

} // namespace baobabpin::node
