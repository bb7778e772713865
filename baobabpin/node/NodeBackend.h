/// Implements the backend of the operators' endpoint with the services of a
/// node.
#pragma once

#include "baobabpin/configsync/ConfigSyncService.h"
#include "baobabpin/directory/Directory.h"
#include "baobabpin/kernel/Kernel.h"
#include "baobabpin/membership/MembershipService.h"
#include "baobabpin/operators/ResourceBackend.h"
#include "baobabpin/owner/OwnerService.h"
#include "baobabpin/peer/PeerService.h"

#include <list>

namespace baobabpin::node {

/// Gives operators access to the configuration, the status of resources and the
/// events of other nodes. Must be added to the kernel after the services that
/// it looks up in start() and before the operators' endpoint.
class NodeBackend : public kernel::Service, public operators::ResourceBackend {
public:
  std::string_view name() const override { return "backend"; }
  base::Result<void> start(kernel::Kernel &kernel) override;
  void stop() override;

  const resources::ResourceCatalog &catalog() const override;
  void find(const resources::ResourceId &id,
            std::function<void(operators::FindReply)> callback) override;
  void
  compareAndSwap(const resources::ResourceId &id, std::uint64_t expected,
                 const std::optional<resources::StoredValue> &value,
                 std::function<void(operators::WriteReply)> callback) override;
  void
  inForce(const resources::ResourceId &id, std::uint64_t version,
          std::function<void(operators::ResourceStatus)> callback) override;
  [[nodiscard]] std::shared_ptr<void> subscribe(Observer observer) override;
  void
  peerTimeline(kernel::EventStamp since, std::size_t limit,
               std::function<void(operators::TimelineReply)> callback) override;

private:
  /// Notifies all observers that \p id has changed; nullopt means that any
  /// resource may have changed.
  void notify(const std::optional<resources::ResourceId> &id);
  /// For a database group, sets status.Detail to the description by the node
  /// that owns the group. Then calls \p callback.
  void addGroupDetail(
      const resources::ResourceId &id, operators::ResourceStatus status,
      const std::function<void(operators::ResourceStatus)> &callback);

  kernel::Kernel *Kernel = nullptr;
  configsync::ConfigSyncService *Config = nullptr;
  directory::Directory *Directory = nullptr;
  membership::MembershipService *Membership = nullptr;
  owner::OwnerService *Owner = nullptr;
  peer::PeerService *Peers = nullptr;
  std::shared_ptr<std::list<Observer>> Observers =
      std::make_shared<std::list<Observer>>();
  kernel::Timer StatusTimer;
};

} // namespace baobabpin::node
