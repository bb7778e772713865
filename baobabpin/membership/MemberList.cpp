#include "baobabpin/membership/MemberList.h"

#include "baobabpin/membership/MemberMerge.h"

#include <algorithm>
#include <utility>

namespace baobabpin::membership {
namespace {

using namespace internal;

/// Members that hear of this process' end from itself.
constexpr std::size_t FarewellCount = 4;
/// The list is pulled again when it has grown by this factor since.
constexpr double PullGrowth = 1.01;
constexpr base::Duration MaxPullDelay = 64s;

bool isReachable(const MemberRecord &record) {
  return record.State <= MemberState::Leaving;
}

Outgoing ping(MemberList &list, const MemberRecord &target) {
  proto::Datagram datagram = makeDatagram(list, proto::Datagram::PING);
  datagram.set_sequence(list.NextSequence++);
  datagram.set_target(target.Node);
  addUpdates(list, datagram, target.Node);
  return {target.GossipEndpoint, std::move(datagram)};
}

Outgoing acknowledge(MemberList &list, const std::string &endpoint,
                     std::uint64_t sequence, const base::NodeId &receiver) {
  proto::Datagram datagram = makeDatagram(list, proto::Datagram::ACK);
  datagram.set_sequence(sequence);
  addUpdates(list, datagram, receiver);
  return {endpoint, std::move(datagram)};
}

Outgoing requestList(MemberList &list, const std::string &endpoint) {
  proto::Datagram datagram = makeDatagram(list, proto::Datagram::LIST_REQUEST);
  datagram.set_list_after(list.ListCursor);
  return {endpoint, std::move(datagram)};
}

/// A process that was stopped for a while knows nothing about that time: it
/// restarts its timers and tells others that it is alive.
void recoverFromPause(MemberList &list, base::TimePoint now) {
  base::Duration gap = now - list.LastTick;
  list.Probes.clear();
  list.Relays.clear();
  for (const auto &it : list.Suspects)
    list.Members.at(it).Deadline += gap;
  renewSelf(list);
}

void refillBudget(MemberList &list, base::Duration gap) {
  double seconds = std::chrono::duration<double>(gap).count();
  list.UpdateBudget = std::min(
      MaxUpdateBudget, list.UpdateBudget + seconds * UpdateBytesPerSecond);
}

void schedulePull(MemberList &list, base::TimePoint now) {
  list.NextPull = now + list.PullDelay;
  list.PullDelay = std::min(2 * list.PullDelay, MaxPullDelay);
}

void askHelpers(MemberList &list, std::uint64_t sequence, const Probe &probe,
                std::vector<Outgoing> &out) {
  auto target = list.Members.find(probe.Target);
  if (target == list.Members.end())
    return;
  auto count = static_cast<std::size_t>(list.Timing.IndirectProbes);
  for (const MemberRecord *it : randomMembers(list, count + 1)) {
    if (it->Node == probe.Target || count == 0)
      continue;
    --count;
    auto datagram = makeDatagram(list, proto::Datagram::PING_REQUEST);
    datagram.set_sequence(sequence);
    datagram.set_target(probe.Target);
    datagram.set_target_endpoint(target->second.Record.GossipEndpoint);
    addUpdates(list, datagram, it->Node);
    out.push_back({it->GossipEndpoint, std::move(datagram)});
  }
}

void checkProbes(MemberList &list, base::TimePoint now,
                 std::vector<Outgoing> &out) {
  std::vector<base::NodeId> failed;
  for (auto it = list.Probes.begin(); it != list.Probes.end();) {
    Probe &probe = it->second;
    if (now >= probe.SentAt + list.Timing.ProbePeriod) {
      failed.push_back(probe.Target);
      it = list.Probes.erase(it);
      continue;
    }
    if (!probe.Indirect && now >= probe.SentAt + list.Timing.AckTimeout) {
      probe.Indirect = true;
      askHelpers(list, it->first, probe, out);
    }
    ++it;
  }
  for (const auto &it : failed)
    suspect(list, it, now);
}

void checkSuspects(MemberList &list, base::TimePoint now,
                   std::vector<Outgoing> &out) {
  std::vector<base::NodeId> suspects(list.Suspects.begin(),
                                     list.Suspects.end());
  for (const auto &node : suspects) {
    MemberEntry &entry = list.Members.at(node);
    if (now >= entry.Deadline) {
      changeState(list, entry, MemberState::Dead, now);
      continue;
    }
    if (!entry.ProbedHere || now < entry.NextPing)
      continue;
    entry.NextPing = now + list.Timing.ProbePeriod;
    out.push_back(ping(list, entry.Record));
  }
}

void startRound(MemberList &list) {
  for (const auto &[node, entry] : list.Members) {
    if (entry.Record.State != MemberState::Dead)
      list.Round.push_back(node);
  }
  std::shuffle(list.Round.begin(), list.Round.end(), list.Random);
}

const MemberRecord *nextTarget(MemberList &list) {
  if (list.Round.empty())
    startRound(list);
  while (!list.Round.empty()) {
    auto it = list.Members.find(list.Round.back());
    list.Round.pop_back();
    if (it == list.Members.end() ||
        it->second.Record.State == MemberState::Dead)
      continue;
    return &it->second.Record;
  }
  return nullptr;
}

void probeNext(MemberList &list, base::TimePoint now,
               std::vector<Outgoing> &out) {
  if (now < list.NextProbe)
    return;
  // Counted from the planned time: ticks are coarser than the period.
  list.NextProbe = std::max(list.NextProbe + list.Timing.ProbePeriod, now);
  const MemberRecord *target = nextTarget(list);
  if (!target)
    return;
  Outgoing probe = ping(list, *target);
  list.Probes[probe.Datagram.sequence()] = {target->Node, now, false};
  out.push_back(std::move(probe));
}

void checkDead(MemberList &list, base::TimePoint now,
               std::vector<Outgoing> &out) {
  if (now < list.NextDeadProbe)
    return;
  std::vector<base::NodeId> expired;
  MemberEntry *due = nullptr;
  for (const auto &node : list.Dead) {
    MemberEntry &entry = list.Members.at(node);
    if (now >= entry.StateSince + list.Timing.DeadRetention)
      expired.push_back(node);
    else if (now >= entry.Deadline && (!due || entry.Deadline < due->Deadline))
      due = &entry;
  }
  if (due) {
    due->Deadline = now + list.Timing.DeadProbePeriod;
    list.NextDeadProbe = now + list.Timing.DeadProbeGap;
    out.push_back(ping(list, due->Record));
  }
  for (const auto &node : expired)
    removeMember(list, node);
}

void sendPromptPings(MemberList &list, std::vector<Outgoing> &out) {
  if (list.PromptPings == 0)
    return;
  auto count = static_cast<std::size_t>(std::exchange(list.PromptPings, 0));
  for (const MemberRecord *it : randomMembers(list, count))
    out.push_back(ping(list, *it));
}

/// Seeds that are not the endpoint of a reachable member.
std::vector<std::string> unreachedSeeds(const MemberList &list) {
  std::set<std::string> reached{list.Self.GossipEndpoint};
  for (const auto &[node, entry] : list.Members) {
    if (isReachable(entry.Record))
      reached.insert(entry.Record.GossipEndpoint);
  }
  std::vector<std::string> seeds;
  for (const auto &it : list.Seeds) {
    if (!reached.contains(it))
      seeds.push_back(it);
  }
  return seeds;
}

/// When a whole fleet starts at once, the first pull finds a short list.
void repeatPull(MemberList &list, base::TimePoint now) {
  if (!list.ListPulled || now < list.NextPull)
    return;
  schedulePull(list, now);
  if (static_cast<double>(list.Members.size()) <=
      static_cast<double>(list.PulledSize) * PullGrowth)
    return;
  list.ListPulled = false;
  list.ListCursor.clear();
  list.NextSeedContact = now;
}

/// Repairs what gossip lost: an update is repeated a bounded number of times,
/// so a few nodes may miss it.
void comparePage(MemberList &list, base::TimePoint now,
                 std::vector<Outgoing> &out) {
  if (!list.ListPulled || now < list.NextPage)
    return;
  list.NextPage = now + list.Timing.PagePeriod;
  for (const MemberRecord *it : randomMembers(list, 1))
    out.push_back(requestList(list, it->GossipEndpoint));
}

void contactSeeds(MemberList &list, base::TimePoint now,
                  std::vector<Outgoing> &out) {
  if (now < list.NextSeedContact)
    return;
  list.NextSeedContact = now + (list.ListPulled ? list.Timing.DeadProbePeriod
                                                : list.Timing.SeedPeriod);
  std::vector<std::string> seeds = unreachedSeeds(list);
  if (!seeds.empty()) {
    std::uniform_int_distribution<std::size_t> pick(0, seeds.size() - 1);
    out.push_back(requestList(list, seeds[pick(list.Random)]));
  }
  if (list.ListPulled)
    return;
  for (const MemberRecord *it : randomMembers(list, 1))
    out.push_back(requestList(list, it->GossipEndpoint));
}

void expireUnfit(MemberList &list, base::TimePoint now) {
  std::vector<base::GroupName> expired;
  for (const auto &[group, until] : list.UnfitUntil) {
    if (now >= until)
      expired.push_back(group);
  }
  for (const auto &it : expired)
    withdrawUnfit(list, it);
}

void renewUnfit(MemberList &list) {
  auto encodedSize = [&] {
    proto::MemberRecord encoded;
    encodeRecord(list.Self, encoded);
    return encoded.ByteSizeLong();
  };
  list.Self.UnfitGroups.clear();
  for (const auto &[group, until] : list.UnfitUntil)
    list.Self.UnfitGroups.insert(group);
  while (encodedSize() > MaxRecordBytes && !list.UnfitUntil.empty()) {
    auto first = std::min_element(
        list.UnfitUntil.begin(), list.UnfitUntil.end(),
        [](const auto &a, const auto &b) { return a.second < b.second; });
    list.Self.UnfitGroups.erase(first->first);
    list.UnfitUntil.erase(first);
  }
  renewSelf(list);
  list.Changes.push_back({list.Self, list.Self.State, false});
}

void onAck(MemberList &list, const proto::Datagram &datagram,
           std::vector<Outgoing> &out) {
  list.Probes.erase(datagram.sequence());
  auto relay = list.Relays.find(datagram.sequence());
  if (relay == list.Relays.end())
    return;
  out.push_back(acknowledge(list, relay->second.OriginEndpoint,
                            relay->second.OriginSequence, {}));
  list.Relays.erase(relay);
}

void onPingRequest(MemberList &list, const proto::Datagram &datagram,
                   const std::string &sender, base::TimePoint now,
                   std::vector<Outgoing> &out) {
  MemberRecord target;
  target.Node = datagram.target();
  target.GossipEndpoint = datagram.target_endpoint();
  Outgoing probe = ping(list, target);
  list.Relays[probe.Datagram.sequence()] = {sender, datagram.sequence(),
                                            now + list.Timing.ProbePeriod};
  out.push_back(std::move(probe));
}

void onListRequest(MemberList &list, const proto::Datagram &request,
                   const std::string &sender, std::vector<Outgoing> &out) {
  proto::Datagram page = makeDatagram(list, proto::Datagram::LIST_PAGE);
  auto it = list.Members.upper_bound(request.list_after());
  base::NodeId last;
  for (; it != list.Members.end(); ++it) {
    // The cursor, a node ID, has to fit as well; it is set first.
    page.set_list_after(it->first);
    if (it->second.Record.State != MemberState::Dead &&
        !addRecord(page, it->second.Record))
      break;
    last = it->first;
  }
  page.set_list_after(it == list.Members.end() ? base::NodeId() : last);
  out.push_back({sender, std::move(page)});
}

void onListPage(MemberList &list, const proto::Datagram &page,
                const std::string &sender, base::TimePoint now,
                std::vector<Outgoing> &out) {
  list.ListCursor = page.list_after();
  if (list.ListCursor.empty() && !list.ListPulled) {
    list.ListPulled = true;
    list.PulledSize = list.Members.size();
    schedulePull(list, now);
  }
  if (list.ListPulled)
    return;
  list.NextSeedContact = now + list.Timing.SeedPeriod;
  out.push_back(requestList(list, sender));
}

/// A sender that this node still holds as suspect or dead gets a chance to
/// refute. Replies carry its record anyway.
void challengeSender(MemberList &list, const proto::Datagram &datagram,
                     std::vector<Outgoing> &out) {
  auto it = list.Members.find(datagram.from());
  if (it == list.Members.end() || isReachable(it->second.Record) ||
      datagram.kind() == proto::Datagram::PING)
    return;
  out.push_back(ping(list, it->second.Record));
}

} // namespace

MemberList makeMemberList(MemberRecord self, std::vector<std::string> seeds,
                          const MembershipTiming &timing,
                          std::uint64_t randomSeed, base::TimePoint now) {
  MemberList list;
  list.Timing = timing;
  list.Self = std::move(self);
  list.Self.State = MemberState::Alive;
  list.Self.Incarnation = std::max<std::uint64_t>(list.Self.Incarnation, 1);
  list.Seeds = std::move(seeds);
  list.Random.seed(randomSeed);
  list.LastTick = now;
  list.NextProbe = now;
  list.NextDeadProbe = now;
  list.NextSeedContact = now;
  return list;
}

proto::Datagram makeDatagram(const MemberList &list,
                             proto::Datagram::Kind kind) {
  proto::Datagram datagram;
  datagram.set_kind(kind);
  datagram.set_from(list.Self.Node);
  addRecord(datagram, list.Self);
  return datagram;
}

std::vector<const MemberRecord *> randomMembers(MemberList &list,
                                                std::size_t count) {
  std::vector<const MemberRecord *> reachable;
  for (const auto &[node, entry] : list.Members) {
    if (isReachable(entry.Record))
      reachable.push_back(&entry.Record);
  }
  std::vector<const MemberRecord *> chosen;
  std::sample(reachable.begin(), reachable.end(), std::back_inserter(chosen),
              count, list.Random);
  return chosen;
}

std::vector<Outgoing> tick(MemberList &list, base::TimePoint now) {
  std::vector<Outgoing> out;
  base::Duration gap = now - list.LastTick;
  if (gap > list.Timing.PauseThreshold)
    recoverFromPause(list, now);
  list.LastTick = now;
  refillBudget(list, gap);
  std::erase_if(list.Relays,
                [&](const auto &it) { return now >= it.second.Deadline; });
  expireUnfit(list, now);
  checkProbes(list, now, out);
  checkSuspects(list, now, out);
  probeNext(list, now, out);
  checkDead(list, now, out);
  repeatPull(list, now);
  contactSeeds(list, now, out);
  comparePage(list, now, out);
  sendPromptPings(list, out);
  return out;
}

std::vector<Outgoing> receive(MemberList &list, const proto::Datagram &datagram,
                              const std::string &sender, base::TimePoint now) {
  std::vector<Outgoing> out;
  if (datagram.from() == list.Self.Node)
    return out;
  // A starting node pulls what the fleet knows already.
  bool isOldNews =
      datagram.kind() == proto::Datagram::LIST_PAGE && !list.ListPulled;
  for (const auto &it : datagram.updates())
    mergeRecord(list, decodeRecord(it),
                isOldNews ? Spreading::Keep : Spreading::PassOn, now);
  challengeSender(list, datagram, out);
  bool forOther =
      !datagram.target().empty() && datagram.target() != list.Self.Node;
  switch (datagram.kind()) {
  case proto::Datagram::PING:
    // A ping for an earlier process at this endpoint is not confirmed, but its
    // sender learns of this process.
    out.push_back(acknowledge(list, sender, forOther ? 0 : datagram.sequence(),
                              datagram.from()));
    break;
  case proto::Datagram::ACK:
    onAck(list, datagram, out);
    break;
  case proto::Datagram::PING_REQUEST:
    onPingRequest(list, datagram, sender, now, out);
    break;
  case proto::Datagram::LIST_REQUEST:
    onListRequest(list, datagram, sender, out);
    break;
  case proto::Datagram::LIST_PAGE:
    onListPage(list, datagram, sender, now, out);
    break;
  default:
    break;
  }
  return out;
}

std::vector<Outgoing> suspectAtOnce(MemberList &list, const base::NodeId &node,
                                    base::TimePoint now) {
  std::vector<Outgoing> out;
  auto it = list.Members.find(node);
  if (it == list.Members.end() || !isReachable(it->second.Record))
    return out;
  suspect(list, node, now);
  checkSuspects(list, now, out);
  return out;
}

void declareUnfit(MemberList &list, const base::GroupName &group,
                  base::TimePoint until) {
  bool known = list.UnfitUntil.contains(group);
  list.UnfitUntil[group] = until;
  if (!known)
    renewUnfit(list);
}

void withdrawUnfit(MemberList &list, const base::GroupName &group) {
  if (list.UnfitUntil.erase(group) != 0)
    renewUnfit(list);
}

void declareLeaving(MemberList &list) {
  if (list.Self.State == MemberState::Leaving)
    return;
  list.Self.State = MemberState::Leaving;
  renewSelf(list);
  list.Changes.push_back({list.Self, MemberState::Alive, false});
}

std::vector<Outgoing> farewell(MemberList &list) {
  list.Self.State = MemberState::Dead;
  std::vector<Outgoing> out;
  for (const MemberRecord *it : randomMembers(list, FarewellCount)) {
    // A kind that asks for no answer.
    auto datagram = makeDatagram(list, proto::Datagram::ACK);
    out.push_back({it->GossipEndpoint, std::move(datagram)});
  }
  return out;
}

} // namespace baobabpin::membership
