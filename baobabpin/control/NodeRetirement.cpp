#include "baobabpin/control/NodeRetirement.h"

#include "baobabpin/control/RecordKeys.h"

#include <algorithm>
#include <utility>

namespace baobabpin::control {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds SuccessorPeriod{2000};
constexpr milliseconds SuccessorTimeout{800};
constexpr int SuccessorMissLimit = 3;
constexpr milliseconds RemovalPeriod{500};

} // namespace

base::Result<void> NodeRetirement::start(kernel::Kernel &kernel) {
  Cluster = &kernel.find<ClusterService>("cluster");
  SuccessorTicker =
      kernel.loop().runEvery(SuccessorPeriod, [this] { checkSuccessor(); });
  RemovalTicker =
      kernel.loop().runEvery(RemovalPeriod, [this] { removeRetired(); });
  return {};
}

void NodeRetirement::stop() {
  SuccessorTicker.cancel();
  RemovalTicker.cancel();
}

void NodeRetirement::checkSuccessor() {
  const auto &nodes = Cluster->view().Nodes;
  const std::string &self = Cluster->self().Node;
  std::vector<PeerNode> alive;
  for (const auto &[name, it] : nodes) {
    if (name != self && !it.Value.Retired)
      alive.push_back({name, it.Value.Peer});
  }
  if (alive.empty())
    return;
  auto next = std::ranges::find_if(
      alive, [&](const PeerNode &it) { return it.Name > self; });
  PeerNode peer = next == alive.end() ? alive.front() : *next;
  if (std::exchange(Successor, peer.Name) != peer.Name)
    SuccessorMisses = 0;
  Cluster->caller().call(peer.Endpoint, SyncPath, Cluster->pingBody(),
                         SuccessorTimeout,
                         [this, peer](const std::optional<std::string> &reply) {
                           if (reply || peer.Name != Successor) {
                             SuccessorMisses = 0;
                             return;
                           }
                           if (++SuccessorMisses >= SuccessorMissLimit)
                             retire(peer.Name);
                         });
}

void NodeRetirement::retire(const std::string &node) {
  auto it = Cluster->view().Nodes.find(node);
  if (it == Cluster->view().Nodes.end() || !Cluster->isStoreReachable())
    return;
  cluster::NodeRecord record = it->second.Value;
  record.Retired = true;
  SuccessorMisses = 0;
  Cluster->change({{nodeKey(node), cluster::encodeRecord(record),
                    it->second.Revision, false}},
                  [this, node](const store::StoreReply &reply) {
                    Log.line("node_retired")
                        .add("node", node)
                        .add("result", store::storeStatusName(reply.Status));
                  });
}

void NodeRetirement::removeRetired() {
  auto now = base::BootClock::now();
  const auto &nodes = Cluster->view().Nodes;
  for (const auto &[name, it] : nodes) {
    if (!it.Value.Retired) {
      RetiredSince.erase(name);
      continue;
    }
    auto [seen, added] = RetiredSince.emplace(name, now);
    // After this time, the node's view can no longer be confirmed, not even by
    // other nodes in the same partition.
    constexpr auto Limit =
        cluster::OfflineLimit + cluster::PrimaryLease + cluster::LeaseMargin;
    if (added || now - seen->second < Limit)
      continue;
    seen->second = now;
    Cluster->change({{nodeKey(name), {}, it.Revision, true}},
                    [this, node = name](const store::StoreReply &reply) {
                      Log.line("node_removed")
                          .add("node", node)
                          .add("result", store::storeStatusName(reply.Status));
                    });
    return;
  }
}

} // namespace baobabpin::control
