/// Sends a statement to the owner of its group, which may be this node. If the
/// owner fails, the statement is sent to the next node in the owner order.
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
  StatementRouter(kernel::EventLoop &loop, directory::Directory &directory,
                  owner::OwnerService &owner, peer::PeerService &peers);

  /// Routes \p request and calls \p reply once. If no node reported another
  /// outcome, the outcome is NotRun if no attempt can have run the statement,
  /// and Unknown otherwise.
  void route(proto::ForwardRequest request, owner::ReplyCallback reply);

  /// Prefers other nodes in the owner order over the node at \p endpoint for
  /// one second. Called when a stream to that endpoint stops responding.
  void avoid(const std::string &endpoint);

private:
  struct PendingStatement;
  using PendingPtr = std::shared_ptr<PendingStatement>;

  /// Sends the statement to the next node in the owner order that was not tried
  /// yet.
  void send(const PendingPtr &pending);
  /// Sends the statement to the node that holds its transaction.
  void sendInTransaction(const PendingPtr &pending);
  void onForwardResult(const PendingPtr &pending, peer::ForwardResult result);
  /// Sends the statement again after a delay, or fails with \p error if the
  /// deadline is too close.
  void scheduleRetry(const PendingPtr &pending, base::ErrorType error);
  void finish(const PendingPtr &pending, proto::ForwardReply reply);
  base::NodeId chooseNode(const PendingStatement &pending) const;
  bool isAvoided(const base::NodeId &node) const;

  kernel::EventLoop &Loop;
  directory::Directory &Directory;
  owner::OwnerService &Owner;
  peer::PeerService &Peers;
  admission::RetryBudget Budget;
  std::map<std::string, base::TimePoint> AvoidedUntil;
  /// Lets a retry timer detect that this object has been destroyed.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace baobabpin::gateway
