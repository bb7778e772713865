#include "baobabpin/frontend/FrontendService.h"

#include "platform/Documents.h"

#include <algorithm>
#include <array>
#include <utility>

namespace baobabpin::frontend {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds TickPeriod{50};
constexpr milliseconds SweepPeriod{250};
constexpr milliseconds DrainTickPeriod{50};
/// The node that has the client ends an idle transaction first.
constexpr milliseconds RelayedIdleMargin{1000};
/// The platform stops sending new connections after two missed checks, one a
/// second.
constexpr milliseconds NewConnectionsEnd{2300};
/// A node with an older view cannot be sure of its primaries for long. Turning
/// unready lets clients connect to another availability zone.
constexpr milliseconds UnreadyViewAge{900};
/// In a large fleet a view may be as old as this without a fault.
constexpr milliseconds LargeUnreadyViewAge{1300};
/// After this the platform has stopped sending new connections here.
constexpr milliseconds UnreadyLimit{2200};
/// A client that was idle for this long is unlikely to send a request at the
/// moment in which it is asked to leave.
constexpr milliseconds DismissAfterIdle{250};
/// New sessions are refused this long before the node has to end.
constexpr milliseconds RefusalTime{1400};
/// Left for the process to end before it is killed.
constexpr milliseconds StopMargin{600};

/// In seconds, around the latency that clients hope for.
const prometheus::Histogram::BucketBoundaries LatencyBounds{
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6};

std::string_view outcomeLabel(const sql::Reply &reply) {
  if (reply.succeeded())
    return "ok";
  if (reply.Error && sql::promisesNoEffect(*reply.Error))
    return "refused";
  return "failed";
}

std::string_view consistencyLabel(cluster::Consistency it) {
  switch (it) {
  case cluster::Consistency::Strict:
    return "strict";
  case cluster::Consistency::BoundedStaleness:
    return "bounded";
  case cluster::Consistency::ReadYourWrites:
    break;
  }
  return "own_writes";
}

} // namespace

FrontendService::FrontendService(platform::HostSettings settings,
                                 kernel::LineLog &log)
    : Settings(std::move(settings)), Log(log) {}

FrontendService::~FrontendService() = default;

base::Result<void> FrontendService::start(kernel::Kernel &kernel) {
  Kernel = &kernel;
  Cluster = &kernel.find<control::ClusterService>("cluster");
  auto &loop = kernel.loop();
  Context = std::make_unique<SessionContext>(SessionContext{
      loop, Log, *Cluster,
      [this](const base::GroupName &name) { return group(name); },
      [this](const cluster::Route &route, const sql::Reply &reply,
             std::chrono::nanoseconds took) {
        countStatement(route, reply, took);
      },
      [this](Session *session) { forget(session); }});
  Cluster->subscribe([this] { onClusterChanged(); });
  Readiness = std::make_unique<http::HttpServer>(loop);
  Readiness->handle(
      platform::ReadinessPath,
      [this](const http::HttpRequest &, const http::ResponderPtr &responder) {
        responder->json(isReady() ? 200 : 503, "{}");
      });
  BOOST_LEAF_CHECK(Readiness->listen(Settings.Readiness));
  Metrics = std::make_unique<http::HttpServer>(loop);
  Metrics->handle("/metrics", [this](const http::HttpRequest &,
                                     const http::ResponderPtr &responder) {
    responder->respond(200, "text/plain; version=0.0.4",
                       Kernel->metrics().render());
  });
  BOOST_LEAF_CHECK(Metrics->listen(Settings.Metrics));
  ServerOwners = std::make_unique<Owners>(loop, Log, *Cluster);
  Relay = std::make_unique<RelayServer>(
      loop, Log, [this](const base::GroupName &name) { return group(name); });
  BOOST_LEAF_CHECK(Relay->listen(Settings.Relay));
  Clients = std::make_unique<net::Listener>(loop);
  BOOST_LEAF_CHECK(Clients->listen(Settings.Clients, [this](int fd) {
    auto session = std::make_shared<Session>(*Context, fd);
    Sessions.emplace(session.get(), session);
    session->start();
    auto now = base::BootClock::now();
    if (Draining && now - DrainStarted > Settings.StopGrace - RefusalTime)
      session->refuseOpening();
  }));
  Ticker = loop.runEvery(TickPeriod, [this] { tick(); });
  Sweeper = loop.runEvery(SweepPeriod, [this] {
    auto now = base::BootClock::now();
    for (const auto &[raw, it] : Sessions)
      it->sweep(now);
    if (const auto *config = Cluster->configuration())
      Relay->sweep(now, config->TransactionIdle + RelayedIdleMargin);
  });
  return {};
}

