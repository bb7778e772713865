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
routing::OwnerOrder orderSeenBy(World &world, const OwnerNode &viewer) {
  const auto &group = world.Context.Config.Group;
  routing::OwnerCandidates members;
  for (std::size_t n = 0; n < world.Nodes.size(); ++n) {
    const auto &it = world.Nodes[n];
    if (!seems(world, viewer, it))
      continue;
    routing::OwnerCandidate member{it.Proc.Name, zoneOf(n), it.Proc.Name, {}};
    if (world.Sim.Now < it.UnfitUntil)
      member.UnfitGroups.insert(group);
    routing::addCandidate(members, std::move(member));
  }
  return routing::ownerOrder(group, {zoneOf(0), zoneOf(1), zoneOf(2)}, members);
}

void refresh(World &world, OwnerNode &node) {
  auto order = orderSeenBy(world, node);
  bool first = !order.Nodes.empty() && order.Nodes.front() == node.Proc.Name;
  node.State.Active = world.AllActive || first;
  node.State.LastResort = node.State.Active && order.AllUnfit;
  auto delay = pickDuration(world.Sim, RefreshMin, RefreshMax);
  scheduleOn(world.Sim, node.Proc, delay,
             [&world, &node] { refresh(world, node); });
}

} // namespace

void startMembership(World &world, OwnerNode &node) { refresh(world, node); }

OwnerNode *preferredNode(World &world) {
  for (auto &viewer : world.Nodes) {
    if (!viewer.Proc.Alive)
      continue;
    auto order = orderSeenBy(world, viewer).Nodes;
    for (auto &it : world.Nodes) {
      if (!order.empty() && it.Proc.Name == order.front())
        return &it;
    }
  }
  return nullptr;
}

} // namespace baobabpin::soak
