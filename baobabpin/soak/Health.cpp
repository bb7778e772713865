#include "baobabpin/soak/OwnerNode.h"

namespace baobabpin::soak {
namespace {

constexpr Duration SampleInterval = ms(5);

/// Whether the server runs and a majority of the servers can reach it.
bool isHealthy(const NodeContext &context, const FakeServer &server) {
  const auto *primary = &server;
  if (!primary->Proc.Alive || primary->Proc.Paused)
    return false;
  const auto &cuts = context.Sim->Network.Cuts;
  std::size_t reachable = 0;
  for (const auto &it : context.Fleet->Servers) {
    bool cut = cuts.contains({it.Proc.Index, primary->Proc.Index}) ||
               cuts.contains({primary->Proc.Index, it.Proc.Index});
    if (it.Proc.Alive && !it.Proc.Paused && !cut)
      ++reachable;
  }
  return reachable > context.Fleet->Servers.size() / 2;
}

} // namespace

void watchHealth(NodeContext &context) {
  for (const auto &it : context.Fleet->Servers) {
    if (!isHealthy(context, it))
      context.UnhealthyAt[it.Proc.Name] = context.Sim->Now;
  }
  schedule(*context.Sim, SampleInterval, [&context] { watchHealth(context); });
}

} // namespace baobabpin::soak
