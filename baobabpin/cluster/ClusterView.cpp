#include "baobabpin/cluster/ClusterView.h"

#include "baobabpin/base/Hash.h"
#include "baobabpin/cluster/CommitHolders.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace baobabpin::cluster {
namespace {

using nlohmann::json;

json toJson(const std::vector<TermStart> &terms) {
  json list = json::array();
  for (const auto &it : terms)
    list.push_back({it.Term, it.Position.Term, it.Position.Index});
  return list;
}

std::vector<TermStart> termsFrom(const json &list) {
  std::vector<TermStart> terms;
  for (const json &it : list)
    terms.push_back(
        {it.at(0).get<base::TermNumber>(),
         {it.at(1).get<base::TermNumber>(), it.at(2).get<base::LogIndex>()}});
  return terms;
}

json toJson(const std::vector<ServerRun> &runs) {
  json list = json::array();
  for (const auto &it : runs)
    list.push_back(
        {it.Id, it.StartedMs, http::formatEndpoint(it.Address), it.Draining});
  return list;
}

std::vector<ServerRun> runsFrom(const json &list) {
  std::vector<ServerRun> runs;
  for (const json &it : list)
    runs.push_back({it.at(0).get<std::string>(), it.at(1).get<std::int64_t>(),
                    http::parseEndpoint(it.at(2).get<std::string>()),
                    it.at(3).get<bool>()});
  return runs;
}

json toJson(const GroupRecord &it) {
  json object{{"epoch", it.Epoch},
              {"primary", it.Primary},
              {"primary_started_ms", it.PrimaryStartedMs},
              {"term", it.Term},
              {"base_term", it.StartPosition.Term},
              {"base_index", it.StartPosition.Index},
              {"earlier_terms", toJson(it.EarlierTerms)},
              {"moving", it.FailoverInProgress},
              {"mover", it.Coordinator},
              {"token", it.Token}};
  if (it.Holders)
    object["holders"] = toJson(*it.Holders);
  return object;
}

json toJson(const NodeRecord &it) {
  return {{"incarnation", it.Incarnation},
          {"added_ms", it.AddedMs},
          {"peer", http::formatEndpoint(it.Peer)},
          {"relay", http::formatEndpoint(it.Relay)},
          {"zone", it.Zone},
          {"capacity", it.Capacity},
          {"lease_ms", it.Lease.count()},
          {"retired", it.Retired}};
}

json toJson(const DutyRecord &it) {
  return {{"holder", it.Holder}, {"token", it.Token}};
}

GroupRecord groupFrom(const json &it) {
  // A program version without this field does not know the holders.
  auto holders = it.find("holders");
  return {.Epoch = it.at("epoch").get<std::uint64_t>(),
          .Primary = it.at("primary").get<std::string>(),
          .PrimaryStartedMs = it.value("primary_started_ms", std::int64_t{0}),
          .Term = it.at("term").get<base::TermNumber>(),
          .StartPosition = {it.at("base_term").get<base::TermNumber>(),
                            it.at("base_index").get<base::LogIndex>()},
          // A program version without this field remembers no earlier term.
          .EarlierTerms = termsFrom(it.value("earlier_terms", json::array())),
          .Holders = holders == it.end() ? std::nullopt
                                         : std::optional(runsFrom(*holders)),
          .FailoverInProgress = it.at("moving").get<bool>(),
          .Coordinator = it.at("mover").get<std::string>(),
          .Token = it.at("token").get<std::uint64_t>()};
}

NodeRecord nodeFrom(const json &it) {
  return {.Incarnation = it.at("incarnation").get<std::uint64_t>(),
          .AddedMs = it.at("added_ms").get<std::uint64_t>(),
          .Peer = http::parseEndpoint(it.at("peer").get<std::string>()),
          .Relay = http::parseEndpoint(it.at("relay").get<std::string>()),
          .Zone = it.at("zone").get<std::string>(),
          .Capacity = it.at("capacity").get<int>(),
          // A program version without this field used PrimaryLease.
          .Lease = std::chrono::milliseconds(it.value(
              "lease_ms", static_cast<std::int64_t>(PrimaryLease.count()))),
          .Retired = it.at("retired").get<bool>()};
}

DutyRecord dutyFrom(const json &it) {
  return {.Holder = it.at("holder").get<std::string>(),
          .Token = it.at("token").get<std::uint64_t>()};
}

/// Applies an entry to one map of records. An older revision never replaces a
/// newer one.
template <typename T, typename Decode>
void applyToRecords(std::map<std::string, Versioned<T>> &records,
                    const std::string &name, const store::StoreEntry &entry,
                    Decode decode) {
  auto it = records.find(name);
  if (it != records.end() && it->second.Revision >= entry.Revision)
    return;
  if (entry.Deleted) {
    records.erase(name);
    return;
  }
  records[name] = {decode(json::parse(entry.Value)), entry.Revision};
}

void decodeAndApply(ClusterView &view, const std::string &key,
                    const store::StoreEntry &entry) {
  const std::string groupPart = GroupKeyPart;
  const std::string nodePart = NodeKeyPart;
  if (key.starts_with(groupPart)) {
    applyToRecords(view.Groups, key.substr(groupPart.size()), entry, groupFrom);
    return;
  }
  if (key.starts_with(nodePart)) {
    applyToRecords(view.Nodes, key.substr(nodePart.size()), entry, nodeFrom);
    return;
  }
  if (key == DutyKeyPart && entry.Revision > view.Duty.Revision)
    view.Duty = {entry.Deleted ? DutyRecord{}
                               : dutyFrom(json::parse(entry.Value)),
                 entry.Deleted ? 0 : entry.Revision};
}

template <typename T>
json recordsToJson(const std::map<std::string, Versioned<T>> &records) {
  json object = json::object();
  for (const auto &[name, it] : records)
    object[name] = {{"value", toJson(it.Value)}, {"revision", it.Revision}};
  return object;
}

template <typename T, typename Decode>
std::map<std::string, Versioned<T>> recordsFrom(const json &object,
                                                Decode decode) {
  std::map<std::string, Versioned<T>> records;
  for (const auto &[name, it] : object.items())
    records[name] = {decode(it.at("value")),
                     it.at("revision").template get<std::uint64_t>()};
  return records;
}

/// Whether \p it says more than \p other, a record of the same group. The
/// announcement of a failover keeps the epoch.
bool isLater(const GroupRecord &it, const GroupRecord &other) {
  return std::tuple(it.Epoch, it.FailoverInProgress, it.Token) >
         std::tuple(other.Epoch, other.FailoverInProgress, other.Token);
}

bool isLater(const DutyRecord &it, const DutyRecord &other) {
  return it.Token > other.Token;
}

/// The number that only grows as long as the store loses nothing.
std::uint64_t numberOf(const GroupRecord &it) { return it.Epoch; }
std::uint64_t numberOf(const DutyRecord &it) { return it.Token; }

/// Adopts \p other if its revision is newer, or if it holds what is known of a
/// lost record with the same revision. A record that was created anew does not
/// replace what is known of the lost one.
template <typename T>
bool keepNewer(Versioned<T> &record, const Versioned<T> &other) {
  bool newer =
      other.Revision > record.Revision ||
      (other.Revision == record.Revision && isLater(other.Value, record.Value));
  Versioned<T> older = newer ? std::exchange(record, other) : other;
  bool lost = numberOf(older.Value) > numberOf(record.Value);
  if (lost)
    record.Value = std::move(older.Value);
  return newer || lost;
}

/// Keeps the contents of \p lost, a record of an earlier era, if they are later
/// than those that the store has now.
template <typename T>
void keepLost(Versioned<T> &record, const Versioned<T> &lost) {
  if (isLater(lost.Value, record.Value))
    record.Value = lost.Value;
}

/// Adds the holders of a record of the same epoch. Two records that otherwise
/// say the same differ in them after the store was restored.
bool keepHolders(GroupRecord &record, const GroupRecord &other) {
  return record.Epoch == other.Epoch && mergeHolders(record, other);
}

/// Replaces \p view by \p other, a view of a later era.
void enterEra(ClusterView &view, ClusterView other) {
  std::swap(view, other);
  keepLost(view.Duty, other.Duty);
  for (const auto &[group, it] : other.Groups) {
    auto &record = view.Groups[group];
    keepLost(record, it);
    keepHolders(record.Value, it.Value);
  }
}

/// Adopts the records of groups and of the promotion duty that \p other has in
/// a newer revision. These records are never deleted.
bool keepNewerRecords(ClusterView &view, const ClusterView &other) {
  bool changed = keepNewer(view.Duty, other.Duty);
  for (const auto &[group, it] : other.Groups) {
    auto &record = view.Groups[group];
    changed |= keepNewer(record, it);
    if (record.Revision == it.Revision)
      changed |= keepHolders(record.Value, it.Value);
  }
  return changed;
}

json contentsOf(const ClusterView &view) {
  return {{"era", view.Era},
          {"groups", recordsToJson(view.Groups)},
          {"nodes", recordsToJson(view.Nodes)},
          {"duty", toJson(view.Duty.Value)},
          {"duty_revision", view.Duty.Revision}};
}

} // namespace

