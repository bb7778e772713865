#include "baobabpin/frontend/FrontendService.h"

#include "baobabpin/frontend/ConnectionBound.h"
#include "platform/Documents.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

namespace baobabpin::frontend {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds TickPeriod{50};
constexpr milliseconds IdleTransactionCheckPeriod{250};
constexpr milliseconds DrainTickPeriod{50};
constexpr milliseconds ReportPeriod{1000};
/// How long the connection of an ended session is kept so that it can send its
/// last replies.
constexpr milliseconds LastReplyTimeout{500};
/// The owner keeps an idle relayed transaction for this much longer than the
/// configured limit, so that the node with the client's session aborts it
/// first.
constexpr milliseconds RelayedIdleMargin{1000};
/// The platform sends no new connections after two failed readiness checks,
/// which it makes once a second.
constexpr milliseconds NewConnectionsStopAfter{2300};
/// A node that has been not ready for this long gets no new connections from
/// the platform.
constexpr milliseconds UnreadyCloseDelay{2200};
/// A client that has been idle for this long is unlikely to send a request at
/// the moment at which it is asked to close its session.
constexpr milliseconds CloseRequestIdleTime{250};
/// New sessions and statements are refused during this last part of the grace
/// period. It leaves the statements that were accepted before it time to end.
constexpr milliseconds WorkRefusalMargin{1400};
constexpr milliseconds DiscardedLogPeriod{1000};
/// Time reserved for the process to exit before the platform kills it.
constexpr milliseconds StopMargin{600};

/// Histogram buckets in seconds, finest around the latency that clients expect.
const prometheus::Histogram::BucketBoundaries LatencyBucketBoundsSeconds{
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
    : Settings(std::move(settings)), Log(log) {
  Access.RevocationLimit = Settings.RevocationLimit;
}

FrontendService::~FrontendService() = default;

base::Result<void> FrontendService::start(kernel::Kernel &kernel) {
  Kernel = &kernel;
  Cluster = &kernel.find<control::ClusterService>("cluster");
  auto &loop = kernel.loop();
  Context = std::make_unique<SessionContext>(SessionContext{
      loop, Log, *Cluster, kernel.find<quota::QuotaService>("quota"),
      [this](const base::GroupName &name) { return group(name); },
      [this](const cluster::Route &route, const sql::Reply &reply,
             std::chrono::nanoseconds took) {
        countStatement(route, reply, took);
      },
      [this](Session *session) { removeSession(session); },
      [this](const cluster::Route &route, std::string_view key) {
        return authorize(route, key);
      }});
  Context->OnAccessRefused = [this](organisation::Access access, bool opens) {
    countRefusedAccess(access, opens);
  };
  loop.measureLateness();
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
  Channels = std::make_unique<OwnerChannels>(loop, Log, *Cluster);
  Relay = std::make_unique<RelayServer>(
      loop, Log, [this](const base::GroupName &name) { return group(name); });
  BOOST_LEAF_CHECK(Relay->listen(Settings.Relay));
  Clients = std::make_unique<net::Listener>(loop);
  BOOST_LEAF_CHECK(
      Clients->listen(Settings.Clients, [this](int fd) { acceptClient(fd); }));
  Ticker = loop.runEvery(TickPeriod, [this] { tick(); });
  ReportTimer = loop.runEvery(ReportPeriod, [this] { reportConnections(); });
  IdleTransactionTimer = loop.runEvery(IdleTransactionCheckPeriod, [this] {
    auto now = base::BootClock::now();
    for (const auto &[raw, it] : Sessions)
      it->abortIdleTransactions(now);
    if (const auto *config = Cluster->configuration())
      Relay->abortIdleTransactions(now,
                                   config->TransactionIdle + RelayedIdleMargin);
  });
  return {};
}

void FrontendService::stop() {
  Ticker.cancel();
  IdleTransactionTimer.cancel();
  ReportTimer.cancel();
  DrainTicker.cancel();
  auto sessions = Sessions;
  for (const auto &[raw, it] : sessions)
    it->shutDown();
  Clients.reset();
  Readiness.reset();
  Metrics.reset();
}

SessionPtr FrontendService::oldestUnopened() {
  while (!Unopened.empty()) {
    auto it = Unopened.front().lock();
    if (it && it->isUnopened())
      return it;
    Unopened.pop_front();
  }
  return nullptr;
}

void FrontendService::acceptClient(int fd) {
  auto bound =
      clientConnectionBound(Settings.MaxFileDescriptors,
                            static_cast<int>(Cluster->view().Nodes.size()));
  auto oldest = oldestUnopened();
  if (bound && std::cmp_greater_equal(Sessions.size(), *bound)) {
    ++Discarded;
    if (!oldest) {
      close(fd);
      return;
    }
    oldest->discard();
  }
  auto session = std::make_shared<Session>(*Context, fd);
  Sessions.emplace(session.get(), session);
  Unopened.push_back(session);
  session->start();
}

void FrontendService::logDiscarded(base::BootTime now) {
  std::uint64_t timeouts = Context->HeaderTimeouts;
  if (now - DiscardedLoggedAt < DiscardedLogPeriod ||
      (Discarded == LoggedDiscarded && timeouts == LoggedHeaderTimeouts))
    return;
  DiscardedLoggedAt = now;
  Log.line("clients_discarded")
      .add("at_bound", static_cast<std::int64_t>(Discarded - LoggedDiscarded))
      .add("header_timeout",
           static_cast<std::int64_t>(timeouts - LoggedHeaderTimeouts))
      .add("connections", static_cast<std::int64_t>(Sessions.size()));
  LoggedDiscarded = Discarded;
  LoggedHeaderTimeouts = timeouts;
}

void FrontendService::removeSession(Session *session) {
  // A member function of the session is still on the call stack, and its
  // connection may have to send the last replies, so it is destroyed later.
  auto it = Sessions.find(session);
  if (it == Sessions.end())
    return;
  SessionPtr keep = it->second;
  Sessions.erase(it);
  EndedSessions.emplace_back(base::BootClock::now(), keep);
}

std::shared_ptr<GroupProxy>
FrontendService::group(const base::GroupName &name) const {
  auto it = Groups.find(name);
  return it == Groups.end() ? nullptr : it->second;
}

void FrontendService::onClusterChanged() {
  const auto *config = Cluster->configuration();
  if (!config || !Channels)
    return;
  if (config->Version != AccessVersion)
    adoptAccessKeys(*config);
  Channels->refresh();
  for (const auto &[name, it] : config->Groups) {
    auto &group = Groups[name];
    if (!group)
      group = std::make_shared<GroupProxy>(Kernel->loop(), *Cluster, *Channels,
                                           name, Settings.Zone);
  }
  for (const auto &[name, it] : Groups)
    it->refresh();
}

void FrontendService::adoptAccessKeys(const cluster::Configuration &config) {
  AccessVersion = config.Version;
  bool hadKeys = Access.Keys.has_value();
  Access.Keys.reset();
  if (config.Organisations) {
    Access.Keys =
        organisation::indexAccessKeys(*config.Organisations, KeySecret);
    Log.line("access_keys")
        .add("version", static_cast<std::int64_t>(config.Version))
        .add("organisations",
             static_cast<std::int64_t>(config.Organisations->size()))
        .add("keys", static_cast<std::int64_t>(Access.Keys->Entries.size()))
        .add("ambiguous",
             static_cast<std::int64_t>(Access.Keys->AmbiguousCount));
  }
  if (!hadKeys && !Access.Keys)
    return;
  auto sessions = Sessions;
  for (const auto &[raw, it] : sessions)
    it->recheckAccess();
}

organisation::Authorization
FrontendService::authorize(const cluster::Route &route, std::string_view key) {
  Access.ConfirmedAt = Cluster->configurationConfirmedAt();
  return organisation::authorize(Access, route, key, base::BootClock::now());
}

void FrontendService::countRefusedAccess(organisation::Access access,
                                         bool opensSession) {
  kernel::MetricLabels labels{{"when", opensSession ? "opening" : "open"}};
  if (access == organisation::Access::Denied)
    Kernel->metrics()
        .counter("baobabpin_sessions_denied_total",
                 "Sessions ended because their access key is not valid.",
                 labels)
        .Increment();
  else
    Kernel->metrics()
        .counter("baobabpin_refused_unconfirmed_total",
                 "Sessions and statements refused because the configuration "
                 "was not known to be recent.",
                 labels)
        .Increment();
}

void FrontendService::reportConnections() {
  auto &metrics = Kernel->metrics();
  pooling::PoolConnections sum;
  for (const auto &[name, it] : Groups) {
    it->addConnections(sum);
    it->reportStatementLimits([this](const base::ServerId &id, int limit) {
      Kernel->metrics()
          .gauge("baobabpin_server_statement_limit",
                 "Single statements that this node may have in flight at the "
                 "server; 0 if it does not limit them.",
                 {{"server", id}})
          .Set(limit);
    });
    auto events = it->poolEvents();
    auto before = std::exchange(ReportedEvents[name], events);
    auto reclaimed = events.Reclaimed - before.Reclaimed;
    auto replaced = events.Replaced - before.Replaced;
    metrics
        .counter("baobabpin_transactions_reclaimed_total",
                 "Idle transactions aborted because other work waited for a "
                 "connection.")
        .Increment(static_cast<double>(reclaimed));
    metrics
        .counter("baobabpin_connections_replaced_total",
                 "Idle server connections closed in favour of another "
                 "organisation.")
        .Increment(static_cast<double>(replaced));
    if (reclaimed + replaced > 0)
      Log.line("connections_short")
          .add("group", name)
          .add("replaced", static_cast<std::int64_t>(replaced))
          .add("transactions_reclaimed", static_cast<std::int64_t>(reclaimed));
  }
  auto report = [&](const char *state, std::size_t count) {
    metrics
        .gauge("baobabpin_server_connections",
               "Connections of this node to servers.", {{"state", state}})
        .Set(static_cast<double>(count));
  };
  report("idle", sum.Idle);
  report("busy", sum.Busy);
  report("opening", sum.Opening);
  report("abandoned", sum.Abandoned);
  metrics
      .gauge("baobabpin_connected_organisations",
             "Organisations that have connections to servers.")
      .Set(static_cast<double>(sum.Organisations.size()));
}

void FrontendService::tick() {
  auto now = base::BootClock::now();
  while (!EndedSessions.empty() &&
         now - EndedSessions.front().first > LastReplyTimeout)
    EndedSessions.pop_front();
  Channels->tick(now);
  Relay->setOwning(!Draining && !Cluster->isRegistrationFailing());
  for (const auto &[name, it] : Groups)
    it->tick();
  auto state = readinessState();
  if (!isIsolated(state))
    LastReachableAt = now;
  bool ready = frontend::isReady(state);
  if (std::exchange(WasReady, ready) != ready)
    Log.line("readiness")
        .add("ready", ready ? "yes" : "no")
        .add("view_age_ms", Cluster->viewAge())
        .add("unreachable_groups",
             static_cast<std::int64_t>(state.UnreachableGroups))
        .add("registered", state.Registered ? "yes" : "no")
        .add("draining", Draining ? "yes" : "no");
  logDiscarded(now);
  if (ready || Sessions.empty()) {
    LastReadyAt = now;
    return;
  }
  // This node would refuse the statements of its clients; another node may be
  // able to serve them.
  if (Draining || now - LastReadyAt < UnreadyCloseDelay)
    return;
  requestCloseOfIdleSessions(CloseRequestIdleTime);
}

void FrontendService::requestCloseOfIdleSessions(
    std::chrono::nanoseconds idle) {
  auto now = base::BootClock::now();
  for (const auto &[raw, it] : Sessions)
    it->requestCloseIfIdle(now, idle);
}

ReadinessState FrontendService::readinessState() const {
  auto cutOff = std::ranges::count_if(
      Groups, [](const auto &it) { return it.second->isCutOff(); });
  return {.Draining = Draining,
          .Configured = Cluster->configuration() && !Groups.empty(),
          .Registered = Cluster->isRegistered(),
          .LargeFleet = Cluster->plan().Large,
          .ViewAge = Cluster->viewAge(),
          .Groups = Groups.size(),
          .UnreachableGroups = static_cast<std::size_t>(cutOff),
          .UnreachableFor = base::BootClock::now() - LastReachableAt};
}

bool FrontendService::isReady() const {
  return frontend::isReady(readinessState());
}

void FrontendService::countStatement(const cluster::Route &route,
                                     const sql::Reply &reply,
                                     std::chrono::nanoseconds took) {
  kernel::MetricLabels labels{
      {"kind", std::string(consistencyLabel(route.Reads))},
      {"outcome", std::string(outcomeLabel(reply))}};
  Kernel->metrics()
      .histogram("baobabpin_statement_seconds",
                 "Time from a statement's arrival to its reply.",
                 LatencyBucketBoundsSeconds, labels)
      .Observe(std::chrono::duration<double>(took).count());
}

control::ServerAccess FrontendService::serverAccess() {
  return {[this](const base::GroupName &name) {
            auto it = group(name);
            return it ? it->primaryObservation()
                      : cluster::PrimaryObservation{};
          },
          [this](const base::ServerId &id, const std::string &line,
                 milliseconds timeout, auto callback) {
            query(id, line, timeout, std::move(callback));
          },
          [this](const base::GroupName &name, const cluster::ServerRun &run,
                 milliseconds timeout, auto callback) {
            pooling::contactRun(Kernel->loop(), name, run, timeout,
                                std::move(callback));
          }};
}

control::ClusterHooks FrontendService::clusterHooks() {
  control::ClusterHooks hooks;
  hooks.PrimaryReplyAge =
      [this](const base::GroupName &name) -> std::optional<milliseconds> {
    auto it = group(name);
    return it ? it->primaryReplyAge() : std::nullopt;
  };
  hooks.IsUnsure = [this](const base::GroupName &name) {
    auto it = group(name);
    return it && it->primaryObservation().Unsure;
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
  auto granted = std::make_shared<pooling::ServerConnectionPtr>();
  waiter->Kind = pooling::WorkKind::Probe;
  waiter->Priority = -1; // Ahead of all statements of clients.
  *deadline = Kernel->loop().runAfter(
      timeout, [pool, finish, granted, weak = std::weak_ptr(waiter), deadline] {
        if (auto it = weak.lock())
          pool->cancel(it);
        // Otherwise the connection stays in use until a reply arrives.
        if (auto it = std::exchange(*granted, nullptr))
          pool->abandon(it);
        finish(std::nullopt);
      });
  waiter->OnRefused = [finish, deadline](sql::ErrorCode) {
    deadline->cancel();
    finish(std::nullopt);
  };
  waiter->OnGranted = [pool, line, finish, granted, deadline](
                          const pooling::ServerConnectionPtr &connection) {
    *granted = connection;
    connection->run(line, 1,
                    [pool, connection, finish, granted,
                     deadline](const std::vector<sql::Reply> &replies) {
                      deadline->cancel();
                      granted->reset();
                      pool->recordReply(connection->sentAt(), replies.back());
                      pool->release(connection);
                      finish(replies.back());
                    });
  };
  pool->acquire(waiter);
}

void FrontendService::drain(std::function<void()> done) {
  if (Draining)
    return;
  Draining = true;
  Relay->setOwning(false);
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
  StopProgress &stop = Context->Stop;
  stop.EndsTransactions = elapsed >= Settings.StopGrace / 2;
  stop.RefusesWork = elapsed >= Settings.StopGrace - WorkRefusalMargin;
  if (stop.EndsTransactions) {
    for (const auto &[raw, it] : sessions)
      it->abortTransaction("node stops");
  }
  if (stop.RefusesWork)
    Relay->refuseWork();
  if (stop.RefusesWork || elapsed >= NewConnectionsStopAfter)
    requestCloseOfIdleSessions(
        stop.RefusesWork ? std::chrono::nanoseconds(0)
                         : std::chrono::nanoseconds(CloseRequestIdleTime));
  bool timeIsUp = elapsed >= Settings.StopGrace - StopMargin;
  bool empty =
      Sessions.empty() && Relay->isIdle() && elapsed >= NewConnectionsStopAfter;
  if (!timeIsUp && !empty)
    return;
  // The end of the process would cut these statements off.
  for (const auto &[raw, it] : sessions)
    it->answerNow();
  Relay->answerNow();
  Log.line("drained")
      .add("sessions", static_cast<std::int64_t>(Sessions.size()))
      .add("elapsed_ms", elapsed);
  DrainTicker.cancel();
  // A session that began now would be cut off when the process exits.
  Clients->stop();
  if (auto callback = std::exchange(OnDrained, nullptr))
    callback();
}

} // namespace baobabpin::frontend
