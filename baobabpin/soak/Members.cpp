#include "baobabpin/routing/GroupOwner.h"
#include "baobabpin/soak/World.h"

#include <algorithm>

namespace baobabpin::soak {
namespace {

constexpr Duration RefreshMin = ms(50);
constexpr Duration RefreshMax = ms(800);

bool seems(World &world, const OwnerNode &viewer, const OwnerNode &member) {
  if (&viewer == &member)
    return true;
  const auto &cuts = world.Sim.Network.Cuts;
  bool cut = cuts.contains({member.Proc.Index, viewer.Proc.Index});
  return member.Proc.Alive && !member.Proc.Paused && !cut;
}

std::string zoneOf(std::size_t n) { return "zone-" + std::to_string(n % 3); }

/// The members that the viewer takes for live, most preferred first.
std::vector<std::string> orderSeenBy(World &world, const OwnerNode &viewer,
                                     bool &allUnfit) {
  std::vector<routing::OwnerCandidate> members;
  allUnfit = true;
  for (std::size_t n = 0; n < world.Nodes.size(); ++n) {
    const auto &it = world.Nodes[n];
    if (!seems(world, viewer, it))
      continue;
    bool fit = world.Sim.Now >= it.UnfitUntil;
    allUnfit = allUnfit && !fit;
    members.push_back({it.Proc.Name, zoneOf(n), it.Proc.Name, fit});
  }
  return routing::ownerOrder(world.Context.Config.Group,
                             {zoneOf(0), zoneOf(1), zoneOf(2)}, members);
}

void refresh(World &world, OwnerNode &node) {
  bool allUnfit = false;
  auto order = orderSeenBy(world, node, allUnfit);
  node.State.Active = !order.empty() && order.front() == node.Proc.Name;
  node.State.LastResort = node.State.Active && allUnfit;
  auto delay = pickDuration(world.Sim, RefreshMin, RefreshMax);
  scheduleOn(world.Sim, node.Proc, delay,
             [&world, &node] { refresh(world, node); });
}

} // namespace

void startMembership(World &world, OwnerNode &node) { refresh(world, node); }

OwnerNode *preferredNode(World &world) {
  bool allUnfit = false;
  for (auto &viewer : world.Nodes) {
    if (!viewer.Proc.Alive)
      continue;
    auto order = orderSeenBy(world, viewer, allUnfit);
    for (auto &it : world.Nodes) {
      if (!order.empty() && it.Proc.Name == order.front())
        return &it;
    }
  }
  return nullptr;
}

} // namespace baobabpin::soak
