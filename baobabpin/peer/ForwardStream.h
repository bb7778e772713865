/// The client side of a forwarding stream.
#pragma once

#include "baobabpin/kernel/CompletionPump.h"
#include "baobabpin/peer/PeerService.h"
#include "baobabpin/proto/peer.grpc.pb.h"

#include <deque>
#include <unordered_map>

namespace baobabpin::peer::internal {

/// A stream to one node. PeerService opens it when the first request is sent.
/// It fails permanently when it breaks; PeerService then creates a new one for
/// the next request. Shared pointers own a stream, because its gRPC operations
/// may outlive its last use.
class ForwardStream : public std::enable_shared_from_this<ForwardStream> {
public:
  ForwardStream(kernel::CompletionPump &pump,
                const std::shared_ptr<grpc::Channel> &channel);

  void open();
  void send(proto::ForwardRequest request, ForwardCallback callback,
            base::TimePoint now);
  /// Closes the stream. Pending requests end as NotSent or Lost.
  void fail();
  bool hasFailed() const { return Failed; }

  /// Pings the stream when requests are pending and nothing was received for
  /// \p pingAfter. Closes it after twice that time, and returns whether it did
  /// so now.
  bool checkLiveness(base::TimePoint now, base::Duration pingAfter);

private:
  struct PendingRequest {
    ForwardCallback Callback;
    bool Sent = false;
  };

  void writeNext();
  void readNext();
  void onReply();

  kernel::CompletionPump &Pump;
  std::unique_ptr<proto::Peer::Stub> Stub;
  grpc::ClientContext Context;
  std::unique_ptr<
      grpc::ClientAsyncReaderWriter<proto::ForwardRequest, proto::ForwardReply>>
      Stream;
  proto::ForwardReply Incoming;
  std::deque<proto::ForwardRequest> Queue;
  std::unordered_map<std::uint64_t, PendingRequest> Pending;
  std::uint64_t NextCorrelation = 1;
  base::TimePoint LastReceived;
  bool PingOutstanding = false;
  bool Opened = false;
  bool Writing = false;
  bool Failed = false;
};

} // namespace baobabpin::peer::internal
