/// Accepts client connections, answers readiness checks, serves metrics and
/// shuts the node's client traffic down gracefully.
#pragma once

#include "baobabpin/control/ClusterService.h"
#include "baobabpin/control/FailoverService.h"
#include "baobabpin/frontend/Readiness.h"
#include "baobabpin/frontend/RelayServer.h"
#include "baobabpin/frontend/Session.h"
#include "baobabpin/http/HttpServer.h"
#include "baobabpin/kernel/Kernel.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

namespace baobabpin::frontend {

class FrontendService : public kernel::Service {
public:
  FrontendService(platform::HostSettings settings, kernel::LineLog &log);
  ~FrontendService() override;

  std::string_view name() const override { return "frontend"; }
  base::Result<void> start(kernel::Kernel &kernel) override;
  void stop() override;

  /// Applies those settings that may change while the node runs.
  void applySettings(const platform::HostSettings &changed) {
    platform::applyReloadableSettings(Settings, changed);
  }
  /// Reports the node as not ready, lets sessions end, and calls \p done when
  /// neither sessions nor relayed transactions are left, or shortly before the
  /// grace period for stopping ends.
  void drain(std::function<void()> done);

  /// Gives the failover service access to the servers.
  control::ServerAccess serverAccess();
  control::ClusterHooks clusterHooks();

private:
  void onClusterChanged();
  void tick();
  void drainTick();
  /// Asks clients that have been idle for at least \p idle to close their
  /// sessions.
  void requestCloseOfIdleSessions(std::chrono::nanoseconds idle);
  ReadinessState readinessState() const;
  bool isReady() const;
  void query(const base::ServerId &id, const std::string &line,
             std::chrono::milliseconds timeout,
             std::function<void(std::optional<sql::Reply>)> callback);
  std::shared_ptr<GroupProxy> group(const base::GroupName &name) const;
  void countStatement(const cluster::Route &route, const sql::Reply &reply,
                      std::chrono::nanoseconds took);
  /// Takes over a client connection. At the bound for connections, the one that
  /// has been open longest without a session is closed for it.
  void acceptClient(int fd);
  /// Returns the oldest session that is not open yet, or null.
  SessionPtr oldestUnopened();
  /// Logs how many connections were closed without a session since the last
  /// time. A flood would write a line for each of them otherwise.
  void logDiscarded(base::BootTime now);
  void removeSession(Session *session);
  /// Indexes the access keys of a new configuration, and checks the sessions
  /// against them.
  void adoptAccessKeys(const cluster::Configuration &config);
  organisation::Authorization authorize(const cluster::Route &route,
                                        std::string_view key);
  void countRefusedAccess(organisation::Access access, bool opensSession);
  /// Updates the metrics of the server connections, and logs the groups in
  /// which connections were taken from some work for the sake of other work.
  void reportConnections();

  platform::HostSettings Settings;
  kernel::LineLog &Log;
  kernel::Kernel *Kernel = nullptr;
  control::ClusterService *Cluster = nullptr;
  std::unique_ptr<SessionContext> Context;
  std::unique_ptr<net::Listener> Clients;
  std::unique_ptr<OwnerChannels> Channels;
  std::unique_ptr<RelayServer> Relay;
  std::unique_ptr<http::HttpServer> Readiness;
  std::unique_ptr<http::HttpServer> Metrics;
  std::map<base::GroupName, std::shared_ptr<GroupProxy>> Groups;
  std::unordered_map<Session *, SessionPtr> Sessions;
  /// Ended sessions, the oldest first, whose last replies may not be sent yet.
  std::deque<std::pair<base::BootTime, SessionPtr>> EndedSessions;
  /// In the order in which they were accepted. Those that were opened since are
  /// removed when they come to the front.
  std::deque<std::weak_ptr<Session>> Unopened;
  /// The number of connections closed at the bound.
  std::uint64_t Discarded = 0;
  std::uint64_t LoggedDiscarded = 0;
  std::uint64_t LoggedHeaderTimeouts = 0;
  base::BootTime DiscardedLoggedAt{};
  organisation::HashSecret KeySecret = organisation::drawHashSecret();
  organisation::AuthorizationState Access;
  /// The version of the configuration from which Access was made.
  std::uint64_t AccessVersion = 0;
  kernel::Timer Ticker;
  kernel::Timer IdleTransactionTimer;
  kernel::Timer ReportTimer;
  /// The events of each group at the latest report.
  std::map<base::GroupName, pooling::PoolEvents> ReportedEvents;
  kernel::Timer DrainTicker;
  bool Draining = false;
  bool WasReady = false;
  base::BootTime LastReadyAt{};
  /// When at most half of the groups were out of reach for the last time.
  base::BootTime LastReachableAt{};
  base::BootTime DrainStarted{};
  std::function<void()> OnDrained;
};

} // namespace baobabpin::frontend
