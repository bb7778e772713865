#include "baobabpin/membership/Member.h"

#include "baobabpin/proto/membership.pb.h"

#include <charconv>
#include <optional>
#include <utility>

namespace baobabpin::membership {
namespace {

/// Splits "host-3/17"; empty for an ID without a process number.
std::optional<std::pair<std::string_view, std::uint64_t>>
splitProcess(std::string_view node) {
  auto slash = node.rfind('/');
  if (slash == std::string_view::npos)
    return std::nullopt;
  std::uint64_t number = 0;
  const char *end = node.data() + node.size();
  auto [ptr, ec] = std::from_chars(node.data() + slash + 1, end, number);
  if (ec != std::errc() || ptr != end)
    return std::nullopt;
  return std::pair(node.substr(0, slash), number);
}

proto::MemberState encodeState(MemberState state) {
  switch (state) {
  case MemberState::Alive:
    return proto::MEMBER_ALIVE;
  case MemberState::Leaving:
    return proto::MEMBER_LEAVING;
  case MemberState::Suspect:
    return proto::MEMBER_SUSPECT;
  case MemberState::Dead:
    break;
  }
  return proto::MEMBER_DEAD;
}

MemberState decodeState(proto::MemberState state) {
  switch (state) {
  case proto::MEMBER_ALIVE:
    return MemberState::Alive;
  case proto::MEMBER_LEAVING:
    return MemberState::Leaving;
  case proto::MEMBER_SUSPECT:
    return MemberState::Suspect;
  default:
    return MemberState::Dead;
  }
}

} // namespace

std::string_view memberStateName(MemberState state) {
  switch (state) {
  case MemberState::Alive:
    return "alive";
  case MemberState::Leaving:
    return "leaving";
  case MemberState::Suspect:
    return "suspect";
  case MemberState::Dead:
    break;
  }
  return "dead";
}

bool supersedes(const MemberRecord &candidate, const MemberRecord &held) {
  if (candidate.Incarnation != held.Incarnation)
    return candidate.Incarnation > held.Incarnation;
  return candidate.State > held.State;
}

bool isYoungerProcess(const base::NodeId &candidate, const base::NodeId &held) {
  auto a = splitProcess(candidate);
  auto b = splitProcess(held);
  return a && b && a->first == b->first && a->second > b->second;
}

void encodeRecord(const MemberRecord &record, proto::MemberRecord &out) {
  out.set_node(record.Node);
  out.set_availability_zone(record.Zone);
  out.set_gossip_endpoint(record.GossipEndpoint);
  out.set_peer_endpoint(record.PeerEndpoint);
  out.set_host(record.Host);
  out.set_incarnation(record.Incarnation);
  out.set_state(encodeState(record.State));
  for (const auto &it : record.UnfitGroups)
    out.add_unfit_groups(it);
  out.set_applied_revision(record.AppliedRevision);
}

MemberRecord decodeRecord(const proto::MemberRecord &in) {
  MemberRecord record;
  record.Node = in.node();
  record.Zone = in.availability_zone();
  record.GossipEndpoint = in.gossip_endpoint();
  record.PeerEndpoint = in.peer_endpoint();
  record.Host = in.host();
  record.Incarnation = in.incarnation();
  record.State = decodeState(in.state());
  record.UnfitGroups.insert(in.unfit_groups().begin(), in.unfit_groups().end());
  record.AppliedRevision = in.applied_revision();
  return record;
}

} // namespace baobabpin::membership
