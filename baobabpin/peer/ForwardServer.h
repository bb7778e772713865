/// Server side of the Peer service.
#pragma once

#include "baobabpin/kernel/CompletionPump.h"
#include "baobabpin/peer/PeerService.h"
#include "baobabpin/proto/peer.grpc.pb.h"

#include <deque>

namespace baobabpin::peer::internal {

struct PeerHandlers {
  ForwardHandler Forward;
  SyncHandler Sync;
  InForceHandler InForce;
};

/// Accepts the next call of each method, for as long as the server runs.
void acceptForward(proto::Peer::AsyncService &service,
                   grpc::ServerCompletionQueue &queue,
                   kernel::CompletionPump &pump, const PeerHandlers &handlers);
void acceptSync(proto::Peer::AsyncService &service,
                grpc::ServerCompletionQueue &queue,
                kernel::CompletionPump &pump, const PeerHandlers &handlers);
void acceptInForce(proto::Peer::AsyncService &service,
                   grpc::ServerCompletionQueue &queue,
                   kernel::CompletionPump &pump, const PeerHandlers &handlers);

} // namespace baobabpin::peer::internal
