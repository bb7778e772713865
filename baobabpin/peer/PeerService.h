/// Statements between nodes: one gRPC stream per pair of nodes carries requests
/// to group owners and their answers.
///
/// \code
///   auto &peers = kernel.find<PeerService>("peer");
///   peers.forward("127.0.0.1:7101", request, [](ForwardResult result) { ...
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

/// What is known about a forwarded request at its end.
enum class ForwardOutcome {
  Answered, ///< Reply holds the owner's answer.
  NotSent,  ///< The owner never got it.
  Lost,     ///< The stream broke or fell silent; the owner may have acted.
};

struct ForwardResult {
  ForwardOutcome Outcome = ForwardOutcome::Lost;
  proto::ForwardReply Reply;
};

using ForwardCallback = std::function<void(ForwardResult)>;
using ReplyCallback = std::function<void(proto::ForwardReply)>;
using ForwardHandler =
    std::function<void(const proto::ForwardRequest &, ReplyCallback)>;
using SyncHandler = std::function<proto::SyncReply(const proto::SyncRequest &)>;
using InForceHandler =
    std::function<proto::InForceReply(const proto::InForceRequest &)>;

using EventsHandler =
    std::function<proto::TimelineReply(const proto::TimelineRequest &)>;
using DescribeHandler =
    std::function<proto::DescribeReply(const proto::DescribeRequest &)>;
/// Empty when the call failed or got no answer within a second.
using EventsCallback = std::function<void(std::optional<proto::TimelineReply>)>;
using DescribeCallback =
    std::function<void(std::optional<proto::DescribeReply>)>;

struct PeerSettings {
  http::Endpoint Listen;
  /// A stream with requests outstanding and nothing received for this long is
  /// pinged; after twice this it is given up.
  base::Duration Silence = std::chrono::milliseconds(150);
};

class PeerService : public kernel::Service {
public:
  explicit PeerService(PeerSettings settings);
  ~PeerService() override;

  std::string_view name() const override { return "peer"; }
  base::Result<void> start(kernel::Kernel &kernel) override;
  void stop() override;

  /// The address that this node listens on; final after start().
  http::Endpoint endpoint() const;

  /// Handlers are set before start(); they run on the loop and may answer
  /// later.
  void setForwardHandler(ForwardHandler handler);
  void setSyncHandler(SyncHandler handler);
  void setInForceHandler(InForceHandler handler);
  void setEventsHandler(EventsHandler handler);
  void setDescribeHandler(DescribeHandler handler);
  /// Called with the endpoint of a stream that was given up as silent.
  void
  onStreamTimeout(std::function<void(const std::string &endpoint)> callback);

  /// Sends \p request to the node at \p endpoint. The correlation is set here.
  /// The callback runs once, later, on the loop.
  void forward(const std::string &endpoint, proto::ForwardRequest request,
               ForwardCallback callback);

  /// Events that another node recorded.
  void fetchEvents(const std::string &endpoint,
                   const proto::TimelineRequest &request,
                   EventsCallback callback);
  /// The state of a group on the node that runs it.
  void describeGroup(const std::string &endpoint,
                     const proto::DescribeRequest &request,
                     DescribeCallback callback);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace baobabpin::peer
