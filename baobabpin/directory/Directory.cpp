#include "baobabpin/directory/Directory.h"

#include "baobabpin/configsync/ConfigSyncService.h"
#include "baobabpin/membership/MembershipService.h"
#include "baobabpin/routing/GroupOwner.h"

#include <unordered_map>

namespace baobabpin::directory {

using configsync::ConfigRecord;
using configsync::ConfigSyncService;
using membership::MemberRecord;
using membership::MembershipService;
using membership::MemberState;

struct Directory::State {
  membership::MembershipService *Members = nullptr;
  kernel::EventLog *Log = nullptr;
  resources::ResourceCatalog Catalog;
  std::vector<std::function<void()>> CatalogCallbacks;
  std::vector<std::function<void()>> OwnerCallbacks;
  mutable std::unordered_map<base::GroupName, OwnerOrder> Orders;

  void apply(const ConfigRecord &record);
  void forgetOrders();
  OwnerOrder computeOrder(const base::GroupName &group) const;
};

void Directory::State::apply(const ConfigRecord &record) {
  bool changed = base::handleFailure(
      [&] {
        return Catalog.apply({record.Key, record.Revision, record.Value});
      },
      [&](const base::Failure &failure) {
        Log->record("resource_refused",
                    {{"key", record.Key}, {"detail", failure.Detail}});
        return false;
      });
  if (!changed)
    return;
  Log->record(
      "resource_applied",
      {{"key", record.Key}, {"revision", std::to_string(record.Revision)}});
  for (const auto &it : CatalogCallbacks)
    it();
  forgetOrders();
}

void Directory::State::forgetOrders() {
  Orders.clear();
  for (const auto &it : OwnerCallbacks)
    it();
}

OwnerOrder Directory::State::computeOrder(const base::GroupName &group) const {
  std::vector<base::AvailabilityZone> zones;
  if (const auto *spec = Catalog.findGroup(group)) {
    for (const auto &it : spec->Servers)
      zones.push_back(it.Zone);
  }
  std::vector<routing::OwnerCandidate> candidates;
  OwnerOrder order;
  order.AllUnfit = true;
  auto add = [&](const MemberRecord &it) {
    if (it.State != MemberState::Alive)
      return;
    bool fit = !it.UnfitGroups.contains(group);
    order.AllUnfit = order.AllUnfit && !fit;
    candidates.push_back({it.Node, it.Zone, it.Host, fit});
  };
  add(Members->self());
  for (const auto &[node, entry] : Members->members())
    add(entry.Record);
  order.Nodes = routing::ownerOrder(group, zones, candidates);
  return order;
}

Directory::Directory() : Impl(std::make_unique<State>()) {}
Directory::~Directory() = default;

base::Result<void> Directory::start(kernel::Kernel &kernel) {
  Impl->Members = &kernel.find<MembershipService>("membership");
  Impl->Log = &kernel.log();
  auto &config = kernel.find<ConfigSyncService>("configsync");
  for (const auto &it : config.list(std::string(configsync::ResourcePrefix)))
    Impl->apply(it);
  config.onChange([this](const ConfigRecord &it) { Impl->apply(it); });
  Impl->Members->onChange(
      [this](const membership::MemberChange &) { Impl->forgetOrders(); });
  return {};
}

void Directory::stop() {}

const resources::ResourceCatalog &Directory::catalog() const {
  return Impl->Catalog;
}

const base::NodeId &Directory::self() const {
  return Impl->Members->self().Node;
}

const OwnerOrder &Directory::ownersOf(const base::GroupName &group) const {
  auto it = Impl->Orders.find(group);
  if (it == Impl->Orders.end())
    it = Impl->Orders.emplace(group, Impl->computeOrder(group)).first;
  return it->second;
}

bool Directory::isOwner(const base::GroupName &group) const {
  const auto &nodes = ownersOf(group).Nodes;
  return !nodes.empty() && nodes.front() == self();
}

std::string Directory::peerEndpoint(const base::NodeId &node) const {
  const auto *record = Impl->Members->find(node);
  return record ? record->PeerEndpoint : std::string();
}

void Directory::onCatalogChange(std::function<void()> callback) {
  Impl->CatalogCallbacks.push_back(std::move(callback));
}

void Directory::onOwnersChange(std::function<void()> callback) {
  Impl->OwnerCallbacks.push_back(std::move(callback));
}

} // namespace baobabpin::directory