std::string encodeRecord(const GroupRecord &it) { return toJson(it).dump(); }
std::string encodeRecord(const NodeRecord &it) { return toJson(it).dump(); }
std::string encodeRecord(const DutyRecord &it) { return toJson(it).dump(); }

bool applyEntry(ClusterView &view, const std::string &prefix,
                const store::StoreEntry &entry) {
  if (!entry.Key.starts_with(prefix))
    return false;
  try {
    decodeAndApply(view, entry.Key.substr(prefix.size()), entry);
    return true;
  } catch (const json::exception &) {
    return false;
  }
}

base::StorePosition positionOf(const ClusterView &view) {
  return {view.Era, view.Revision};
}

bool isLatestRecord(const GroupRecord &record,
                    const std::vector<KnownRecord> &others,
                    std::size_t quorum) {
  if (record.FailoverInProgress || others.size() + 1 < quorum)
    return false;
  return std::ranges::none_of(others, [&](const KnownRecord &it) {
    return it.FailoverInProgress || it.Epoch > record.Epoch;
  });
}

std::uint64_t nextToken(std::uint64_t last, std::uint64_t era) {
  return std::max(last, firstNumberOf(era)) + 1;
}

std::size_t confirmQuorum(std::size_t registered) { return registered / 2 + 1; }

