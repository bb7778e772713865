/// The state of the platform's store, as plain structs and free functions that
/// take the time as an argument: compare-and-swap by revision, tombstones,
/// leases, and the lagging list of hosts.
///
/// \code
///   Store store;
///   ChangeAnswer a = put(store, {.Key = "k", .Value = "1",
///                                .ExpectedRevision = 0});
///   std::vector<Entry> seen = changesSince(store, "", 0);
/// \endcode
#pragma once

#include "baobabpin/base/Time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace standins::store {

using baobabpin::base::TimePoint;
/// Grows by one with each change in the whole store; 0 is before any change.
using Revision = std::uint64_t;

constexpr std::size_t MaxValueBytes = 1 << 20;

enum class StoreProblem {
  None,
  Conflict,     ///< The key has another revision than expected.
  NotFound,     ///< No such key or lease.
  TooLarge,     ///< The value exceeds MaxValueBytes.
  InvalidLease, ///< The time to live is not positive.
};

/// "conflict" and so on; the empty string for None.
std::string_view problemName(StoreProblem problem);

/// The newest state of a key. A deleted key stays as a tombstone, so that
/// watches can report the deletion.
struct Entry {
  std::string Key;
  std::string Value;
  Revision LastChange = 0;
  /// The lease that the key ends with; empty for none.
  std::string Lease;
  bool IsDeleted = false;
};

struct Lease {
  std::chrono::milliseconds TimeToLive{0};
  TimePoint ExpiresAt;
  std::set<std::string> Keys;
};

struct Host {
  std::string Name;
  bool IsLeaving = false;
};

struct HostListVersion {
  TimePoint VisibleFrom;
  std::vector<Host> Hosts;
};

struct Store {
  Revision Last = 0;
  std::map<std::string, Entry> Entries;
  std::map<std::string, Lease> Leases;
  std::uint64_t NextLease = 1;
  /// In the order in which they become visible.
  std::deque<HostListVersion> HostLists;
};

struct ChangeAnswer {
  StoreProblem Error = StoreProblem::None;
  /// Of the change; after a conflict, the key's current one (0: no such key).
  Revision At = 0;
};

struct PutCall {
  std::string Key;
  std::string Value;
  /// Empty writes unconditionally; 0 requires that the key does not exist.
  std::optional<Revision> ExpectedRevision;
  std::string Lease;
};

ChangeAnswer put(Store &store, const PutCall &call);
ChangeAnswer erase(Store &store, const std::string &key,
                   std::optional<Revision> expected);

/// Null for a key that does not exist.
const Entry *get(const Store &store, const std::string &key);
std::vector<Entry> range(const Store &store, const std::string &prefix);
/// The newest states, tombstones included, that are newer than \p from.
std::vector<Entry> changesSince(const Store &store, const std::string &prefix,
                                Revision from);

struct LeaseAnswer {
  StoreProblem Error = StoreProblem::None;
  std::string Id;
  std::chrono::milliseconds TimeToLive{0};
};

LeaseAnswer grantLease(Store &store, TimePoint now,
                       std::chrono::milliseconds timeToLive);
LeaseAnswer renewLease(Store &store, TimePoint now, const std::string &id);
/// Deletes the keys of the lease.
LeaseAnswer revokeLease(Store &store, const std::string &id);
/// Revokes every lease that ran out by \p now; call before any other function.
void expireLeases(Store &store, TimePoint now);

/// The list becomes visible \p lag after \p now.
void setHosts(Store &store, TimePoint now, std::chrono::milliseconds lag,
              std::vector<Host> hosts);
std::vector<Host> visibleHosts(Store &store, TimePoint now);

} // namespace standins::store
