#include "baobabpin/configsync/Watchers.h"

#include "baobabpin/base/Hash.h"

#include <algorithm>
#include <set>

namespace baobabpin::configsync {
namespace {

using membership::MemberRecord;
using membership::MemberState;

std::string_view reasonOf(MemberState state) {
  switch (state) {
  case MemberState::Alive:
    return "pending";
  case MemberState::Leaving:
    return "leaving";
  case MemberState::Suspect:
    return "cut_off";
  case MemberState::Dead:
    break;
  }
  return "dead";
}

proto::NodeConfirmation makeConfirmation(const MemberRecord &record,
                                         std::uint64_t applied) {
  proto::NodeConfirmation node;
  node.set_node(record.Node);
  node.set_availability_zone(record.Zone);
  node.set_applied_revision(applied);
  return node;
}

} // namespace

std::vector<base::NodeId> watchersOf(const base::AvailabilityZone &zone,
                                     const MemberRecords &records) {
  std::vector<std::pair<std::uint64_t, base::NodeId>> ranked;
  for (const MemberRecord *it : records) {
    if (it->Zone == zone && it->State == MemberState::Alive)
      ranked.emplace_back(base::hash64(it->Node, base::hash64(zone)), it->Node);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<base::NodeId> watchers;
  for (const auto &[weight, node] : ranked) {
    if (watchers.size() == WatchersPerZone)
      break;
    watchers.push_back(node);
  }
  return watchers;
}

proto::InForceReply confirmationsOf(const base::AvailabilityZone &zone,
                                    const MemberRecords &records,
                                    const AppliedRevisions &applied,
                                    std::uint64_t revision) {
  proto::InForceReply reply;
  for (const MemberRecord *it : records) {
    if (it->Zone != zone)
      continue;
    std::uint64_t known = it->AppliedRevision;
    if (auto reported = applied.find(it->Node); reported != applied.end())
      known = std::max(known, reported->second);
    proto::NodeConfirmation node = makeConfirmation(*it, known);
    if (known < revision)
      node.set_reason(std::string(reasonOf(it->State)));
    *reply.add_nodes() = std::move(node);
  }
  return reply;
}

proto::InForceReply cutOffConfirmations(const base::AvailabilityZone &zone,
                                        const MemberRecords &records,
                                        std::uint64_t revision) {
  proto::InForceReply reply = confirmationsOf(zone, records, {}, revision);
  for (auto &it : *reply.mutable_nodes()) {
    if (it.reason() == "pending")
      it.set_reason("cut_off");
  }
  return reply;
}

void addMissingMembers(proto::InForceReply &reply,
                       const base::AvailabilityZone &zone,
                       const MemberRecords &records, std::uint64_t revision) {
  std::set<base::NodeId> named;
  for (const auto &it : reply.nodes())
    named.insert(it.node());
  auto known = confirmationsOf(zone, records, {}, revision);
  for (const auto &it : known.nodes()) {
    if (!named.contains(it.node()))
      *reply.add_nodes() = it;
  }
}

void addUnknownHosts(proto::InForceReply &reply,
                     const std::vector<store::HostEntry> &hosts,
                     const MemberRecords &records) {
  std::set<std::string> known;
  for (const MemberRecord *it : records)
    known.insert(it->Host);
  for (const auto &it : hosts) {
    if (it.State != store::HostState::Live || known.contains(it.Host))
      continue;
    auto *node = reply.add_nodes();
    node->set_node(it.Host);
    node->set_reason("unknown");
  }
}

} // namespace baobabpin::configsync