void FrontendService::stop() {
  Ticker.cancel();
  Sweeper.cancel();
  DrainTicker.cancel();
  auto sessions = Sessions;
  for (const auto &[raw, it] : sessions)
    it->shutDown();
  Clients.reset();
  Readiness.reset();
  Metrics.reset();
}

void FrontendService::forget(Session *session) {
  // The session is on the stack; it goes when its callers are done.
  auto it = Sessions.find(session);
  if (it == Sessions.end())
    return;
  SessionPtr keep = it->second;
  Sessions.erase(it);
  Kernel->loop().post([keep] {});
}

std::shared_ptr<GroupProxy>
FrontendService::group(const base::GroupName &name) const {
  auto it = Groups.find(name);
  return it == Groups.end() ? nullptr : it->second;
}

void FrontendService::onClusterChanged() {
  const auto *config = Cluster->configuration();
  if (!config || !ServerOwners)
    return;
  ServerOwners->refresh();
  for (const auto &[name, it] : config->Groups) {
    auto &group = Groups[name];
    if (!group)
      group = std::make_shared<GroupProxy>(Kernel->loop(), *Cluster,
                                           *ServerOwners, name, Settings.Zone);
  }
  for (const auto &[name, it] : Groups)
    it->refresh();
}

void FrontendService::tick() {
  ServerOwners->tick(base::BootClock::now());
  for (const auto &[name, it] : Groups)
    it->tick();
  bool ready = isReady();
  if (std::exchange(LastReady, ready) != ready)
    Log.line("readiness")
        .add("ready", ready ? "yes" : "no")
        .add("view_age_ms", Cluster->viewAge())
        .add("draining", Draining ? "yes" : "no");
  auto now = base::BootClock::now();
  if (ready || Sessions.empty()) {
    ReadyUntil = now;
    return;
  }
  // Clients that stay would be refused; elsewhere they may be served.
  if (Draining || now - ReadyUntil < UnreadyLimit)
    return;
  dismissIdle(DismissAfterIdle);
}

void FrontendService::dismissIdle(std::chrono::nanoseconds idle) {
  auto now = base::BootClock::now();
  for (const auto &[raw, it] : Sessions)
    it->dismissIfIdle(now, idle);
}

bool FrontendService::isReady() const {
  if (Draining || !Cluster->configuration() || Groups.empty())
    return false;
  // A node that may use no primary at all serves only part of the clients.
  return Cluster->viewAge() <
         (Cluster->plan().Large ? LargeUnreadyViewAge : UnreadyViewAge);
}

void FrontendService::countStatement(const cluster::Route &route,
                                     const sql::Reply &reply,
                                     std::chrono::nanoseconds took) {
  kernel::MetricLabels labels{
      {"kind", std::string(consistencyLabel(route.Reads))},
      {"outcome", std::string(outcomeLabel(reply))}};
  Kernel->metrics()
      .histogram("baobabpin_statement_seconds",
                 "Time from a statement's arrival to its reply.", LatencyBounds,
                 labels)
      .Observe(std::chrono::duration<double>(took).count());
}

control::ServerAccess FrontendService::serverAccess() {
  return {[this](const base::GroupName &name) {
            auto it = group(name);
            return it ? it->observePrimary() : cluster::PrimaryObservation{};
          },
          [this](const base::ServerId &id, const std::string &line,
                 milliseconds timeout, auto callback) {
            query(id, line, timeout, std::move(callback));
          }};
}

