/// Sends a statement to the owner of its group, here or on another node, and to
/// the next in the order when that one fails.
///
/// \code
///   router.route(request, [](proto::ForwardReply reply) { ... });
/// \endcode
#pragma once

#include "baobabpin/admission/RetryBudget.h"
#include "baobabpin/directory/Directory.h"
#include "baobabpin/owner/OwnerService.h"
#include "baobabpin/peer/PeerService.h"

#include <map>
#include <memory>

namespace baobabpin::gateway {

class StatementRouter {
public:
  StatementRouter(kernel::EventLoop &loop, directory::Directory &fleet,
                  owner::OwnerService &owner, peer::PeerService &peers);

  /// \p reply is called once. A reply of not run is true: every attempt that
  /// may have run turns it into unknown.
  void route(proto::ForwardRequest request, owner::ReplyCallback reply);

  /// A stream to \p endpoint fell silent; its node is avoided for a while.
  void avoid(const std::string &endpoint);

private:
  struct Attempt;
  using AttemptPtr = std::shared_ptr<Attempt>;

  void send(const AttemptPtr &attempt);
  void sendInTransaction(const AttemptPtr &attempt);
  void onResult(const AttemptPtr &attempt, peer::ForwardResult result);
  void retry(const AttemptPtr &attempt, base::ErrorType error);
  void finish(const AttemptPtr &attempt, proto::ForwardReply reply);
  base::NodeId chooseOwner(const Attempt &attempt) const;
  bool isAvoided(const base::NodeId &node) const;

  kernel::EventLoop &Loop;
  directory::Directory &Fleet;
  owner::OwnerService &Owner;
  peer::PeerService &Peers;
  admission::RetryBudget Budget;
  std::map<std::string, base::TimePoint> AvoidedUntil;
  /// Expires with this object, for timers of attempts.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace baobabpin::gateway
