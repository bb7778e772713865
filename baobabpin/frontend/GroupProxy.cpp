#include "baobabpin/frontend/GroupProxy.h"

#include "baobabpin/cluster/ReplicaChoice.h"
#include "platform/Wire.h"

#include <algorithm>
#include <utility>

namespace baobabpin::frontend {
namespace {

using std::chrono::milliseconds;

/// Several probes fit into SuspectAfter, and samples stay fine enough for every
/// staleness.
constexpr milliseconds ProbePeriod{200};
/// A node that does not watch the primary learns positions from its sources,
/// and asks the owner of the primary's connections only without them.
constexpr milliseconds UnwatchedProbeAge{700};
/// A probe needs no slot, so a healthy server replies in a few milliseconds.
constexpr milliseconds ProbeTimeout{350};
/// A guest that has not heard of the primary for this long connects to it.
constexpr milliseconds DirectProbeAfter{320};
/// After a start, the owners of connections start as well; a guest that
/// connected meanwhile would take what they need.
constexpr milliseconds DirectProbeSettling{1500};
/// How long a move waits for commits in flight at the old primary.
constexpr milliseconds DrainLimit{200};

} // namespace

GroupProxy::GroupProxy(kernel::EventLoop &loop,
                       control::ClusterService &cluster, Owners &owners,
                       base::GroupName name, base::AvailabilityZone zone)
    : Loop(loop), Cluster(cluster), Routes(owners), Name(std::move(name)),
      Zone(std::move(zone)) {}

GroupProxy::~GroupProxy() = default;

void GroupProxy::refresh() {
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
    entry.second->shutDown();
    Retiring.push_back(entry.second);
    return true;
  });
  std::erase_if(Retiring, [](const PoolPtr &it) {
    return it->openCount() == 0 && it.use_count() == 1;
  });
  auto choice = primary();
  if (choice.Use == cluster::PrimaryUse::Allowed && choice.Epoch != LastEpoch) {
    LastEpoch = choice.Epoch;
    PrimarySince = base::BootClock::now();
    OwnerHeard = {};
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
  switch (Routes.reach(server)) {
  case ServerReach::Direct:
    return pooling::shareConnections(
        limit, static_cast<int>(Cluster.peers().size()) + 1);
  case ServerReach::Owner:
    return pooling::ownerShare(limit, server.Slots);
  case ServerReach::Standby:
    return pooling::guestShare(limit);
  case ServerReach::Guest:
    break;
  }
  return Cluster.plan().Large ? pooling::ProbeShare
                              : pooling::guestShare(limit);
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
  // The move that follows a vanished registration has not begun yet.
  if (!it.Pool)
    it.Use = cluster::PrimaryUse::FailoverInProgress;
  return it;
}

PoolPtr GroupProxy::pool(const base::ServerId &id) const {
  auto it = Pools.find(id);
  return it == Pools.end() ? nullptr : it->second;
}

PoolPtr
GroupProxy::chooseForRead(base::LogPosition wanted,
                          const std::set<base::ServerId> &excluded) const {
  auto now = base::BootClock::now();
  auto record = Cluster.view().Groups.find(Name);
  std::vector<PoolPtr> pools;
  std::vector<cluster::ReadCandidate> candidates;
  for (const auto &[id, pool] : Pools) {
    const auto &condition = pool->condition();
    if (excluded.contains(id) || condition.WrongIdentity ||
        Cluster.leavingSince(id))
      continue;
    cluster::ReadCandidate it;
    it.SameZone = pool->server().Zone == Zone;
    it.Primary = record != Cluster.view().Groups.end() &&
                 record->second.Value.Primary == id;
    it.Unreachable = condition.Unreachable && pool->openCount() == 0;
    it.CoversPosition = condition.Applied >= wanted;
    it.SinceLagging = now - condition.LastLagging;
    it.Latency = condition.Latency;
    it.Load = pool->load();
    it.Connections = pool->openCount();
    pools.push_back(pool);
    candidates.push_back(it);
  }
  auto best = cluster::chooseReadServer(candidates);
  return best ? pools[*best] : nullptr;
}

void GroupProxy::observe(pooling::ServerPool &pool, base::BootTime sentAt,
                         const sql::Reply &reply,
                         std::optional<std::uint64_t> epoch) {
  pool.observe(sentAt, reply);
  if (!epoch || reply.Lost || !reply.Position)
    return;
  auto choice = primary();
  // The reply of a primary that was replaced meanwhile proves nothing.
  if (choice.Pool.get() != &pool || choice.Epoch != *epoch)
    return;
  addSample(*epoch, sentAt, *reply.Position);
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
    if (!Cluster.leavingSince(id))
      pool->maintain(now);
  }
  auto choice = primary();
  bool often = probesOften(choice);
  if (choice.Pool)
    probePrimary(choice, often, now);
  auto limit = often ? 3 * ProbePeriod : 3 * UnwatchedProbeAge / 2;
  bool fresh =
      !History.Samples.empty() && now - History.Samples.back().SentAt < limit;
  if (!fresh)
    Cluster.requestPeerPositions();
}

