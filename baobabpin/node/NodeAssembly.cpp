#include "baobabpin/node/NodeAssembly.h"

#include "baobabpin/configsync/ConfigSyncService.h"
#include "baobabpin/directory/Directory.h"
#include "baobabpin/gateway/GatewayService.h"
#include "baobabpin/membership/MembershipService.h"
#include "baobabpin/node/Drain.h"
#include "baobabpin/owner/OwnerService.h"
#include "baobabpin/peer/PeerService.h"

#include <random>

namespace baobabpin::node {
namespace {

/// A process of a host is told from an earlier one by its start time, because a
/// diskless host cannot count its restarts.
base::NodeId makeNodeId(const NodeSettings &settings) {
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return settings.Node + "/" + std::to_string(ms.count());
}

std::unique_ptr<kernel::Service> makeMembership(const NodeSettings &settings) {
  membership::MembershipSettings it;
  it.Self.Node = makeNodeId(settings);
  it.Self.Zone = settings.Zone;
  it.Self.Host = settings.Host;
  it.Self.GossipEndpoint = http::formatEndpoint(settings.Gossip);
  it.Self.PeerEndpoint = http::formatEndpoint(settings.Peers);
  it.Seeds = settings.Seeds;
  it.FleetSecret = settings.FleetSecret;
  return std::make_unique<membership::MembershipService>(std::move(it));
}

/// Connects the calls of peers to the services that answer them.
std::unique_ptr<peer::PeerService> makePeer(kernel::Kernel &kernel,
                                            const NodeSettings &settings) {
  auto peer =
      std::make_unique<peer::PeerService>(peer::PeerSettings{settings.Peers});
  peer->setForwardHandler([&kernel](const proto::ForwardRequest &request,
                                    peer::ReplyCallback reply) {
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
  return peer;
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
  kernel.add(std::make_unique<owner::OwnerService>(owner::OwnerSettings{
      settings.Callers.Address, settings.Baseline, settings.Chooser, seed}));
  kernel.add(makePeer(kernel, settings));
  kernel.add(std::make_unique<gateway::GatewayService>(
      gateway::GatewaySettings{settings.Callers, settings.SessionKeys, seed}));
  kernel.add(std::make_unique<DrainService>(settings.StopDeadline));
}

} // namespace baobabpin::node
