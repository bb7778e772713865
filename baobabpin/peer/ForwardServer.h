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
  EventsHandler Events;
  DescribeHandler Describe;
};

/// What accepting a call needs; all outlive the server.
struct ServerParts {
  proto::Peer::AsyncService &Service;
  grpc::ServerCompletionQueue &Queue;
  kernel::CompletionPump &Pump;
};

/// Accepts calls of every method, for as long as the server runs.
void acceptCalls(const ServerParts &parts, const PeerHandlers &handlers);

} // namespace baobabpin::peer::internal
