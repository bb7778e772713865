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
  membership::MembershipService *Membership = nullptr;
  kernel::EventLog *Log = nullptr;
  kernel::EventLoop *Loop = nullptr;
  resources::ResourceCatalog Catalog;
  std::vector<std::function<void()>> CatalogCallbacks;
  std::vector<std::function<void()>> OwnerCallbacks;
  /// Cached owner orders, computed on demand.
  mutable std::unordered_map<base::GroupName, OwnerOrder> OwnerOrders;
  /// Cached candidates for owners, computed on demand after the members change.
  mutable std::optional<routing::OwnerCandidates> Candidates;
  bool OwnerCallbacksPosted = false;

  void apply(const ConfigRecord &record);
  /// Drops the cached owner order of the group that is stored under \p key.
  void dropOwnerOrder(const std::string &key);
  void onMemberChange();
  /// Calls the owner callbacks in the next iteration of the event loop.
  void postOwnerCallbacks();
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
  dropOwnerOrder(record.Key);
  for (const auto &it : CatalogCallbacks)
    it();
  postOwnerCallbacks();
}

void Directory::State::dropOwnerOrder(const std::string &key) {
  base::handleFailure(
      [&]() -> base::Result<bool> {
        BOOST_LEAF_AUTO(id, resources::parseStoreKey(key));
        OwnerOrders.erase(id.Name);
        return true;
      },
      [](const base::Failure &) { return false; });
}

void Directory::State::onMemberChange() {
  Candidates.reset();
  OwnerOrders.clear();
  postOwnerCallbacks();
}

void Directory::State::postOwnerCallbacks() {
  // Many changes arrive together at startup and after a network partition. They
  // are combined into one call, so that the callbacks do not look up every
  // owner again for each change.
  if (std::exchange(OwnerCallbacksPosted, true))
    return;
  Loop->post([this] {
    OwnerCallbacksPosted = false;
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
  add(Membership->self());
  for (const auto &[node, entry] : Membership->members())
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
  Impl->Membership = &kernel.find<MembershipService>("membership");
  Impl->Log = &kernel.log();
  Impl->Loop = &kernel.loop();
  auto &config = kernel.find<ConfigSyncService>("configsync");
  for (const auto &it : config.list(std::string(configsync::ResourcePrefix)))
    Impl->apply(it);
  config.onChange([this](const ConfigRecord &it) { Impl->apply(it); });
  Impl->Membership->onChange(
      [this](const membership::MemberChange &) { Impl->onMemberChange(); });
  return {};
}

void Directory::stop() {}

const resources::ResourceCatalog &Directory::catalog() const {
  return Impl->Catalog;
}

const base::NodeId &Directory::self() const {
  return Impl->Membership->self().Node;
}

const OwnerOrder &Directory::ownersOf(const base::GroupName &group) const {
  auto it = Impl->OwnerOrders.find(group);
  if (it == Impl->OwnerOrders.end())
    it = Impl->OwnerOrders.emplace(group, Impl->computeOrder(group)).first;
  return it->second;
}

bool Directory::isOwner(const base::GroupName &group) const {
  const auto &nodes = ownersOf(group).Nodes;
  return !nodes.empty() && nodes.front() == self();
}

std::string Directory::peerEndpoint(const base::NodeId &node) const {
  const auto *record = Impl->Membership->find(node);
  return record ? record->PeerEndpoint : std::string();
}

void Directory::onCatalogChange(std::function<void()> callback) {
  Impl->CatalogCallbacks.push_back(std::move(callback));
}

void Directory::onOwnersChange(std::function<void()> callback) {
  Impl->OwnerCallbacks.push_back(std::move(callback));
}

} // namespace baobabpin::directory
