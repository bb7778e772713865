/// Calls of other nodes' Peer service by gRPC, for the configuration.
///
/// \code
///   client.sync("10.0.0.5:7101", request, [](auto reply) { ... });
/// \endcode
#pragma once

#include "baobabpin/kernel/EventLoop.h"
#include "baobabpin/proto/peer.pb.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace baobabpin::configsync {

/// Empty when the call failed or got no answer in time.
using SyncCallback = std::function<void(std::optional<proto::SyncReply>)>;
using PeerInForceCallback =
    std::function<void(std::optional<proto::InForceReply>)>;

/// Callbacks run once, later, on the loop, unless the client is destroyed
/// before.
class PeerClient {
public:
  explicit PeerClient(kernel::EventLoop &loop);
  /// Cancels the calls in flight.
  ~PeerClient();
  PeerClient(const PeerClient &) = delete;
  PeerClient &operator=(const PeerClient &) = delete;

  void sync(const std::string &endpoint, const proto::SyncRequest &request,
            SyncCallback callback);
  void inForce(const std::string &endpoint,
               const proto::InForceRequest &request,
               PeerInForceCallback callback);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace baobabpin::configsync