bool GroupProxy::probesOften(const PrimaryChoice &choice) const {
  return Cluster.isMonitoring() ||
         (choice.Pool &&
          Routes.reach(choice.Pool->server()) != ServerReach::Guest);
}

void GroupProxy::probePrimary(const PrimaryChoice &choice, bool often,
                              base::BootTime now) {
  bool recent = History.Epoch == choice.Epoch && !History.Samples.empty() &&
                now - History.Samples.back().SentAt <
                    (often ? ProbePeriod : UnwatchedProbeAge);
  if (recent)
    return;
  ChannelPtr channel = channelFor(*choice.Pool);
  auto heard = observePrimary().PrimaryReplyAge;
  bool silent = now - StartedAt > DirectProbeSettling && heard &&
                *heard > DirectProbeAfter;
  // A guest keeps no connection for its probes; the server has few.
  if (channel && !silent) {
    if (!ProbeRunning)
      probeThroughOwner(channel, choice.Epoch);
    return;
  }
  // Whether the primary is gone, or its owner, shows only directly. Without any
  // position, the owner's probe goes before the reads that wait for it.
  bool needed = often && (silent || (History.Samples.empty() && !channel));
  if (needed && !ProbeRunning && !ProbeWaiter && !choice.Pool->hasIdle()) {
    ProbeWaiter = std::make_shared<pooling::Waiter>();
    ProbeWaiter->Kind = pooling::Work::Probe;
    ProbeWaiter->Priority = -1;
    ProbeWaiter->OnGranted = [this, choice](const pooling::LinkPtr &link) {
      ProbeWaiter.reset();
      probeDirectly(choice, link);
    };
    ProbeWaiter->OnRefused = [this](sql::ErrorCode) { ProbeWaiter.reset(); };
    auto waiter = ProbeWaiter;
    choice.Pool->acquire(waiter);
    return;
  }
  if (ProbeRunning)
    return;
  if (pooling::LinkPtr link = choice.Pool->takeIdle())
    probeDirectly(choice, link);
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
      OwnerHeard = std::max(OwnerHeard, sentAt - *it->PrimaryReplyAge);
  });
}

void GroupProxy::probeDirectly(const PrimaryChoice &choice,
                               const pooling::LinkPtr &link) {
  ProbeRunning = true;
  auto pool = choice.Pool;
  auto epoch = choice.Epoch;
  auto deadline = std::make_shared<kernel::Timer>();
  *deadline = Loop.runAfter(ProbeTimeout, [link] { link->close(); });
  link->Session = {};
  link->run(platform::formatReset(), 1,
            [this, pool, link, epoch,
             deadline](const std::vector<sql::Reply> &replies) {
              deadline->cancel();
              ProbeRunning = false;
              observe(*pool, link->sentAt(), replies.back(), epoch);
              pool->release(link);
            });
}

void GroupProxy::releaseClean(const PoolPtr &pool,
                              const pooling::LinkPtr &link) {
  if (!link->isIdle() || link->transaction() == sql::TransactionState::Idle) {
    pool->abandon(link);
    return;
  }
  sql::Statement rollback{.Kind = sql::Verb::Rollback};
  auto deadline = std::make_shared<kernel::Timer>();
  *deadline = Loop.runAfter(ProbeTimeout, [link] { link->close(); });
  link->run(platform::formatProxyStatement(rollback), 1,
            [pool, link, deadline](const std::vector<sql::Reply> &) {
              deadline->cancel();
              pool->release(link);
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
  *timer = Loop.runAfter(DrainLimit, [run, timer] { run(); });
}

std::optional<control::PositionReport> GroupProxy::positionReport() const {
  if (History.Samples.empty())
    return std::nullopt;
  const auto &last = History.Samples.back();
  return control::PositionReport{
      History.Epoch, last.Position,
      std::chrono::ceil<milliseconds>(base::BootClock::now() - last.SentAt)};
}

std::optional<milliseconds> GroupProxy::primaryHeardAge() const {
  auto age = observePrimary().PrimaryReplyAge;
  if (!age)
    return std::nullopt;
  return std::chrono::ceil<milliseconds>(*age);
}

cluster::PrimaryObservation GroupProxy::observePrimary() const {
  cluster::PrimaryObservation it;
  auto record = Cluster.view().Groups.find(Name);
  if (record == Cluster.view().Groups.end())
    return it;
  const auto &id = record->second.Value.Primary;
  auto server = pool(id);
  it.Leaving = !server || Cluster.leavingSince(id).has_value();
  if (!server)
    return it;
  it.Unreachable = server->condition().Unreachable;
  auto heard =
      std::max({server->condition().LastHeard, PrimarySince, OwnerHeard});
  if (heard != base::BootTime{})
    it.PrimaryReplyAge = base::BootClock::now() - heard;
  return it;
}

} // namespace baobabpin::frontend
