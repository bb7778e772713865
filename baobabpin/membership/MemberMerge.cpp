#include "baobabpin/membership/MemberMerge.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace baobabpin::membership {
namespace {

using internal::Spreading;

/// Repetitions of an update per decimal order of the fleet's size. In every
/// probe period a node sends two datagrams, so an update that reached a node is
/// passed on for 2 periods per order; the randomised tests lose none at 4.
constexpr int RepetitionsPerOrder = 4;
/// Joins are repeated less: a new node also makes itself known by its own
/// datagrams and through pages of the list.
constexpr int JoinRepetitionsPart = 4;
/// Joins leave this part of the budget to state changes.
constexpr double JoinBudgetReserve = MaxUpdateBudget / 2;
/// A datagram counts as full after this many records that did not fit.
constexpr int MaxMisfits = 4;
/// Pings sent at once after the own record changed.
constexpr int PromptPingCount = 3;

base::Duration randomPart(MemberList &list, base::Duration whole) {
  std::uniform_int_distribution<base::Duration::rep> part(0, whole.count());
  return base::Duration(part(list.Random));
}

void enqueue(MemberList &list, const base::NodeId &node,
             BroadcastClass broadcastClass) {
  std::erase_if(list.Broadcasts,
                [&](const Broadcast &it) { return it.Node == node; });
  list.Broadcasts.push_front({node, broadcastClass, 0});
}

void updateIndexes(MemberList &list, MemberEntry &entry, base::TimePoint now) {
  const auto &node = entry.Record.Node;
  list.Suspects.erase(node);
  list.Dead.erase(node);
  entry.ProbedHere = false;
  entry.StateSince = now;
  if (entry.Record.State == MemberState::Suspect) {
    list.Suspects.insert(node);
    entry.Deadline = now + list.Timing.HeardSuspicionPeriod;
  }
  if (entry.Record.State == MemberState::Dead) {
    list.Dead.insert(node);
    // Not all holders of the record probe it at the same moment.
    entry.Deadline = now + randomPart(list, list.Timing.DeadProbePeriod);
  }
}

void insertMember(MemberList &list, const MemberRecord &record,
                  Spreading spreading, base::TimePoint now) {
  // A dead member that expired here must not be brought back by a node that
  // still holds it: the record would circulate forever.
  if (record.State == MemberState::Dead)
    return;
  MemberEntry &entry = list.Members[record.Node];
  entry.Record = record;
  updateIndexes(list, entry, now);
  // Without this the first round after a start would probe one member only.
  std::uniform_int_distribution<std::size_t> place(0, list.Round.size());
  auto at = static_cast<std::ptrdiff_t>(place(list.Random));
  list.Round.insert(list.Round.begin() + at, record.Node);
  if (spreading == Spreading::PassOn)
    enqueue(list, record.Node, BroadcastClass::Join);
  list.Changes.push_back({record, std::nullopt, false});
}

void replaceRecord(MemberList &list, MemberEntry &entry,
                   const MemberRecord &record, Spreading spreading,
                   base::TimePoint now) {
  MemberRecord old = std::exchange(entry.Record, record);
  entry.Record.AppliedRevision =
      std::max(old.AppliedRevision, record.AppliedRevision);
  if (spreading == Spreading::PassOn)
    enqueue(list, record.Node, BroadcastClass::Change);
  bool sameState = old.State == record.State;
  // A suspicion of a higher incarnation is a new one.
  if (!sameState || record.State == MemberState::Suspect)
    updateIndexes(list, entry, now);
  if (sameState && old.UnfitGroups == record.UnfitGroups)
    return;
  list.Changes.push_back({entry.Record, old.State, false});
}

void mergeStale(MemberEntry &entry, const MemberRecord &record,
                base::TimePoint now) {
  MemberRecord &held = entry.Record;
  held.AppliedRevision = std::max(held.AppliedRevision, record.AppliedRevision);
  if (held.State != MemberState::Dead || record.State >= MemberState::Suspect ||
      held.Incarnation != record.Incarnation)
    return;
  // Somebody reaches the member: a partition may have ended.
  entry.Deadline = std::min(entry.Deadline, now);
}

void mergeAboutSelf(MemberList &list, const MemberRecord &record) {
  if (!supersedes(record, list.Self))
    return;
  list.Self.Incarnation = record.Incarnation;
  internal::renewSelf(list);
}

/// Whether a process younger than \p record's is known on its host. Removes the
/// older ones.
bool isOutlived(MemberList &list, const MemberRecord &record) {
  if (isYoungerProcess(list.Self.Node, record.Node))
    return true;
  std::string prefix = record.Node.substr(0, record.Node.rfind('/') + 1);
  std::vector<base::NodeId> older;
  auto it = list.Members.lower_bound(prefix);
  for (; it != list.Members.end() && it->first.starts_with(prefix); ++it) {
    if (isYoungerProcess(it->first, record.Node))
      return true;
    if (isYoungerProcess(record.Node, it->first))
      older.push_back(it->first);
  }
  for (const auto &node : older)
    internal::removeMember(list, node);
  return false;
}

} // namespace

