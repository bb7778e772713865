/// Distributes the operators' configuration: from the store through two
/// watchers per availability zone to every node.
///
/// \code
///   auto &config = kernel.find<ConfigSyncService>("configsync");
///   config.onChange([&](const ConfigRecord &it) { ... });
///   config.compareAndSwap(key, value, revision, [](WriteResult it) { ... });
/// \endcode
#pragma once

#include "baobabpin/configsync/ConfigCopy.h"
#include "baobabpin/configsync/StoreWrite.h"
#include "baobabpin/http/HttpClient.h"
#include "baobabpin/kernel/Kernel.h"
#include "baobabpin/store/StoreClient.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace baobabpin::configsync {

/// All configuration keys begin with this: "resources/<kind>/<name>".
inline constexpr std::string_view ResourcePrefix = "resources/";

struct ConfigSyncSettings {
  http::Endpoint Store;
  store::StoreTimeouts StoreTimeouts = {};
  std::chrono::milliseconds HostListPeriod{2000};
  /// A starting node does not watch the store before this time: until it knows
  /// its zone's members, every node ranks itself first.
  std::chrono::milliseconds SettleTime{1000};
  /// For this long after its start, and after each member that joins, a node
  /// assumes that it does not know all members yet.
  std::chrono::milliseconds JoinSettleTime{10'000};
};

using WriteCallback = std::function<void(WriteResult)>;
using InForceCallback = std::function<void(proto::InForceReply)>;

class ConfigSyncService : public kernel::Service {
public:
  explicit ConfigSyncService(ConfigSyncSettings settings);
  ~ConfigSyncService() override;

  std::string_view name() const override { return "configsync"; }
  /// Needs the service "membership".
  base::Result<void> start(kernel::Kernel &kernel) override;
  void stop() override;

  /// The value of a key; empty when it does not exist here.
  std::optional<std::string> find(const std::string &key) const;
  /// The record of a key, also a tombstone; null when never seen.
  const ConfigRecord *findRecord(const std::string &key) const;
  /// The existing keys with this prefix, in order.
  std::vector<ConfigRecord> list(const std::string &prefix) const;
  /// Called for each applied record, after it is visible in find().
  void onChange(std::function<void(const ConfigRecord &)> callback);
  /// Everything up to this revision is applied here; 0 before the first
  /// configuration has arrived.
  std::uint64_t appliedRevision() const;

  /// Commits \p value if the key's revision is \p expectedRevision (0: must not
  /// exist). The value must contain the writer's mark, an ID drawn anew for
  /// each write: a lost answer is resolved by reading the value back.
  void compareAndSwap(const std::string &key, const std::string &value,
                      std::uint64_t expectedRevision,
                      const WriteCallback &callback);
  void compareAndDelete(const std::string &key, std::uint64_t expectedRevision,
                        const WriteCallback &callback);

  /// Reads the key from the store and applies what it finds here before it
  /// calls back; false when the store did not answer.
  void readThrough(const std::string &key,
                   std::function<void(bool available)> callback);

  /// For the Peer gRPC service: the difference that a peer asks for.
  proto::SyncReply handleSync(const proto::SyncRequest &request) const;
  /// For the Peer gRPC service: the members of this node's zone and whether
  /// they applied \p revision.
  proto::InForceReply handleInForce(std::uint64_t revision) const;
  /// Asks the watchers of all zones; nodes of a zone that gives no answer
  /// within a second are listed as cut off. While members are joining, the
  /// platform's live hosts without a known member are listed as unknown; if the
  /// store does not answer, only the known members are listed.
  void queryInForce(std::uint64_t revision, const InForceCallback &callback);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace baobabpin::configsync
