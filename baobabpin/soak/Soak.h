/// One randomised run: several owner nodes, one database group and callers
/// under fake time and faults, with the invariants of Checker.h.
#pragma once

#include "baobabpin/soak/OwnerNode.h"

#include <map>
#include <string>
#include <vector>

namespace baobabpin::soak {

struct SoakOptions {
  std::uint64_t Seed = 1;
  /// Length of the fault phase in fake milliseconds.
  std::int64_t Steps = 6000;
  Safeguard Disabled = Safeguard::None;
  replication::PromotionPolicy Policy =
      replication::PromotionPolicy::ReplicaView;
  bool Tracing = false;
};

struct SoakResult {
  /// Empty when every invariant held.
  std::string Violation;
  std::optional<Invariant> Which;
  std::vector<std::string> Trace;
  NodeCounters Counters;
  std::map<std::string, std::uint64_t> Faults;
  std::uint64_t Acked = 0;
  std::uint64_t Reads = 0;
  std::uint64_t ReplicaReads = 0;
  std::uint64_t PositionsLost = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Truncations = 0;
  std::uint64_t Messages = 0;
  /// Fake time from the end of the faults to the recovery of the group.
  Duration Recovery{};
};

SoakResult runSoak(const SoakOptions &options);

/// Adds the counters of \p one to \p sum.
void addResult(SoakResult &sum, const SoakResult &one);

} // namespace baobabpin::soak