control::ClusterHooks FrontendService::clusterHooks() {
  control::ClusterHooks hooks;
  hooks.PrimaryReplyAge =
      [this](const base::GroupName &name) -> std::optional<milliseconds> {
    auto it = group(name);
    return it ? it->primaryHeardAge() : std::nullopt;
  };
  hooks.DrainPrimary = [this](const base::GroupName &name,
                              std::function<void()> done) {
    if (auto it = group(name))
      it->whenCommitsDrained(std::move(done));
    else
      done();
  };
  hooks.Positions = [this] {
    std::map<base::GroupName, control::PositionReport> reports;
    for (const auto &[name, it] : Groups) {
      if (auto report = it->positionReport())
        reports[name] = *report;
    }
    return reports;
  };
  hooks.OnPeerPosition = [this](const base::GroupName &name,
                                std::uint64_t epoch, base::LogPosition position,
                                base::BootTime since) {
    if (auto it = group(name))
      it->addSample(epoch, since, position);
  };
  return hooks;
}

void FrontendService::query(
    const base::ServerId &id, const std::string &line, milliseconds timeout,
    std::function<void(std::optional<sql::Reply>)> callback) {
  PoolPtr pool;
  for (const auto &[name, it] : Groups) {
    if (auto found = it->pool(id))
      pool = found;
  }
  if (!pool) {
    Kernel->loop().post([callback] { callback(std::nullopt); });
    return;
  }
  auto once = std::make_shared<decltype(callback)>(std::move(callback));
  auto finish = [once](std::optional<sql::Reply> reply) {
    if (auto it = std::exchange(*once, nullptr))
      it(std::move(reply));
  };
  auto deadline = std::make_shared<kernel::Timer>();
  auto waiter = std::make_shared<pooling::Waiter>();
  waiter->Kind = pooling::Work::Probe;
  waiter->Priority = -1; // Before all clients' work.
  *deadline = Kernel->loop().runAfter(
      timeout, [pool, finish, weak = std::weak_ptr(waiter), deadline] {
        if (auto it = weak.lock())
          pool->cancel(it);
        finish(std::nullopt);
      });
  waiter->OnRefused = [finish, deadline](sql::ErrorCode) {
    deadline->cancel();
    finish(std::nullopt);
  };
  waiter->OnGranted = [pool, line, finish,
                       deadline](const pooling::LinkPtr &link) {
    link->run(
        line, 1,
        [pool, link, finish, deadline](const std::vector<sql::Reply> &replies) {
          deadline->cancel();
          pool->observe(link->sentAt(), replies.back());
          pool->release(link);
          finish(replies.back());
        });
  };
  pool->acquire(waiter);
}

void FrontendService::drain(std::function<void()> done) {
  if (Draining)
    return;
  Draining = true;
  Relay->setLeaving();
  OnDrained = std::move(done);
  DrainStarted = base::BootClock::now();
  Log.line("draining")
      .add("sessions", static_cast<std::int64_t>(Sessions.size()));
  DrainTicker =
      Kernel->loop().runEvery(DrainTickPeriod, [this] { drainTick(); });
}

void FrontendService::drainTick() {
  auto elapsed = base::BootClock::now() - DrainStarted;
  auto sessions = Sessions;
  if (elapsed >= Settings.StopGrace / 2) {
    for (const auto &[raw, it] : sessions)
      it->abortTransaction("node stops");
  }
  if (elapsed >= NewConnectionsEnd)
    dismissIdle(elapsed < Settings.StopGrace - RefusalTime
                    ? std::chrono::nanoseconds(DismissAfterIdle)
                    : std::chrono::nanoseconds(0));
  bool over = elapsed >= Settings.StopGrace - StopMargin;
  bool empty = Sessions.empty() && Relay->openTransactions() == 0 &&
               elapsed >= NewConnectionsEnd;
  if (!over && !empty)
    return;
  Log.line("drained")
      .add("sessions", static_cast<std::int64_t>(Sessions.size()))
      .add("elapsed_ms", elapsed);
  DrainTicker.cancel();
  // A session that began now would be cut by the end of the process.
  Clients->stop();
  if (auto callback = std::exchange(OnDrained, nullptr))
    callback();
}

} // namespace baobabpin::frontend
