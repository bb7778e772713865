#include "baobabpin/frontend/GroupProxy.h"

#include "baobabpin/cluster/OrganisationShares.h"
#include "platform/Wire.h"

#include <algorithm>
#include <utility>

namespace baobabpin::frontend {
namespace {

using std::chrono::milliseconds;

/// The time between two probes of a primary. It allows several probes before a
/// primary that does not reply is suspected, and yields position samples that
/// are close enough together for every allowed staleness.
constexpr milliseconds ProbePeriod{200};
/// The probe period of a node that does not monitor the primaries and whose
/// role for the primary's connections is ConnectionRole::NonOwner. Such a node
/// learns log positions from its peers and asks the owner only when its latest
/// position is older than this.
constexpr milliseconds LongProbePeriod{700};
/// The timeout of probes and of rollbacks. A probe needs no execution slot, so
/// a healthy server replies to it in a few milliseconds.
constexpr milliseconds ShortStatementTimeout{350};
/// A node that probes the primary through an owner connects to the primary
/// directly when it knows of no reply from the primary for this long.
constexpr milliseconds DirectProbeAfter{320};
/// For this long after the start of this node, a missing reply does not cause a
/// direct probe. The owners may be starting as well, and another node's
/// connection would take one that they need.
constexpr milliseconds DirectProbeStartupDelay{1500};
/// How long a failover waits for commits in flight at the old primary.
constexpr milliseconds CommitDrainTimeout{200};

} // namespace

GroupProxy::GroupProxy(kernel::EventLoop &loop,
                       control::ClusterService &cluster,
                       OwnerChannels &channels, base::GroupName name,
                       base::AvailabilityZone zone)
    : Loop(loop), Cluster(cluster), Channels(channels), Name(std::move(name)),
      Zone(std::move(zone)) {}

GroupProxy::~GroupProxy() = default;

void GroupProxy::refresh() {
  const auto *config = Cluster.configuration();
  if (config &&
      std::exchange(SharesVersion, config->Version) != config->Version)
    OrganisationShares = cluster::organisationShares(*config);
  for (const auto &[id, server] : Cluster.servers()) {
    if (server.Group != Name)
      continue;
    auto &pool = Pools[id];
    if (pool && pool->server().Address != server.Address) {
      pool->shutDown();
      Retiring.push_back(std::exchange(pool, nullptr));
    }
    if (!pool)
      pool = std::make_shared<pooling::ServerPool>(Loop, server);
    pool->update(server);
    pool->setShare(shareOf(server));
  }
  std::erase_if(Pools, [&](auto &entry) {
    if (Cluster.servers().contains(entry.first))
      return false;
    Progress.erase(entry.first);
    Waits.erase(entry.first);
    entry.second->shutDown();
    Retiring.push_back(entry.second);
    return true;
  });
  std::erase_if(Retiring, [this](const PoolPtr &it) {
    bool unused = it->openCount() == 0 && it.use_count() == 1;
    if (unused)
      PastEvents += it->events();
    return unused;
  });
  auto choice = primary();
  if (choice.Use == cluster::PrimaryUse::Allowed && choice.Epoch != LastEpoch) {
    LastEpoch = choice.Epoch;
    PrimarySince = base::BootClock::now();
    OwnerLastReply = {};
  }
  if (choice.Pool)
    ResumeTimer = Loop.runAfter({}, [this] { resumeWaiting(); });
}

pooling::ConnectionShare
GroupProxy::shareOf(const cluster::ServerRegistration &server) {
  const auto *config = Cluster.configuration();
  int limit = 1;
  if (config && config->Groups.contains(Name))
    limit = config->Groups.at(Name).MaxConnections;
  switch (Channels.roleFor(server)) {
  case ConnectionRole::Direct:
    return pooling::shareConnections(
        limit, static_cast<int>(Cluster.peers().size()) + 1);
  case ConnectionRole::Owner:
    return pooling::ownerShare(limit, server.Slots);
  case ConnectionRole::Standby:
    return pooling::nonOwnerShare(limit);
  case ConnectionRole::NonOwner:
    break;
  }
  return Cluster.plan().Large ? pooling::ProbeShare
                              : pooling::nonOwnerShare(limit);
}

void GroupProxy::resumeWaiting() {
  auto waiting = std::exchange(WaitingForPrimary, {});
  for (const auto &it : waiting) {
    if (auto resume = it.lock())
      (*resume)();
  }
}

GroupProxy::ResumeHandle
GroupProxy::waitForPrimary(std::function<void()> resume) {
  auto handle = std::make_shared<std::function<void()>>(std::move(resume));
  WaitingForPrimary.push_back(handle);
  return handle;
}

PrimaryChoice GroupProxy::primary() const {
  PrimaryChoice it;
  it.Use = Cluster.primaryUse(Name);
  if (it.Use != cluster::PrimaryUse::Allowed)
    return it;
  const auto &record = Cluster.view().Groups.at(Name).Value;
  it.Epoch = record.Epoch;
  it.Pool = pool(record.Primary);
  // The primary's registration is gone, or it has left, and the failover that
  // follows has not begun yet.
  if (!it.Pool || !Cluster.mayServe(record.Primary)) {
    it.Pool = nullptr;
    it.Use = cluster::PrimaryUse::FailoverInProgress;
  }
  return it;
}

bool GroupProxy::isCutOff() const {
  bool lost = false;
  for (const auto &[id, pool] : Pools) {
    auto reach = Channels.reachOf(pool->server());
    if (reach == Reach::Works)
      return false;
    lost = lost || reach == Reach::Lost;
  }
  return lost;
}

bool GroupProxy::hasReplacementFor(const base::ServerId &primary) const {
  return std::ranges::any_of(Pools, [&](const auto &entry) {
    const auto &[id, pool] = entry;
    const auto &condition = pool->condition();
    return id != primary && !isLeaving(id) && !condition.Unreachable &&
           !condition.WrongIdentity;
  });
}

double GroupProxy::organisationShare(
    const base::OrganisationName &organisation) const {
  auto it = OrganisationShares.find(organisation);
  return it == OrganisationShares.end() ? 1 : it->second;
}

pooling::PoolEvents GroupProxy::poolEvents() const {
  pooling::PoolEvents sum = PastEvents;
  for (const auto &[id, it] : Pools)
    sum += it->events();
  for (const auto &it : Retiring)
    sum += it->events();
  return sum;
}

void GroupProxy::addConnections(pooling::PoolConnections &sum) const {
  for (const auto &[id, it] : Pools)
    it->addConnections(sum);
  for (const auto &it : Retiring)
    it->addConnections(sum);
}

PoolPtr GroupProxy::pool(const base::ServerId &id) const {
  auto it = Pools.find(id);
  return it == Pools.end() ? nullptr : it->second;
}

ReadChoice GroupProxy::planRead(base::LogPosition wanted,
                                const admission::Exclusions &exclusions,
                                const admission::TimeBudget &budget) {
  auto now = base::BootClock::now();
  auto record = Cluster.view().Groups.find(Name);
  std::vector<PoolPtr> pools;
  std::vector<cluster::ReadCandidate> candidates;
  std::vector<bool> isTrial;
  for (const auto &[id, pool] : Pools) {
    const auto &condition = pool->condition();
    if (condition.WrongIdentity || isLeaving(id))
      continue;
    cluster::ReadCandidate it;
    it.SameZone = pool->server().Zone == Zone;
    it.Primary = record != Cluster.view().Groups.end() &&
                 record->second.Value.Primary == id;
    it.Unreachable = (condition.Unreachable && pool->openCount() == 0) ||
                     admission::isOutOfReach(exclusions, id, now);
    it.CoversPosition = condition.Applied >= wanted;
    it.SinceLagging = now - condition.LastLagging;
    it.ReadyIn = admission::excludedFor(exclusions, id, now);
    const auto &progress = Progress[id];
    std::chrono::nanoseconds lagDelay{0};
    if (!it.Primary && !it.CoversPosition)
      lagDelay = cluster::expectedDelay(progress, History, wanted, now);
    bool behind = lagDelay > std::chrono::nanoseconds(0);
    if (behind && !cluster::isTrialDue(progress, now))
      it.ReadyIn = std::max(it.ReadyIn, lagDelay);
    it.Latency = condition.Latency;
    it.QueueWait = admission::rememberedWait(Waits[id], budget.Priority, now);
    it.Overloaded = admission::willBeRefused(it.QueueWait, budget);
    it.Load = pool->load();
    it.Connections = pool->openCount();
    pools.push_back(pool);
    candidates.push_back(it);
    isTrial.push_back(behind);
  }
  auto plan = cluster::planRead(candidates, budget.TimeLeft);
  ReadChoice choice{plan.Step, nullptr, plan.Delay, plan.Overloaded};
  if (plan.Step != cluster::ReadStep::Send)
    return choice;
  choice.Pool = pools[plan.Server];
  if (isTrial[plan.Server])
    cluster::claimTrial(Progress[choice.Pool->server().Id], now);
  return choice;
}

void GroupProxy::recordWait(const pooling::ServerPool &pool, int priority,
                            std::chrono::nanoseconds wait) {
  admission::recordWait(Waits[pool.server().Id], priority, wait,
                        base::BootClock::now());
}

bool GroupProxy::isOverloaded(const pooling::ServerPool &pool,
                              const admission::TimeBudget &budget) const {
  auto it = Waits.find(pool.server().Id);
  if (it == Waits.end())
    return false;
  auto wait = admission::rememberedWait(it->second, budget.Priority,
                                        base::BootClock::now());
  return admission::willBeRefused(wait, budget);
}

void GroupProxy::reportStatementLimits(
    const std::function<void(const base::ServerId &, int)> &report) {
  for (const auto &[id, pool] : Pools) {
    auto limit = pool->statementLimit().value_or(0);
    if (std::exchange(ReportedLimits[id], limit) != limit)
      report(id, limit);
  }
  std::erase_if(ReportedLimits, [&](const auto &entry) {
    if (Pools.contains(entry.first))
      return false;
    if (entry.second != 0)
      report(entry.first, 0);
    return true;
  });
}

void GroupProxy::recordReply(pooling::ServerPool &pool, base::BootTime sentAt,
                             const sql::Reply &reply,
                             std::optional<std::uint64_t> epoch) {
  pool.recordReply(sentAt, reply);
  if (!epoch && !reply.Lost && reply.Position)
    cluster::recordReport(Progress[pool.server().Id], History, *reply.Position,
                          reply.Error == sql::ErrorCode::Lagging, sentAt,
                          base::BootClock::now());
  if (!epoch || reply.Lost)
    return;
  auto choice = primary();
  // A reply from a primary that has been replaced since says nothing about the
  // current log.
  if (choice.Pool.get() != &pool || choice.Epoch != *epoch)
    return;
  if (reply.Error == sql::ErrorCode::ReadOnly)
    RefusedWriteEpoch = *epoch;
  if (reply.Position)
    addSample(*epoch, sentAt, *reply.Position);
}

std::optional<base::LogPosition>
GroupProxy::requiredPosition(const cluster::FreshnessRequirement &need) const {
  // No term is later than the one of the record, so that most reads need none.
  std::vector<cluster::TermStart> terms;
  auto record = Cluster.view().Groups.find(Name);
  if (need.OwnCommit && record != Cluster.view().Groups.end() &&
      need.OwnCommit->Term < record->second.Value.Term)
    terms = cluster::knownTerms(record->second.Value);
  return cluster::requiredPosition(History, need, terms);
}

void GroupProxy::addSample(std::uint64_t epoch, base::BootTime sentAt,
                           base::LogPosition position) {
  bool first = History.Samples.empty() || epoch > History.Epoch;
  cluster::recordSample(History, epoch, sentAt, position);
  if (first)
    ResumeTimer = Loop.runAfter({}, [this] { resumeWaiting(); });
}

void GroupProxy::tick() {
  auto now = base::BootClock::now();
  for (const auto &[id, pool] : Pools) {
    if (!isLeaving(id))
      pool->maintain(now);
  }
  auto choice = primary();
  bool usable = choice.Pool != nullptr;
  if (!std::exchange(PrimaryUsable, usable) && usable)
    UsableSince = now;
  bool shortInterval = usesShortProbeInterval(choice);
  if (choice.Pool)
    probePrimary(choice, shortInterval, now);
  auto limit = shortInterval ? 3 * ProbePeriod : 3 * LongProbePeriod / 2;
  bool fresh =
      !History.Samples.empty() && now - History.Samples.back().SentAt < limit;
  if (!fresh)
    Cluster.requestPeerPositions();
}

bool GroupProxy::usesShortProbeInterval(const PrimaryChoice &choice) const {
  return Cluster.isMonitoring() ||
         (choice.Pool &&
          Channels.roleFor(choice.Pool->server()) != ConnectionRole::NonOwner);
}

void GroupProxy::probePrimary(const PrimaryChoice &choice, bool shortInterval,
                              base::BootTime now) {
  bool recent = History.Epoch == choice.Epoch && !History.Samples.empty() &&
                now - History.Samples.back().SentAt <
                    (shortInterval ? ProbePeriod : LongProbePeriod);
  if (recent)
    return;
  ChannelPtr channel = channelFor(*choice.Pool);
  auto lastReplyAge = primaryObservation().PrimaryReplyAge;
  bool noRecentReply = now - StartedAt > DirectProbeStartupDelay &&
                       lastReplyAge && *lastReplyAge > DirectProbeAfter;
  // Other nodes than the owner probe through the owner, because the server
  // accepts few connections.
  if (channel && !noRecentReply) {
    if (!ProbeRunning)
      probeThroughOwner(channel, choice.Epoch);
    return;
  }
  // Only a direct probe shows whether the primary or the owner has failed.
  // A node without an owner channel that knows no position yet also opens a
  // connection for its probe, ahead of the reads that wait for the position.
  bool needed =
      shortInterval && (noRecentReply || (History.Samples.empty() && !channel));
  if (needed && !ProbeRunning && !ProbeWaiter && !choice.Pool->hasIdle()) {
    ProbeWaiter = std::make_shared<pooling::Waiter>();
    ProbeWaiter->Kind = pooling::WorkKind::Probe;
    ProbeWaiter->Priority = -1;
    ProbeWaiter->OnGranted =
        [this, choice](const pooling::ServerConnectionPtr &connection) {
          ProbeWaiter.reset();
          probeDirectly(choice, connection);
        };
    ProbeWaiter->OnRefused = [this](sql::ErrorCode) { ProbeWaiter.reset(); };
    auto waiter = ProbeWaiter;
    choice.Pool->acquire(waiter);
    return;
  }
  if (ProbeRunning)
    return;
  if (pooling::ServerConnectionPtr connection = choice.Pool->takeIdle())
    probeDirectly(choice, connection);
  else if (channel)
    probeThroughOwner(channel, choice.Epoch);
}

void GroupProxy::probeThroughOwner(const ChannelPtr &channel,
                                   std::uint64_t epoch) {
  ProbeRunning = true;
  relay::Request request;
  request.Kind = relay::RequestKind::Probe;
  request.Group = Name;
  auto sentAt = base::BootClock::now();
  channel->send(std::move(request), [this, sentAt, epoch](
                                        const std::optional<relay::Reply> &it) {
    ProbeRunning = false;
    if (!it || it->Epoch != epoch)
      return;
    if (it->Position)
      addSample(it->Epoch, sentAt - it->PositionAge, *it->Position);
    if (it->PrimaryReplyAge)
      OwnerLastReply = std::max(OwnerLastReply, sentAt - *it->PrimaryReplyAge);
  });
}

void GroupProxy::probeDirectly(const PrimaryChoice &choice,
                               const pooling::ServerConnectionPtr &connection) {
  ProbeRunning = true;
  auto pool = choice.Pool;
  auto epoch = choice.Epoch;
  auto deadline = std::make_shared<kernel::Timer>();
  *deadline = Loop.runAfter(ShortStatementTimeout,
                            [connection] { connection->close(); });
  connection->Session = {};
  connection->run(platform::formatReset(), 1,
                  [this, pool, connection, epoch,
                   deadline](const std::vector<sql::Reply> &replies) {
                    deadline->cancel();
                    ProbeRunning = false;
                    recordReply(*pool, connection->sentAt(), replies.back(),
                                epoch);
                    pool->release(connection);
                  });
}

void GroupProxy::rollBackAndRelease(
    const PoolPtr &pool, const pooling::ServerConnectionPtr &connection) {
  if (!connection->isIdle() ||
      connection->transaction() == sql::TransactionState::Idle) {
    pool->abandon(connection);
    return;
  }
  sql::Statement rollback{.Kind = sql::Verb::Rollback};
  auto deadline = std::make_shared<kernel::Timer>();
  *deadline = Loop.runAfter(ShortStatementTimeout,
                            [connection] { connection->close(); });
  connection->run(
      platform::formatProxyStatement(rollback), 1,
      [pool, connection, deadline](const std::vector<sql::Reply> &) {
        deadline->cancel();
        pool->release(connection);
      });
}

void GroupProxy::endCommit() {
  --CommitsInFlight;
  if (CommitsInFlight > 0)
    return;
  auto callbacks = std::exchange(DrainCallbacks, {});
  for (const auto &it : callbacks)
    it();
}

void GroupProxy::whenCommitsDrained(std::function<void()> callback) {
  if (CommitsInFlight <= 0) {
    callback();
    return;
  }
  auto once = std::make_shared<std::function<void()>>(std::move(callback));
  auto run = [once] {
    if (auto it = std::exchange(*once, nullptr))
      it();
  };
  DrainCallbacks.push_back(run);
  auto timer = std::make_shared<kernel::Timer>();
  *timer = Loop.runAfter(CommitDrainTimeout, [run, timer] { run(); });
}

std::optional<control::PositionReport> GroupProxy::positionReport() const {
  if (History.Samples.empty())
    return std::nullopt;
  const auto &last = History.Samples.back();
  return control::PositionReport{
      History.Epoch, last.Position,
      std::chrono::ceil<milliseconds>(base::BootClock::now() - last.SentAt)};
}

std::optional<milliseconds> GroupProxy::primaryReplyAge() const {
  auto since = lastPrimaryReply();
  if (!since)
    return std::nullopt;
  return std::chrono::ceil<milliseconds>(base::BootClock::now() - *since);
}

std::optional<base::BootTime> GroupProxy::lastPrimaryReply() const {
  auto record = Cluster.view().Groups.find(Name);
  if (record == Cluster.view().Groups.end())
    return std::nullopt;
  auto server = pool(record->second.Value.Primary);
  if (!server)
    return std::nullopt;
  auto last =
      std::max({server->condition().LastContact, PrimarySince, OwnerLastReply});
  return last == base::BootTime{} ? std::nullopt : std::optional(last);
}

cluster::PrimaryObservation GroupProxy::primaryObservation() const {
  cluster::PrimaryObservation it;
  auto record = Cluster.view().Groups.find(Name);
  if (record == Cluster.view().Groups.end())
    return it;
  const auto &id = record->second.Value.Primary;
  auto server = pool(id);
  bool restarted =
      server && !cluster::maybeSameRun(server->server().StartedMs,
                                       record->second.Value.PrimaryStartedMs);
  it.Leaving =
      !server || restarted ||
      (isLeaving(id) && (hasReplacementFor(id) || !Cluster.mayServe(id)));
  if (!server)
    return it;
  it.Unreachable = server->condition().Unreachable;
  it.RefusedWrite =
      RefusedWriteEpoch > 0 && RefusedWriteEpoch == record->second.Value.Epoch;
  auto now = base::BootClock::now();
  if (auto since = lastPrimaryReply()) {
    // Without the right to use the primary, this node sends it no probes.
    since = std::max(*since, UsableSince);
    const auto &lateness = Loop.lateness();
    it.PrimaryReplyAge = kernel::onTimeSilence(lateness, *since, now);
    it.Unsure = kernel::isUnsure(lateness, *since, now, cluster::SuspectAfter);
  }
  return it;
}

} // namespace baobabpin::frontend
