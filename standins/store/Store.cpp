#include "standins/store/Store.h"

#include <utility>

namespace standins::store {

namespace {

Revision currentRevision(const Store &store, const std::string &key) {
  const Entry *entry = get(store, key);
  return entry ? entry->LastChange : 0;
}

bool matches(const Store &store, const std::string &key,
             std::optional<Revision> expected) {
  return !expected || *expected == currentRevision(store, key);
}

void detachLease(Store &store, const Entry &entry) {
  auto it = store.Leases.find(entry.Lease);
  if (it != store.Leases.end())
    it->second.Keys.erase(entry.Key);
}

void makeTombstone(Store &store, Entry &entry) {
  detachLease(store, entry);
  entry.Value.clear();
  entry.Lease.clear();
  entry.IsDeleted = true;
  entry.LastChange = ++store.Last;
}

template <typename Wanted>
std::vector<Entry> collect(const Store &store, const std::string &prefix,
                           Wanted wanted) {
  std::vector<Entry> found;
  for (auto it = store.Entries.lower_bound(prefix);
       it != store.Entries.end() && it->first.starts_with(prefix); ++it) {
    if (wanted(it->second))
      found.push_back(it->second);
  }
  return found;
}

} // namespace

std::string_view problemName(StoreProblem problem) {
  switch (problem) {
  case StoreProblem::None:
    return "";
  case StoreProblem::Conflict:
    return "conflict";
  case StoreProblem::NotFound:
    return "not_found";
  case StoreProblem::TooLarge:
    return "too_large";
  case StoreProblem::InvalidLease:
    return "invalid_lease";
  }
  return "";
}

ChangeAnswer put(Store &store, const PutCall &call) {
  if (call.Value.size() > MaxValueBytes)
    return {StoreProblem::TooLarge, currentRevision(store, call.Key)};
  if (!matches(store, call.Key, call.ExpectedRevision))
    return {StoreProblem::Conflict, currentRevision(store, call.Key)};
  auto lease = store.Leases.find(call.Lease);
  if (!call.Lease.empty() && lease == store.Leases.end())
    return {StoreProblem::NotFound, currentRevision(store, call.Key)};
  Entry &entry = store.Entries[call.Key];
  detachLease(store, entry);
  entry = {.Key = call.Key,
           .Value = call.Value,
           .LastChange = ++store.Last,
           .Lease = call.Lease};
  if (lease != store.Leases.end())
    lease->second.Keys.insert(call.Key);
  return {StoreProblem::None, entry.LastChange};
}

ChangeAnswer erase(Store &store, const std::string &key,
                   std::optional<Revision> expected) {
  if (!matches(store, key, expected))
    return {StoreProblem::Conflict, currentRevision(store, key)};
  auto it = store.Entries.find(key);
  if (it == store.Entries.end() || it->second.IsDeleted)
    return {StoreProblem::NotFound, 0};
  makeTombstone(store, it->second);
  return {StoreProblem::None, store.Last};
}

const Entry *get(const Store &store, const std::string &key) {
  auto it = store.Entries.find(key);
  bool exists = it != store.Entries.end() && !it->second.IsDeleted;
  return exists ? &it->second : nullptr;
}

std::vector<Entry> range(const Store &store, const std::string &prefix) {
  return collect(store, prefix, [](const Entry &it) { return !it.IsDeleted; });
}

std::vector<Entry> changesSince(const Store &store, const std::string &prefix,
                                Revision from) {
  return collect(store, prefix,
                 [&](const Entry &it) { return it.LastChange > from; });
}

LeaseAnswer grantLease(Store &store, TimePoint now,
                       std::chrono::milliseconds timeToLive) {
  if (timeToLive.count() <= 0)
    return {StoreProblem::InvalidLease, "", timeToLive};
  std::string id = "lease-" + std::to_string(store.NextLease++);
  store.Leases[id] = {timeToLive, now + timeToLive, {}};
  return {StoreProblem::None, id, timeToLive};
}

LeaseAnswer renewLease(Store &store, TimePoint now, const std::string &id) {
  auto it = store.Leases.find(id);
  if (it == store.Leases.end())
    return {StoreProblem::NotFound, id, {}};
  it->second.ExpiresAt = now + it->second.TimeToLive;
  return {StoreProblem::None, id, it->second.TimeToLive};
}

LeaseAnswer revokeLease(Store &store, const std::string &id) {
  auto node = store.Leases.extract(id);
  if (node.empty())
    return {StoreProblem::NotFound, id, {}};
  for (const auto &key : node.mapped().Keys)
    makeTombstone(store, store.Entries.at(key));
  return {StoreProblem::None, id, node.mapped().TimeToLive};
}

void expireLeases(Store &store, TimePoint now) {
  std::vector<std::string> expired;
  for (const auto &[id, it] : store.Leases) {
    if (it.ExpiresAt <= now)
      expired.push_back(id);
  }
  for (const auto &id : expired)
    revokeLease(store, id);
}

void setHosts(Store &store, TimePoint now, std::chrono::milliseconds lag,
              std::vector<Host> hosts) {
  store.HostLists.push_back({now + lag, std::move(hosts)});
}

std::vector<Host> visibleHosts(Store &store, TimePoint now) {
  auto &lists = store.HostLists;
  while (lists.size() > 1 && lists[1].VisibleFrom <= now)
    lists.pop_front();
  if (lists.empty() || lists.front().VisibleFrom > now)
    return {};
  return lists.front().Hosts;
}

} // namespace standins::store
