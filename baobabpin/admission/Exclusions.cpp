#include "baobabpin/admission/Exclusions.h"

#include <algorithm>

namespace baobabpin::admission {
namespace {

std::chrono::nanoseconds refusalPause(int refusals) {
  // 25 ms doubled five times is MaxPause.
  constexpr int MaxDoublings = 5;
  return std::min<std::chrono::nanoseconds>(
      FirstPause * (1 << std::min(refusals, MaxDoublings)), MaxPause);
}

} // namespace

void exclude(Exclusions &exclusions, const base::ServerId &server,
             Failure failure, base::BootTime now) {
  Exclusion &it = exclusions.Servers[server];
  it.Unreachable = failure == Failure::Unreachable;
  switch (failure) {
  case Failure::Refused:
    it.Until = now + refusalPause(exclusions.Refusals++);
    return;
  case Failure::NoReply:
    it.Until = now + NoReplyPause;
    return;
  case Failure::Unreachable:
    it.Until = now + UnreachablePause;
    return;
  }
}

std::chrono::nanoseconds excludedFor(const Exclusions &exclusions,
                                     const base::ServerId &server,
                                     base::BootTime now) {
  auto it = exclusions.Servers.find(server);
  if (it == exclusions.Servers.end())
    return std::chrono::nanoseconds(0);
  return std::max(std::chrono::nanoseconds(0), it->second.Until - now);
}

bool isOutOfReach(const Exclusions &exclusions, const base::ServerId &server,
                  base::BootTime now) {
  auto it = exclusions.Servers.find(server);
  return it != exclusions.Servers.end() && it->second.Unreachable &&
         now < it->second.Until;
}

} // namespace baobabpin::admission
