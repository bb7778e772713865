/// Commands that read: get, list, diff, validate and timeline.
#pragma once

#include "baobabpin/ctl/Manifest.h"
#include "baobabpin/ctl/Report.h"

#include <vector>

namespace baobabpin::ctl {

/// Reads the files of the command line and has a node validate them together.
ExitCode loadValidated(Session &session, std::vector<Manifest> &manifests);

ExitCode runGet(Session &session);
ExitCode runList(Session &session);
/// Ok whether or not there are differences.
ExitCode runDiff(Session &session);
ExitCode runValidate(Session &session);
ExitCode runTimeline(Session &session);

} // namespace baobabpin::ctl
