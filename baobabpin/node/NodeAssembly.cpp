#include "baobabpin/node/NodeAssembly.h"

#include "baobabpin/configsync/ConfigSyncService.h"
#include "baobabpin/directory/Directory.h"
#include "baobabpin/gateway/GatewayService.h"
#include "baobabpin/membership/MembershipService.h"
#include "baobabpin/node/Drain.h"
#include "baobabpin/node/NodeBackend.h"
#include "baobabpin/operators/ResourceService.h"
#include "baobabpin/operators/Timeline.h"
#include "baobabpin/owner/OwnerService.h"
#include "baobabpin/peer/PeerService.h"

#include <random>

namespace baobabpin::node {
namespace {

/// Returns a node ID that is unique for this process. It contains the start
/// time because a diskless host cannot store a restart counter.
base::NodeId makeNodeId(const NodeSettings &settings) {
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return settings.Node + "/" + std::to_string(ms.count());
}

std::unique_ptr<kernel::Service> makeMembership(const NodeSettings &settings) {
  membership::MembershipSettings result;
  result.Self.Node = makeNodeId(settings);
  result.Self.Zone = settings.Zone;
  result.Self.Host = settings.Host;
  result.Self.GossipEndpoint = http::formatEndpoint(settings.Gossip);
  result.Self.PeerEndpoint = http::formatEndpoint(settings.Peers);
  result.Seeds = settings.Seeds;
  result.FleetSecret = settings.FleetSecret;
  return std::make_unique<membership::MembershipService>(std::move(result));
}

/// Creates the peer service and registers a handler for each kind of call that
/// other nodes make.
std::unique_ptr<peer::PeerService> makePeer(kernel::Kernel &kernel,
                                            const NodeSettings &settings) {
  auto peer =
      std::make_unique<peer::PeerService>(peer::PeerSettings{settings.Peers});
  peer->setForwardHandler([&kernel](const proto::ForwardRequest &request,
                                    peer::ReplyCallback reply) {
    // Events that this node logs for the request sort after the sender's.
    kernel.log().observe(
        {request.stamp().wall_us(), request.stamp().counter()});
    kernel.find<owner::OwnerService>("owner").submit(request, std::move(reply));
  });
  peer->setSyncHandler([&kernel](const proto::SyncRequest &request) {
    return kernel.find<configsync::ConfigSyncService>("configsync")
        .handleSync(request);
  });
  peer->setInForceHandler([&kernel](const proto::InForceRequest &request) {
    return kernel.find<configsync::ConfigSyncService>("configsync")
        .handleInForce(request.revision());
  });
  peer->setEventsHandler([&kernel](const proto::TimelineRequest &request) {
    proto::TimelineReply reply;
    kernel::EventStamp since{request.since_wall_us(), request.since_counter()};
    operators::writeTimeline(
        operators::localTimeline(kernel.log(), since, request.limit()), reply);
    return reply;
  });
  peer->setDescribeHandler([&kernel](const proto::DescribeRequest &request) {
    proto::DescribeReply reply;
    reply.set_json(kernel.find<owner::OwnerService>("owner").describeGroup(
        request.group()));
    return reply;
  });
  return peer;
}

operators::OperatorSettings makeOperatorSettings(const NodeSettings &settings) {
  operators::OperatorSettings result;
  result.Listen = http::formatEndpoint(settings.Operators);
  result.ClearText = settings.Tls.ClearText;
  result.CaFile = settings.Tls.Authority;
  result.CertificateFile = settings.Tls.Certificate;
  result.KeyFile = settings.Tls.Key;
  return result;
}

} // namespace

void addServices(kernel::Kernel &kernel, const NodeSettings &settings) {
  std::random_device random;
  std::uint64_t seed = (std::uint64_t{random()} << 32) | random();
  kernel.add(makeMembership(settings));
  configsync::ConfigSyncSettings config;
  config.Store = settings.Store;
  kernel.add(std::make_unique<configsync::ConfigSyncService>(config));
  kernel.add(std::make_unique<directory::Directory>());
  kernel.add(std::make_unique<owner::OwnerService>(
      owner::OwnerSettings{settings.Callers.Address, settings.Baseline,
                           settings.Chooser, seed, settings.Store}));
  kernel.add(makePeer(kernel, settings));
  kernel.add(std::make_unique<gateway::GatewayService>(
      gateway::GatewaySettings{settings.Callers, settings.SessionKeys, seed}));
  kernel.add(std::make_unique<DrainService>(settings.StopTimeout));
  auto backend = std::make_unique<NodeBackend>();
  NodeBackend &resourceBackend = *backend;
  kernel.add(std::move(backend));
  kernel.add(std::make_unique<operators::ResourceService>(
      makeOperatorSettings(settings), resourceBackend));
}

} // namespace baobabpin::node
