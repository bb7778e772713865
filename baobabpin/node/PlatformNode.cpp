#include "baobabpin/node/PlatformNode.h"

#include "baobabpin/control/NodeRetirement.h"
#include "baobabpin/frontend/FrontendService.h"
#include "baobabpin/quota/QuotaService.h"

#include <csignal>
#include <filesystem>
#include <utility>

#include <unistd.h>

namespace baobabpin::node {
namespace {

constexpr int ExitFailed = 1;
/// How often the modification time of the settings file is checked, since the
/// file may change without a signal.
constexpr std::chrono::milliseconds SettingsCheckPeriod{2000};
/// After a drain, the event loop runs this much longer so that the call that
/// removes the node's registration can complete.
constexpr std::chrono::milliseconds DeregistrationTime{150};

} // namespace

void addPlatformServices(kernel::Kernel &kernel, kernel::LineLog &log,
                         const platform::HostSettings &settings) {
  auto cluster = std::make_unique<control::ClusterService>(settings, log);
  auto frontend = std::make_unique<frontend::FrontendService>(settings, log);
  auto failover = std::make_unique<control::FailoverService>(
      settings.Promotions, frontend->serverAccess(), log);
  cluster->Hooks = frontend->clusterHooks();
  cluster->Hooks.IsFailingOver =
      [service = failover.get()](const base::GroupName &name) {
        return service->isFailingOver(name);
      };
  cluster->Hooks.MayPromoteLate =
      [service = failover.get()](const base::GroupName &name) {
        return service->mayPromoteLate(name);
      };
  cluster->Hooks.OnPrimarySuspected =
      [service = failover.get()](const base::GroupName &name) {
        service->check(name);
      };
  kernel.add(std::move(cluster));
  kernel.add(std::make_unique<quota::QuotaService>(settings, log));
  kernel.add(std::move(frontend));
  kernel.add(std::move(failover));
  kernel.add(std::make_unique<control::NodeRetirement>(log));
}

namespace {

/// Reads the settings file again and applies it to the running services. If the
/// file is invalid, the previous settings stay in use.
void reload(kernel::Kernel &kernel, kernel::LineLog &log,
            const std::string &path) {
  base::handleFailure(
      [&]() -> base::Result<bool> {
        BOOST_LEAF_AUTO(changed, platform::readHostSettings(path));
        kernel.find<control::ClusterService>("cluster").applySettings(changed);
        kernel.find<frontend::FrontendService>("frontend")
            .applySettings(changed);
        log.line("reload")
            .add("result", "ok")
            .add("seeds", static_cast<std::int64_t>(changed.Seeds.size()))
            .add("stop_grace_ms", changed.StopGrace);
        return true;
      },
      [&](const base::Failure &failure) {
        log.line("reload")
            .add("result", "old_settings_kept")
            .add("reason", failure.Detail);
        return false;
      });
}

/// Returns the modification time of the file at \p path, or the earliest
/// possible time if it cannot be read.
std::filesystem::file_time_type modificationTime(const std::string &path) {
  std::error_code ec;
  auto time = std::filesystem::last_write_time(path, ec);
  return ec ? std::filesystem::file_time_type::min() : time;
}

} // namespace

int runPlatformNode(const platform::HostSettings &settings,
                    const std::string &path) {
  kernel::Kernel kernel(settings.Node);
  kernel::LineLog log(kernel.loop(), settings.Node, STDOUT_FILENO);
  addPlatformServices(kernel, log, settings);
  bool started = base::handleFailure(
      [&]() -> base::Result<bool> {
        BOOST_LEAF_CHECK(kernel.startAll());
        return true;
      },
      [&](const base::Failure &failure) {
        log.line("start_failed").add("reason", failure.Detail);
        return false;
      });
  if (!started)
    return ExitFailed;
  log.line("started")
      .add("zone", settings.Zone)
      .add("address", settings.Address);
  auto &frontend = kernel.find<frontend::FrontendService>("frontend");
  kernel::Timer stopTimer;
  kernel.loop().onSignal(SIGTERM, [&] {
    log.line("stop_asked").add("signal", "SIGTERM");
    frontend.drain([&] {
      kernel.find<control::ClusterService>("cluster").removeRegistration();
      stopTimer = kernel.loop().runAfter(DeregistrationTime,
                                         [&] { kernel.loop().stop(); });
    });
  });
  kernel.loop().onSignal(SIGHUP, [&] { reload(kernel, log, path); });
  auto lastModified = modificationTime(path);
  auto settingsCheckTimer = kernel.loop().runEvery(SettingsCheckPeriod, [&] {
    auto modified = modificationTime(path);
    if (std::exchange(lastModified, modified) != modified)
      reload(kernel, log, path);
  });
  kernel.loop().run();
  log.line("stopped");
  kernel.stopAll();
  return 0;
}

} // namespace baobabpin::node
