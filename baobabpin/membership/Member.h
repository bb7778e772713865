/// What is known about one node of the fleet.
#pragma once

#include "baobabpin/base/Identifiers.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace baobabpin::proto {
class MemberRecord;
}

namespace baobabpin::membership {

/// In the order of precedence among records of one incarnation: the later
/// enumerator replaces the earlier one.
enum class MemberState {
  Alive,
  Leaving, ///< Gets no new work; still answers.
  Suspect, ///< Did not answer a probe; has a second to refute.
  Dead,    ///< Suspected for too long; kept for a while and probed.
};

/// "alive", "leaving", "suspect" or "dead".
std::string_view memberStateName(MemberState state);

/// The record that members spread about a node. Only the node itself raises
/// its incarnation.
struct MemberRecord {
  base::NodeId Node;
  base::AvailabilityZone Zone;
  /// UDP and gRPC endpoints, "address:port".
  std::string GossipEndpoint;
  std::string PeerEndpoint;
  /// Name of the host in the platform's list.
  std::string Host;
  std::uint64_t Incarnation = 0;
  MemberState State = MemberState::Alive;
  /// Groups that the node does not want to own at present.
  std::set<base::GroupName> UnfitGroups;
  /// Configuration revision that the node had applied when it sent the record.
  std::uint64_t AppliedRevision = 0;

  bool operator==(const MemberRecord &) const = default;
};

/// Whether \p candidate replaces \p held: a higher incarnation, or the same
/// one and a state of higher precedence.
bool supersedes(const MemberRecord &candidate, const MemberRecord &held);

/// Whether both are processes of one host ("host-3/17" and "host-3/18") and \p
/// candidate is the younger one.
bool isYoungerProcess(const base::NodeId &candidate, const base::NodeId &held);

void encodeRecord(const MemberRecord &record, proto::MemberRecord &out);
MemberRecord decodeRecord(const proto::MemberRecord &in);

} // namespace baobabpin::membership
