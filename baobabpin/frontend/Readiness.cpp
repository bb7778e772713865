#include "baobabpin/frontend/Readiness.h"

namespace baobabpin::frontend {
namespace {

using std::chrono::milliseconds;

/// A node with an older cluster view will soon lose the right to use the
/// primaries. Reporting not ready lets clients connect to another availability
/// zone.
constexpr milliseconds MaxReadyViewAge{900};
/// In a large fleet a cluster view reaches this age without any fault.
constexpr milliseconds MaxReadyViewAgeLargeFleet{1300};
/// Connections that break one after the other, as when their owners restart,
/// are replaced within this time.
constexpr milliseconds IsolationDelay{200};

} // namespace

bool isIsolated(const ReadinessState &state) {
  return 2 * state.UnreachableGroups > state.Groups;
}

bool isReady(const ReadinessState &state) {
  if (state.Draining || !state.Configured || !state.Registered)
    return false;
  if (isIsolated(state) && state.UnreachableFor > IsolationDelay)
    return false;
  return state.ViewAge <
         (state.LargeFleet ? MaxReadyViewAgeLargeFleet : MaxReadyViewAge);
}

} // namespace baobabpin::frontend