std::size_t revocationQuorum(std::size_t registered, std::size_t recent) {
  return registered - (registered - recent) / 2;
}

std::size_t countRecentlyAdded(const ClusterView &view,
                               std::chrono::milliseconds wallTime) {
  constexpr auto MaxAge =
      OfflineLimit + PrimaryLease + LeaseMargin + WallClockTolerance;
  return static_cast<std::size_t>(
      std::ranges::count_if(view.Nodes, [&](const auto &it) {
        std::chrono::milliseconds added(it.second.Value.AddedMs);
        return added + MaxAge > wallTime;
      }));
}

std::uint64_t digestOf(const ClusterView &view) {
  return base::hash64(contentsOf(view).dump());
}

std::string encodeView(const ClusterView &view) {
  json object = contentsOf(view);
  object["revision"] = view.Revision;
  return object.dump();
}

ClusterView decodeView(const std::string &text) {
  ClusterView view;
  try {
    json object = json::parse(text);
    view.Groups = recordsFrom<GroupRecord>(object.at("groups"), groupFrom);
    view.Nodes = recordsFrom<NodeRecord>(object.at("nodes"), nodeFrom);
    view.Duty = {dutyFrom(object.at("duty")),
                 object.at("duty_revision").get<std::uint64_t>()};
    // A program version without this field does not know of eras.
    view.Era = object.value("era", std::uint64_t{0});
    view.Revision = object.at("revision").get<std::uint64_t>();
  } catch (const json::exception &) {
    return {};
  }
  return view;
}

