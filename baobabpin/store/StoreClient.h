/// Client of the /v1 API of the platform's key-value store (section 5.3 of the
/// design). platform::PlatformStore is the client of the /kv-range and /kv-txn
/// API.
///
/// \code
///   StoreClient store(loop, metrics, {"127.0.0.1", 7000});
///   store.put("k", "v", 0, "", [](StoreReply reply) {
///     if (reply.Status == StoreStatus::Unknown) readBack();
///   });
/// \endcode
#pragma once

#include "baobabpin/http/HttpClient.h"
#include "baobabpin/kernel/Metrics.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace baobabpin::store {

/// Outcome of a call, as far as the client knows it.
enum class StoreStatus {
  Ok,
  Conflict,  ///< Not changed: the revision differed. Revision is the current
             ///< one, 0 if the key does not exist.
  NotFound,  ///< The key or lease does not exist.
  Compacted, ///< The store no longer has the changes that the watch asked for;
             ///< the caller must read the range.
  /// The call had no effect: the store was not reached or refused the call, or
  /// the reply to a read was lost.
  Unavailable,
  /// The reply to a change was lost; the change may have taken effect.
  Unknown,
};

/// Returns the name of a status for metrics and logs, such as "conflict".
std::string_view storeStatusName(StoreStatus status);

/// A key with its value, or one change of a key.
struct StoreEntry {
  std::string Key;
  std::string Value;
  std::uint64_t Revision = 0;
  /// Set only in the reply to a watch: the key was deleted at Revision.
  bool Deleted = false;

  bool operator==(const StoreEntry &) const = default;
};

enum class HostState { Live, Leaving };

/// One host in the platform's list.
struct HostEntry {
  std::string Host;
  HostState State = HostState::Live;

  bool operator==(const HostEntry &) const = default;
};

struct StoreReply {
  StoreStatus Status = StoreStatus::Unavailable;
  /// Revision of the store for range and watch; for get, put and erase that of
  /// the key, also after a Conflict. PlatformStore does not set it after a
  /// Conflict.
  std::uint64_t Revision = 0;
  /// The entry of a get, all entries of a range, or all changes of a watch.
  std::vector<StoreEntry> Entries;
  std::vector<HostEntry> Hosts;
  /// Identifier of a granted lease.
  std::string Lease;
};

using StoreCallback = std::function<void(StoreReply)>;

struct StoreTimeouts {
  /// Limits each call except a watch.
  std::chrono::milliseconds Call{1000};
  /// Time that a watch call may take in addition to its waiting time.
  std::chrono::milliseconds WatchMargin{1000};
};

/// Every callback runs exactly once on the event loop, after the call has
/// returned, unless the client is destroyed first.
class StoreClient {
public:
  StoreClient(kernel::EventLoop &loop, kernel::Metrics &metrics,
              http::Endpoint endpoint, StoreTimeouts timeouts = {});
  ~StoreClient();
  StoreClient(const StoreClient &) = delete;
  StoreClient &operator=(const StoreClient &) = delete;

  void get(const std::string &key, StoreCallback callback);
  void range(const std::string &prefix, StoreCallback callback);
  /// Writes the value if the key has the revision \p expectedRevision, or if it
  /// does not exist and \p expectedRevision is 0; fails with Conflict
  /// otherwise. The key belongs to \p lease unless that is empty.
  void put(const std::string &key, const std::string &value,
           std::uint64_t expectedRevision, const std::string &lease,
           StoreCallback callback);
  /// Deletes the key if it has the revision \p expectedRevision.
  void erase(const std::string &key, std::uint64_t expectedRevision,
             StoreCallback callback);
  /// Waits up to \p wait for changes after \p fromRevision. A reply with status
  /// Ok and no entries means that nothing changed.
  void watch(const std::string &prefix, std::uint64_t fromRevision,
             std::chrono::milliseconds wait, StoreCallback callback);
  void grantLease(std::chrono::milliseconds timeToLive, StoreCallback callback);
  void renewLease(const std::string &lease, StoreCallback callback);
  void revokeLease(const std::string &lease, StoreCallback callback);
  /// Reads the platform's list of hosts.
  void hosts(StoreCallback callback);

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace baobabpin::store
