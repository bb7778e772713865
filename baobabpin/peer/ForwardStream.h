/// Client side of one forwarding stream.
#pragma once

#include "baobabpin/kernel/CompletionPump.h"
#include "baobabpin/peer/PeerService.h"
#include "baobabpin/proto/peer.grpc.pb.h"

#include <deque>
#include <unordered_map>

namespace baobabpin::peer::internal {

/// Opens lazily and ends for good when it breaks; the service then makes a new
/// one. Owned by shared pointers because gRPC operations outlive a stream that
/// is given up.
class ForwardStream : public std::enable_shared_from_this<ForwardStream> {
public:
  ForwardStream(kernel::CompletionPump &pump,
                const std::shared_ptr<grpc::Channel> &channel);

  void open();
  void send(proto::ForwardRequest request, ForwardCallback callback,
            base::TimePoint now);
  /// Ends the stream; outstanding requests end as NotSent or Lost.
  void fail();
  bool hasFailed() const { return Failed; }

  /// Pings a stream that is silent for \p silence and gives it up after twice
  /// that. True when it was given up now.
  bool checkLiveness(base::TimePoint now, base::Duration silence);

private:
  struct Outstanding {
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
  std::unordered_map<std::uint64_t, Outstanding> Waiting;
  std::uint64_t NextCorrelation = 1;
  base::TimePoint LastReceived;
  bool PingOutstanding = false;
  bool Opened = false;
  bool Writing = false;
  bool Failed = false;
};

} // namespace baobabpin::peer::internal
