#include "baobabpin/cluster/ConfigRead.h"

namespace baobabpin::cluster {

bool isConfigReadDue(const ConfigReadState &state) {
  if (state.Fetching)
    return false;
  if (!state.Known)
    return !state.IsLeaf || state.Uptime > ConfigStartupWait;
  if (state.ReadsStore)
    return state.Age > ConfigRenewAge;
  if (state.FirstOfZone)
    return state.Age > ConfigFallbackAge;
  return state.Age > ConfigFallbackAge + ConfigFallbackStep;
}

} // namespace baobabpin::cluster
