/// Statements and administrative calls between nodes. One gRPC stream per pair
/// of nodes carries requests to the node that runs the statements of a database
/// group (the owner of the group), and its replies.
///
/// \code
///   auto &peers = kernel.find<PeerService>("peer");
///   peers.forward("127.0.0.1:7101", request, [](ForwardResult result) {
///     // result.Outcome tells whether the owner may have run the request.
///   });
/// \endcode
#pragma once

#include "baobabpin/http/HttpClient.h"
#include "baobabpin/kernel/Kernel.h"
#include "baobabpin/proto/peer.pb.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace baobabpin::peer {

/// What is known about a forwarded request when it ends.
enum class ForwardOutcome {
  Answered, ///< Reply holds the owner's reply.
  NotSent,  ///< The request did not reach the owner.
  Lost,     ///< The stream broke or timed out; the owner may have run it.
};

struct ForwardResult {
  ForwardOutcome Outcome = ForwardOutcome::Lost;
  proto::ForwardReply Reply;
};

using ForwardCallback = std::function<void(ForwardResult)>;
using ReplyCallback = std::function<void(proto::ForwardReply)>;
using ForwardHandler =
    std::function<void(const proto::ForwardRequest &, ReplyCallback)>;
/// Returns the configuration records that the calling node lacks.
using SyncHandler = std::function<proto::SyncReply(const proto::SyncRequest &)>;
/// Returns for each node whether it has applied a configuration revision.
using InForceHandler =
    std::function<proto::InForceReply(const proto::InForceRequest &)>;

/// Returns events that this node has recorded.
using EventsHandler =
    std::function<proto::TimelineReply(const proto::TimelineRequest &)>;
/// Returns the state of a group that this node runs.
using DescribeHandler =
    std::function<proto::DescribeReply(const proto::DescribeRequest &)>;
/// Gets nothing when the call failed or was not answered within one second.
using EventsCallback = std::function<void(std::optional<proto::TimelineReply>)>;
using DescribeCallback =
    std::function<void(std::optional<proto::DescribeReply>)>;

struct PeerSettings {
  http::Endpoint Listen;
  /// A stream with pending requests is pinged when nothing was received for
  /// this long, and closed after twice this time.
  base::Duration PingAfter = std::chrono::milliseconds(150);
};

class PeerService : public kernel::Service {
public:
  explicit PeerService(PeerSettings settings);
  ~PeerService() override;

  std::string_view name() const override { return "peer"; }
  base::Result<void> start(kernel::Kernel &kernel) override;
  void stop() override;

  /// Returns the address on which this node listens. The port is known only
  /// after start().
  http::Endpoint endpoint() const;

  /// Handlers must be set before start(). They run on the event loop. The
  /// forward handler may reply later.
  void setForwardHandler(ForwardHandler handler);
  void setSyncHandler(SyncHandler handler);
  void setInForceHandler(InForceHandler handler);
  void setEventsHandler(EventsHandler handler);
  void setDescribeHandler(DescribeHandler handler);
  /// Sets the callback that gets the endpoint of each stream that was closed
  /// because nothing was received.
  void
  onStreamTimeout(std::function<void(const std::string &endpoint)> callback);

  /// Sends \p request to the node at \p endpoint, with a correlation number
  /// that is set here. The callback runs once, later, on the event loop.
  void forward(const std::string &endpoint, proto::ForwardRequest request,
               ForwardCallback callback);

  /// Fetches the events that another node has recorded.
  void fetchEvents(const std::string &endpoint,
                   const proto::TimelineRequest &request,
                   EventsCallback callback);
  /// Fetches the state of a group from the node that owns it.
  void describeGroup(const std::string &endpoint,
                     const proto::DescribeRequest &request,
                     DescribeCallback callback);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace baobabpin::peer
