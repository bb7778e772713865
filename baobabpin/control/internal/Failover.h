/// The state of a failover that this node coordinates, for the sources of
/// FailoverService.
#pragma once

#include "baobabpin/control/FailoverService.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace baobabpin::control {

struct FailoverService::Failover {
  base::GroupName Group;
  cluster::GroupRecord Record;
  /// The era of the store in which the failover was announced.
  std::uint64_t Era = 0;
  /// The primary is only verified, and replaced if its servers do not agree.
  bool Verifying = false;
  /// Promotions that an earlier coordinator of this failover requested may
  /// still take effect.
  bool Continued = false;
  /// The server that is replaced: the primary of the record, or the server as
  /// which it has restarted.
  base::ServerId Primary;
  /// The run of Primary that led, or 0 if it is not known.
  std::int64_t PrimaryStartedMs = 0;
  /// The old primary was reachable at the start.
  bool PrimaryWasReachable = false;
  base::BootTime StartedAt{};
  /// The number of nodes that were registered at the start, this one included.
  std::size_t Registered = 0;
  /// The nodes that may still use the old primary.
  std::set<std::string> Unacknowledged;
  /// The longest lease that a node may hold.
  std::chrono::milliseconds Lease = cluster::PrimaryLease;
  /// The number of acknowledgements after which Lease limits the wait.
  std::size_t Quorum = 0;
  /// When the number of acknowledgements reached Quorum.
  std::optional<base::BootTime> QuorumAt;
  /// The status of the old primary after it stepped down. Empty when it did not
  /// confirm that.
  std::optional<sql::ServerStatus> OldStatus;
  base::BootTime ChoosingSince{};
  std::vector<cluster::Candidate> Candidates;
  std::size_t QueriesSent = 0;
  std::size_t QueriesOutstanding = 0;
  /// When the reason for which no server may be promoted was last logged.
  base::BootTime WaitLoggedAt{};
  base::ServerId Target;
  /// The end of Target's log before its promotion.
  base::LogPosition StartPosition;
  /// The term in which Target leads.
  base::TermNumber NewTerm = 0;
  /// Servers whose promotion the platform has refused. The next choice leaves
  /// them out, except for the old primary, which stays a candidate.
  std::set<base::ServerId> RefusedTargets;
  /// The servers whose promotion was requested, and how often the platform
  /// accepted that without effect.
  std::map<base::ServerId, int> Attempts;
  base::BootTime PromotedAt{};
  kernel::Timer Next;
};

} // namespace baobabpin::control
