/// Enforces the rate limits of organisations over all nodes
/// (docs/design/quotas.md).
///
/// Each operation of an organisation with a limit needs a token. A node asks
/// the organisation's granters for tokens, and answers the other nodes for the
/// organisations of which it is a granter itself. Without a limit in the
/// configuration the service has no timer and sends nothing.
///
/// \code
///   auto waiter = std::make_shared<quota::AdmissionWaiter>();
///   waiter->Organisation = "filings";
///   waiter->OnDone = [](const quota::Admission &it) { ... };
///   if (auto admission = quota.admit(waiter))
///     ... // known at once; OnDone is not called
/// \endcode
#pragma once

#include "baobabpin/control/ClusterService.h"
#include "baobabpin/kernel/Kernel.h"
#include "baobabpin/kernel/LineLog.h"
#include "baobabpin/quota/Allowance.h"
#include "baobabpin/quota/GranterRole.h"
#include "baobabpin/quota/QuotaMessages.h"
#include "baobabpin/quota/TokenBucket.h"
#include "platform/Settings.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace baobabpin::quota {

/// Whether an operation may run.
struct Admission {
  bool Granted = false;
  /// The token to return if the operation reaches no server. Empty for an
  /// organisation without a limit.
  std::optional<Token> Spent;
  /// The text of the reply to a refused operation.
  std::string RefusalText;
};

/// An operation that waits for a token.
struct AdmissionWaiter {
  base::OrganisationName Organisation;
  /// Reset to cancel the waiter.
  std::function<void(const Admission &)> OnDone;
  base::BootTime JoinedAt{};
  /// The number of calls that ended without a token for this operation.
  std::size_t Attempts = 0;
};
using AdmissionWaiterPtr = std::shared_ptr<AdmissionWaiter>;

class QuotaService : public kernel::Service {
public:
  QuotaService(platform::HostSettings settings, kernel::LineLog &log);

  std::string_view name() const override { return "quota"; }
  base::Result<void> start(kernel::Kernel &kernel) override;
  void stop() override;

  /// Takes a token for an operation. Returns nothing if the operation has to
  /// wait; then OnDone is called later, from the event loop.
  std::optional<Admission> admit(const AdmissionWaiterPtr &waiter);
  /// Returns the token of an operation that reached no server.
  void giveBack(const base::OrganisationName &organisation, const Token &token);
  /// Returns the number of calls that this node has sent to granters.
  std::uint64_t callCount() const { return Calls; }

private:
  /// An organisation with a limit.
  struct Limited {
    cluster::RateLimit Limit;
    GranterShare Share;
    // As a requesting node.
    Allowance Tokens;
    FallbackQuota Fallback;
    std::deque<AdmissionWaiterPtr> Waiters;
    std::vector<std::string> Granters;
    GranterStates States;
    std::size_t LastAsked = 0;
    bool IsAsking = false;
    // As a granter.
    GranterRole Role;
    /// An earlier run of this node was a granter according to the list that
    /// this run read first. Reset when the node has become eligible, or ceases
    /// to rank among the first.
    bool Resumes = false;
    /// The same for the only registered node, which holds both shares.
    GranterRole OnlyNode;
    std::optional<TokenBucket> Bucket;
    GranterShare BucketShare;
  };
  /// A call to a granter that is sent in the next iteration of the event loop.
  struct PendingCall {
    QuotaRequest Request;
    /// The organisations that wait for tokens of this call.
    std::set<base::OrganisationName> Asking;
  };

  void onClusterChanged();
  void adoptLimits(const cluster::Configuration &config);
  void adoptLimit(const base::OrganisationName &name, Limited &it,
                  const cluster::RateLimit &limit);
  void removeUnlimited(
      const std::map<base::OrganisationName, cluster::RateLimit> &limits);
  void adoptNodes();
  void noteEarlierRun();
  RunStart runStart(const Limited &it, base::BootTime now) const;
  void updateRoles();
  void updateRole(const base::OrganisationName &name, Limited &it);
  /// Returns what this node may grant now; its rate is 0 if it is no granter.
  GranterShare grantableShare(const Limited &it, base::BootTime now) const;
  void tick();
  /// Asks for tokens if there are too few.
  void ask(const base::OrganisationName &name, Limited &it);
  PendingCall &callTo(const std::string &granter);
  void sendCalls();
  void sendCall(const std::string &granter, const PendingCall &call);
  void onReply(const std::string &granter, const PendingCall &call,
               base::BootTime sentAt, const std::optional<QuotaReply> &reply);
  void noteGranted(Limited &it, const std::string &granter,
                   const TokenGrant *grant, base::BootTime sentAt);
  void setSilent(const std::string &granter, bool silent);
  /// Lets waiting operations run, asks again for others, and refuses those that
  /// have had their attempts.
  void serveWaiters(const base::OrganisationName &name, Limited &it);
  Admission refuse(const base::OrganisationName &name, Limited &it);
  void countRefusal(const base::OrganisationName &name, const char *reason);
  /// Answers a call of a peer, or of this node itself.
  QuotaReply grantTokens(const QuotaRequest &request);
  std::optional<http::Endpoint> endpointOf(const std::string &node) const;

  platform::HostSettings Settings;
  Tolerance Allowed;
  std::chrono::nanoseconds Validity{};
  kernel::LineLog &Log;
  kernel::Kernel *Kernel = nullptr;
  control::ClusterService *Cluster = nullptr;
  std::map<base::OrganisationName, Limited> Organisations;
  base::BootTime StartedAt{};
  /// The list of nodes has been read in this run.
  bool ListRead = false;
  /// The list that was read first had an earlier run of this node, not retired.
  bool FoundEarlierRun = false;
  std::uint64_t ConfigVersion = 0;
  GranterRanking Ranking;
  std::map<std::string, int> Capacities;
  std::map<std::string, PendingCall> Pending;
  bool SendPosted = false;
  /// When each silent granter is tried again.
  std::map<std::string, base::BootTime> SilentUntil;
  std::map<base::OrganisationName, std::uint64_t> Refusals;
  std::set<base::OrganisationName> NamedInMetrics;
  std::uint64_t Calls = 0;
  kernel::Timer Ticker;
  /// Callbacks hold a weak reference, and do nothing after the service ended.
  std::shared_ptr<int> Alive = std::make_shared<int>(0);
};

} // namespace baobabpin::quota
