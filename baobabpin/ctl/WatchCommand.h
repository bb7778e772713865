/// Following resources until they are in force, or for as long as wanted.
#pragma once

#include "baobabpin/ctl/Report.h"
#include "baobabpin/resources/Kinds.h"

#include <cstdint>
#include <vector>

namespace baobabpin::ctl {

/// A version that must be in force on every node; a later one counts too.
struct AwaitedVersion {
  resources::ResourceId Id;
  std::uint64_t Version = 0;
};

/// Prints the changes of each resource until its version is in force. TimedOut
/// names the nodes that have not confirmed.
ExitCode awaitInForce(Session &session,
                      const std::vector<AwaitedVersion> &awaited);

/// The watch command. When a node stops answering, the watch continues at the
/// next one; states that were printed already are not repeated.
ExitCode runWatch(Session &session);

} // namespace baobabpin::ctl
