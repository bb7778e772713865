#include "baobabpin/directory/Directory.h"

#include "baobabpin/configsync/ConfigSyncService.h"
#include "baobabpin/membership/MembershipService.h"
#include "baobabpin/resources/StoredValue.h"

#include <optional>
#include <unordered_map>
#include <utility>

namespace baobabpin::directory {

using configsync::ConfigRecord;
using configsync::ConfigSyncService;
using membership::MemberRecord;
using membership::MembershipService;
using membership::MemberState;

struct Directory::State {
  membership::MembershipService *Members = nullptr;
  kernel::EventLog *Log = nullptr;
  kernel::EventLoop *Loop = nullptr;
  resources::ResourceCatalog Catalog;
  std::vector<std::function<void()>> CatalogCallbacks;
  std::vector<std::function<void()>> OwnerCallbacks;
  mutable std::unordered_map<base::GroupName, OwnerOrder> Orders;
  /// Built on demand after a change of the members.
  mutable std::optional<routing::OwnerCandidates> Candidates;
  bool OwnersChanged = false;

  void apply(const ConfigRecord &record);
  void forgetGroup(const std::string &key);
  void onMemberChange();
  void announceOwners();
  routing::OwnerCandidates makeCandidates() const;
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
  forgetGroup(record.Key);
  for (const auto &it : CatalogCallbacks)
    it();
  announceOwners();
}

void Directory::State::forgetGroup(const std::string &key) {
  base::handleFailure(
      [&]() -> base::Result<bool> {
        BOOST_LEAF_AUTO(id, resources::parseStoreKey(key));
        Orders.erase(id.Name);
        return true;
      },
      [](const base::Failure &) { return false; });
}

void Directory::State::onMemberChange() {
  Candidates.reset();
  Orders.clear();
  announceOwners();
}

void Directory::State::announceOwners() {
  // A burst of changes, as at a start or after a partition, must not make the
  // owner of every group be looked up for each of them.
  if (std::exchange(OwnersChanged, true))
    return;
  Loop->post([this] {
    OwnersChanged = false;
    for (const auto &it : OwnerCallbacks)
      it();
  });
}

routing::OwnerCandidates Directory::State::makeCandidates() const {
  routing::OwnerCandidates candidates;
  auto add = [&](const MemberRecord &it) {
    if (it.State == MemberState::Alive)
      routing::addCandidate(candidates,
                            {it.Node, it.Zone, it.Host, it.UnfitGroups});
  };
  add(Members->self());
  for (const auto &[node, entry] : Members->members())
    add(entry.Record);
  return candidates;
}

OwnerOrder Directory::State::computeOrder(const base::GroupName &group) const {
  if (!Candidates)
    Candidates = makeCandidates();
  std::vector<base::AvailabilityZone> zones;
  if (const auto *spec = Catalog.findGroup(group)) {
    for (const auto &it : spec->Servers)
      zones.push_back(it.Zone);
  }
  return routing::ownerOrder(group, zones, *Candidates);
}

Directory::Directory() : Impl(std::make_unique<State>()) {}
Directory::~Directory() = default;

base::Result<void> Directory::start(kernel::Kernel &kernel) {
  Impl->Members = &kernel.find<MembershipService>("membership");
  Impl->Log = &kernel.log();
  Impl->Loop = &kernel.loop();
  auto &config = kernel.find<ConfigSyncService>("configsync");
  for (const auto &it : config.list(std::string(configsync::ResourcePrefix)))
    Impl->apply(it);
  config.onChange([this](const ConfigRecord &it) { Impl->apply(it); });
  Impl->Members->onChange(
      [this](const membership::MemberChange &) { Impl->onMemberChange(); });
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
