/// Internal to membership: how records are merged and spread.
#pragma once

#include "baobabpin/membership/MemberList.h"

namespace baobabpin::membership::internal {

/// Whether a merged record is piggybacked on later datagrams.
enum class Spreading { PassOn, Keep };

/// Merges a record that another member sent.
void mergeRecord(MemberList &list, const MemberRecord &record,
                 Spreading spreading, base::TimePoint now);
/// Sets the state of a held member on this node's own judgement.
void changeState(MemberList &list, MemberEntry &entry, MemberState state,
                 base::TimePoint now);
/// A probe of this node got no answer.
void suspect(MemberList &list, const base::NodeId &node, base::TimePoint now);
void removeMember(MemberList &list, const base::NodeId &node);
/// Raises the own incarnation and has it spread at the next tick.
void renewSelf(MemberList &list);
/// Adds \p target's record, unless it is alive, so that it can refute it, then
/// queued updates, fewest repetitions first, up to the size limit.
void addUpdates(MemberList &list, proto::Datagram &datagram,
                const base::NodeId &target);
/// Adds \p record if it fits.
bool addRecord(proto::Datagram &datagram, const MemberRecord &record);

} // namespace baobabpin::membership::internal