int retransmitLimit(std::size_t n) {
  double orders = std::ceil(std::log10(static_cast<double>(n) + 1));
  return RepetitionsPerOrder * std::max(1, static_cast<int>(orders));
}

std::vector<MemberChange> takeChanges(MemberList &list) {
  return std::exchange(list.Changes, {});
}

namespace internal {

void mergeRecord(MemberList &list, const MemberRecord &record,
                 Spreading spreading, base::TimePoint now) {
  if (record.Node.empty() || record.GossipEndpoint.empty())
    return;
  if (record.Node == list.Self.Node) {
    mergeAboutSelf(list, record);
    return;
  }
  if (isOutlived(list, record))
    return;
  auto it = list.Members.find(record.Node);
  if (it == list.Members.end())
    insertMember(list, record, spreading, now);
  else if (supersedes(record, it->second.Record))
    replaceRecord(list, it->second, record, spreading, now);
  else
    mergeStale(it->second, record, now);
}

void changeState(MemberList &list, MemberEntry &entry, MemberState state,
                 base::TimePoint now) {
  MemberRecord record = entry.Record;
  record.State = state;
  replaceRecord(list, entry, record, Spreading::PassOn, now);
}

void suspect(MemberList &list, const base::NodeId &node, base::TimePoint now) {
  auto it = list.Members.find(node);
  if (it == list.Members.end() || it->second.Record.State == MemberState::Dead)
    return;
  MemberEntry &entry = it->second;
  if (entry.Record.State != MemberState::Suspect)
    changeState(list, entry, MemberState::Suspect, now);
  if (entry.ProbedHere)
    return;
  entry.ProbedHere = true;
  entry.Deadline = std::min(entry.Deadline, now + list.Timing.SuspicionPeriod);
  entry.NextPing = now;
}

void removeMember(MemberList &list, const base::NodeId &node) {
  auto it = list.Members.find(node);
  if (it == list.Members.end())
    return;
  MemberRecord record = std::move(it->second.Record);
  list.Members.erase(it);
  list.Suspects.erase(node);
  list.Dead.erase(node);
  list.Changes.push_back({record, record.State, true});
}

void renewSelf(MemberList &list) {
  ++list.Self.Incarnation;
  list.PromptPings = PromptPingCount;
}

bool addRecord(proto::Datagram &datagram, const MemberRecord &record) {
  proto::MemberRecord encoded;
  encodeRecord(record, encoded);
  // Tag and length of the field take up to 3 bytes.
  std::size_t size = datagram.ByteSizeLong() + encoded.ByteSizeLong() + 3;
  if (size > MaxDatagramBytes - ReservedBytes)
    return false;
  *datagram.add_updates() = std::move(encoded);
  return true;
}

void addUpdates(MemberList &list, proto::Datagram &datagram,
                const base::NodeId &target) {
  auto held = list.Members.find(target);
  if (held != list.Members.end() &&
      held->second.Record.State >= MemberState::Suspect)
    addRecord(datagram, held->second.Record);
  std::size_t sizeBefore = datagram.ByteSizeLong();
  int limit = retransmitLimit(list.Members.size());
  int misfits = 0;
  for (auto &it : list.Broadcasts) {
    bool isJoin = it.Class == BroadcastClass::Join;
    if (misfits == MaxMisfits ||
        list.UpdateBudget < (isJoin ? JoinBudgetReserve : 0))
      break;
    auto member = list.Members.find(it.Node);
    if (member == list.Members.end()) {
      it.Sent = limit;
      continue;
    }
    if (it.Node == target)
      continue;
    if (addRecord(datagram, member->second.Record))
      it.Sent += isJoin ? JoinRepetitionsPart : 1;
    else
      ++misfits;
  }
  list.UpdateBudget -=
      static_cast<double>(datagram.ByteSizeLong() - sizeBefore);
  std::erase_if(list.Broadcasts,
                [&](const Broadcast &it) { return it.Sent >= limit; });
  std::stable_sort(list.Broadcasts.begin(), list.Broadcasts.end(),
                   [](const Broadcast &a, const Broadcast &b) {
                     return std::pair(a.Class, a.Sent) <
                            std::pair(b.Class, b.Sent);
                   });
}

} // namespace internal
} // namespace baobabpin::membership
