/// The promotion calls of this node, at most one for each group.
///
/// A call may wait for its connection while another coordinator takes the
/// failover over and replaces the call's fencing token. The platform does not
/// check tokens, so this node has to keep such a call from being made:
///
///   - Whether the call is still allowed is checked when it is connected, in
///     the same step in which it is written, and periodically until then.
///   - A node does not acknowledge another coordinator's revocation while a
///     call that it has written may still take effect (mayTakeEffect()). The
///     other coordinator then waits for the lease of this node, and a call is
///     written only TokenMargin before the end of the lease.
///
/// A call that was written and then held up by the network or the platform for
/// longer than that cannot be taken back. LeadershipCheck.h says how the nodes
/// notice that its server leads.
///
/// \code
///   PromotionCalls calls(loop, endpoint, log);
///   calls.promote({group, server, self, token}, [=] { return isCurrent(); },
///                 [](platform::PromotionResult result) { ... });
///   calls.tick(); // Periodically.
/// \endcode
#pragma once

#include "baobabpin/base/BootClock.h"
#include "baobabpin/base/Identifiers.h"
#include "baobabpin/kernel/EventLoop.h"
#include "baobabpin/kernel/LineLog.h"
#include "platform/PlatformStore.h"

#include <functional>
#include <map>
#include <memory>

namespace baobabpin::control {

/// A fencing token may be used only while the view was confirmed within this
/// node's lease less this margin, which covers the way of a call to the
/// platform.
inline constexpr std::chrono::milliseconds TokenMargin{500};

class PromotionCalls {
public:
  PromotionCalls(kernel::EventLoop &loop, const http::Endpoint &endpoint,
                 kernel::LineLog &log);

  /// Returns whether a call for the group has not ended.
  bool isCalling(const base::GroupName &group) const;
  /// Makes a call. \p isAllowed returns whether the call may still be made; it
  /// is checked until the call has ended. If it becomes false, the callback
  /// gets NotSent or, after the call was written, Unknown. Must not be called
  /// while isCalling() is true.
  void promote(const platform::Promotion &promotion,
               std::function<bool()> isAllowed,
               std::function<void(platform::PromotionResult)> callback);
  /// Ends calls that are not allowed any more.
  void tick();
  /// Ends the call for the group if it is not allowed any more, and returns
  /// whether a call that this node has written may still take effect.
  bool mayTakeEffect(const base::GroupName &group);

private:
  struct Call {
    std::shared_ptr<http::GatedPost> Post;
    platform::Promotion Promotion;
    base::BootTime StartedAt{};
    std::function<bool()> IsAllowed;
    std::function<void(platform::PromotionResult)> Callback;
  };

  /// Withdraws the call for the group if it is not allowed any more.
  void withdrawIfForbidden(const base::GroupName &group);
  void end(const base::GroupName &group, platform::PromotionResult result);

  kernel::EventLoop &Loop;
  kernel::LineLog &Log;
  platform::Promotions Client;
  std::map<base::GroupName, Call> Calls;
  /// Until when a call without a reply may still take effect.
  std::map<base::GroupName, base::BootTime> UncertainUntil;
};

} // namespace baobabpin::control
