/// Client of the platform's key-value store (design 5.3).
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

/// What is known about a call at its end.
enum class StoreStatus {
  Ok,
  Conflict,    ///< Not changed; Revision holds the current one, 0 for none.
  NotFound,    ///< No such key or lease.
  Compacted,   ///< The watch asked for history that is gone; read the range.
  Unavailable, ///< Not changed: the store was not reached or refused.
  Unknown,     ///< The answer was lost; a change may have taken effect.
};

/// "ok", "conflict" and so on, for metrics and logs.
std::string_view storeStatusName(StoreStatus status);

struct StoreEntry {
  std::string Key;
  std::string Value;
  std::uint64_t Revision = 0;
  /// Set in watch events: the key was deleted at Revision.
  bool Deleted = false;

  bool operator==(const StoreEntry &) const = default;
};

enum class HostState { Live, Leaving };

struct HostEntry {
  std::string Host;
  HostState State = HostState::Live;

  bool operator==(const HostEntry &) const = default;
};

struct StoreReply {
  StoreStatus Status = StoreStatus::Unavailable;
  /// The store's revision; of the changed key for put and erase.
  std::uint64_t Revision = 0;
  /// One for get, all for range and watch.
  std::vector<StoreEntry> Entries;
  std::vector<HostEntry> Hosts;
  /// Of a granted lease.
  std::string Lease;
};

using StoreCallback = std::function<void(StoreReply)>;

struct StoreTimeouts {
  std::chrono::milliseconds Call{1000};
  /// Added to a watch's own waiting time.
  std::chrono::milliseconds WatchGrace{1000};
};

/// Every callback runs once, later, on the loop, unless the client is destroyed
/// before.
class StoreClient {
public:
  StoreClient(kernel::EventLoop &loop, kernel::Metrics &metrics,
              http::Endpoint endpoint, StoreTimeouts timeouts = {});
  ~StoreClient();
  StoreClient(const StoreClient &) = delete;
  StoreClient &operator=(const StoreClient &) = delete;

  void get(const std::string &key, StoreCallback callback);
  void range(const std::string &prefix, StoreCallback callback);
  /// Replaces the value if its revision is \p expectedRevision; 0: must not
  /// exist. \p lease may be empty.
  void put(const std::string &key, const std::string &value,
           std::uint64_t expectedRevision, const std::string &lease,
           StoreCallback callback);
  void erase(const std::string &key, std::uint64_t expectedRevision,
             StoreCallback callback);
  /// Waits up to \p wait for changes after \p fromRevision. Ok without entries
  /// means that there was none.
  void watch(const std::string &prefix, std::uint64_t fromRevision,
             std::chrono::milliseconds wait, StoreCallback callback);
  void grantLease(std::chrono::milliseconds timeToLive, StoreCallback callback);
  void renewLease(const std::string &lease, StoreCallback callback);
  void revokeLease(const std::string &lease, StoreCallback callback);
  void hosts(StoreCallback callback);

private:
  struct State;
  std::shared_ptr<State> Impl;
};

} // namespace baobabpin::store
