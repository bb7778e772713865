#include "baobabpin/control/PromotionCalls.h"

#include <string_view>
#include <utility>
#include <vector>

namespace baobabpin::control {
namespace {

/// A call without a reply may take effect for this long after it has ended.
/// Another coordinator waits for the lease of this node meanwhile, which is
/// shorter.
constexpr std::chrono::milliseconds LateEffectLimit{2000};

std::string_view nameOf(platform::PromotionResult result) {
  switch (result) {
  case platform::PromotionResult::Accepted:
    return "accepted";
  case platform::PromotionResult::Refused:
    return "refused";
  case platform::PromotionResult::NotSent:
    return "not_sent";
  case platform::PromotionResult::Unknown:
    break;
  }
  return "unknown";
}

} // namespace

PromotionCalls::PromotionCalls(kernel::EventLoop &loop,
                               const http::Endpoint &endpoint,
                               kernel::LineLog &log)
    : Loop(loop), Log(log), Client(loop, endpoint) {}

bool PromotionCalls::isCalling(const base::GroupName &group) const {
  return Calls.contains(group);
}

void PromotionCalls::promote(
    const platform::Promotion &promotion, std::function<bool()> isAllowed,
    std::function<void(platform::PromotionResult)> callback) {
  const base::GroupName group = promotion.Group;
  auto post = Client.promote(
      promotion, isAllowed, [this, group](auto result) { end(group, result); });
  Calls.insert_or_assign(
      group, Call{std::move(post), promotion, base::BootClock::now(),
                  std::move(isAllowed), std::move(callback)});
}

void PromotionCalls::tick() {
  std::vector<base::GroupName> groups;
  for (const auto &[group, it] : Calls)
    groups.push_back(group);
  for (const auto &group : groups)
    withdrawIfForbidden(group);
}

bool PromotionCalls::mayTakeEffect(const base::GroupName &group) {
  withdrawIfForbidden(group);
  auto call = Calls.find(group);
  if (call != Calls.end() && call->second.Post->isWritten())
    return true;
  auto until = UncertainUntil.find(group);
  return until != UncertainUntil.end() &&
         base::BootClock::now() < until->second;
}

void PromotionCalls::withdrawIfForbidden(const base::GroupName &group) {
  auto it = Calls.find(group);
  if (it == Calls.end() || it->second.IsAllowed())
    return;
  it->second.Post->withdraw();
  end(group, it->second.Post->isWritten() ? platform::PromotionResult::Unknown
                                          : platform::PromotionResult::NotSent);
}

void PromotionCalls::end(const base::GroupName &group,
                         platform::PromotionResult result) {
  auto call = std::move(Calls.extract(group).mapped());
  auto now = base::BootClock::now();
  if (result == platform::PromotionResult::Unknown)
    UncertainUntil[group] = now + LateEffectLimit;
  Log.line("promotion_call")
      .add("group", group)
      .add("server", call.Promotion.Server)
      .add("token", static_cast<std::int64_t>(call.Promotion.Token))
      .add("result", nameOf(result))
      .add("allowed", call.IsAllowed() ? "yes" : "no")
      .add("elapsed_ms", now - call.StartedAt);
  call.Callback(result);
}

} // namespace baobabpin::control
