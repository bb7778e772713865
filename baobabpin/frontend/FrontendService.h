/// Accepts clients, answers readiness checks, serves metrics and stops in
/// order.
#pragma once

#include "baobabpin/control/ClusterService.h"
#include "baobabpin/control/FailoverService.h"
#include "baobabpin/frontend/RelayServer.h"
#include "baobabpin/frontend/Session.h"
#include "baobabpin/http/HttpServer.h"
#include "baobabpin/kernel/Kernel.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace baobabpin::frontend {

class FrontendService : public kernel::Service {
public:
  FrontendService(platform::HostSettings settings, kernel::LineLog &log);
  ~FrontendService() override;

  std::string_view name() const override { return "frontend"; }
  base::Result<void> start(kernel::Kernel &kernel) override;
  void stop() override;

  /// Takes over what may change while the node runs.
  void applySettings(const platform::HostSettings &changed) {
    platform::applyReloadableSettings(Settings, changed);
  }
  /// Turns unready, lets sessions end and calls \p done when nothing is left,
  /// or shortly before the time to stop is over.
  void drain(std::function<void()> done);

  /// For the service that moves primaries.
  control::ServerAccess serverAccess();
  control::ClusterHooks clusterHooks();

private:
  void onClusterChanged();
  void tick();
  void drainTick();
  /// Asks clients that were idle for \p idle to leave.
  void dismissIdle(std::chrono::nanoseconds idle);
  bool isReady() const;
  void query(const base::ServerId &id, const std::string &line,
             std::chrono::milliseconds timeout,
             std::function<void(std::optional<sql::Reply>)> callback);
  std::shared_ptr<GroupProxy> group(const base::GroupName &name) const;
  void countStatement(const cluster::Route &route, const sql::Reply &reply,
                      std::chrono::nanoseconds took);
  void forget(Session *session);

  platform::HostSettings Settings;
  kernel::LineLog &Log;
  kernel::Kernel *Kernel = nullptr;
  control::ClusterService *Cluster = nullptr;
  std::unique_ptr<SessionContext> Context;
  std::unique_ptr<net::Listener> Clients;
  std::unique_ptr<Owners> ServerOwners;
  std::unique_ptr<RelayServer> Relay;
  std::unique_ptr<http::HttpServer> Readiness;
  std::unique_ptr<http::HttpServer> Metrics;
  std::map<base::GroupName, std::shared_ptr<GroupProxy>> Groups;
  std::unordered_map<Session *, SessionPtr> Sessions;
  kernel::Timer Ticker;
  kernel::Timer Sweeper;
  kernel::Timer DrainTicker;
  bool Draining = false;
  bool LastReady = false;
  base::BootTime ReadyUntil{};
  base::BootTime DrainStarted{};
  std::function<void()> OnDrained;
};

} // namespace baobabpin::frontend
