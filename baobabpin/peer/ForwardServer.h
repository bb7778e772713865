/// The server side of the Peer gRPC service.
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
  EventsHandler Events;
  DescribeHandler Describe;
};

/// The objects that are needed to accept a call. All outlive the server.
struct ServerResources {
  proto::Peer::AsyncService &Service;
  grpc::ServerCompletionQueue &Queue;
  kernel::CompletionPump &Pump;
};

/// Accepts calls of every method until the server stops.
void acceptCalls(const ServerResources &resources,
                 const PeerHandlers &handlers);

} // namespace baobabpin::peer::internal
