/// baobabpinctl check-config: checks a configuration of the platform before it
/// is sent. It asks no node.
#pragma once

#include "baobabpin/base/Errors.h"
#include "baobabpin/ctl/ExitCode.h"
#include "baobabpin/ctl/Options.h"

#include <ostream>

namespace baobabpin::ctl {

/// Prints the findings and, if the version in force is given, the changes.
/// Fails with BadRequest if a file cannot be read or the version in force is
/// not a configuration.
base::Result<ExitCode> runCheckConfig(const Options &options,
                                      std::ostream &out);

} // namespace baobabpin::ctl