bool mergeView(ClusterView &view, ClusterView other) {
  if (other.Era > view.Era) {
    enterEra(view, std::move(other));
    return true;
  }
  if (positionOf(other) < positionOf(view))
    return false;
  auto confirmed = std::max(view.ConfirmedAt, other.ConfirmedAt);
  auto storeConfirmed = std::max(view.StoreConfirmedAt, other.StoreConfirmedAt);
  bool changed = other.Revision > view.Revision;
  if (changed)
    std::swap(view, other);
  changed |= keepNewerRecords(view, other);
  view.ConfirmedAt = confirmed;
  view.StoreConfirmedAt = storeConfirmed;
  return changed;
}

std::string encodeGroupChange(const ClusterView &view,
                              const base::GroupName &group) {
  ClusterView part;
  part.Era = view.Era;
  if (auto it = view.Groups.find(group); it != view.Groups.end())
    part.Groups.insert(*it);
  part.Duty = view.Duty;
  return encodeView(part);
}

bool applyGroupChange(ClusterView &view, const std::string &text) {
  ClusterView change = decodeView(text);
  return change.Era == view.Era && keepNewerRecords(view, change);
}

std::string formatIdentity(const NodeIdentity &it) {
  return it.Node + "/" + std::to_string(it.Incarnation);
}

std::string_view primaryUseName(PrimaryUse use) {
  switch (use) {
  case PrimaryUse::Allowed:
    return "allowed";
  case PrimaryUse::UnknownGroup:
    return "unknown_group";
  case PrimaryUse::FailoverInProgress:
    return "moving";
  case PrimaryUse::Unverified:
    return "unverified";
  case PrimaryUse::LeaseExpired:
    return "lease_expired";
  case PrimaryUse::Unregistered:
    break;
  }
  return "unregistered";
}

std::chrono::milliseconds longestLease(const ClusterView &view) {
  std::chrono::milliseconds longest = SmallFleetLease;
  for (const auto &[name, it] : view.Nodes)
    longest = std::max(longest, it.Value.Lease);
  return longest;
}

bool usesSmallFleetLease(const ClusterView &view) {
  auto small = std::ranges::count_if(view.Nodes, [](const auto &it) {
    return it.second.Value.Lease <= SmallFleetLease;
  });
  return 2 * static_cast<std::size_t>(small) > view.Nodes.size();
}

std::chrono::milliseconds usableLease(const ClusterView &view,
                                      const std::string &self,
                                      std::chrono::milliseconds wanted,
                                      bool uncertain) {
  auto it = view.Nodes.find(self);
  if (uncertain || it == view.Nodes.end())
    return std::min(wanted, SmallFleetLease);
  return std::min(wanted, it->second.Value.Lease);
}

PrimaryUse checkPrimaryUse(const ClusterView &view, const NodeIdentity &self,
                           const base::GroupName &group,
                           std::uint64_t revokedEpoch,
                           std::chrono::milliseconds lease,
                           base::BootTime now) {
  auto it = view.Groups.find(group);
  if (it == view.Groups.end())
    return PrimaryUse::UnknownGroup;
  if (now - view.ConfirmedAt >= lease)
    return PrimaryUse::LeaseExpired;
  auto node = view.Nodes.find(self.Node);
  if (node == view.Nodes.end() || node->second.Value.Retired ||
      node->second.Value.Incarnation != self.Incarnation)
    return PrimaryUse::Unregistered;
  const GroupRecord &record = it->second.Value;
  if (!isVerified(record, view.Era))
    return PrimaryUse::Unverified;
  if (record.FailoverInProgress || record.Epoch <= revokedEpoch)
    return PrimaryUse::FailoverInProgress;
  return PrimaryUse::Allowed;
}

} // namespace baobabpin::cluster
