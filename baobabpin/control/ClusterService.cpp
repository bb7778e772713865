#include "baobabpin/control/ClusterService.h"

#include "baobabpin/cluster/ConfigRead.h"
#include "baobabpin/control/RecordKeys.h"
#include "platform/Documents.h"

#include <algorithm>
#include <utility>

namespace baobabpin::control {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds TickPeriod{50};
/// Within this time after a server registers as draining, each node that
/// reaches the store or a peer knows it.
constexpr milliseconds LeavingNoticeDelay{2500};
/// For this long, a server that was draining already when this node first saw
/// it is used.
constexpr milliseconds UnknownDrainLimit{2000};
/// A view older than this is renewed from the usual sync source. Several
/// renewals fit into the lease.
constexpr milliseconds RenewAge{250};
/// When the store last confirmed the view longer ago than this, the sync source
/// or the store is assumed to have failed: the node reads the store itself and
/// asks more peers.
constexpr milliseconds FallbackAge{650};
constexpr milliseconds ServersRenewAge{1000};
constexpr milliseconds ServersFallbackAge{2200};
/// The same for a large fleet, where records pass through one more node, and
/// where the lease is longer.
constexpr milliseconds LargeRenewAge{450};
constexpr milliseconds LargeFallbackAge{950};
constexpr milliseconds LeafFallbackAge{1200};
/// The time between two synchronisations with peers.
constexpr milliseconds SyncPeriod{250};
constexpr milliseconds LargeSyncPeriod{350};
/// The same for a node without a configuration, which cannot serve clients.
constexpr milliseconds StartupSyncPeriod{100};
/// Monitors of a large fleet synchronise more often, so that the nodes that
/// fetch records from them do not lag much.
constexpr milliseconds MonitorSyncPeriod{200};
/// A node whose sync sources have not replied for this long monitors the
/// primaries itself.
constexpr milliseconds SelfMonitoringDelay{2500};
/// A change whose reply was lost may still take effect for this long.
constexpr milliseconds LateChangeLimit{6500};
/// A fleet counts as small after it has had few nodes for this long. While it
/// starts, the nodes register one after the other, and each change of a lease
/// costs a change of the node's record.
constexpr milliseconds LeaseSettlingTime{3000};
constexpr milliseconds StoreReachableAge{2000};
/// The pause after a failed registration doubles from the first of these to the
/// second. In a fleet of hundreds of nodes that all fail, the attempts use a
/// fraction of the calls that the store accepts.
constexpr milliseconds RegistrationRetryDelay{250};
constexpr milliseconds RegistrationRetryDelayLimit{2000};

} // namespace

ClusterService::ClusterService(platform::HostSettings settings,
                               kernel::LineLog &log)
    : Settings(std::move(settings)), Log(log), Directory(log) {
  auto ms = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  StartedAt = base::BootClock::now();
  LastLarge = StartedAt;
  Self = {Settings.Node, static_cast<std::uint64_t>(ms.count())};
  Random.seed(std::random_device{}());
  updatePlan();
}

ClusterService::~ClusterService() = default;

base::Result<void> ClusterService::start(kernel::Kernel &kernel) {
  auto &loop = kernel.loop();
  Metrics = &kernel.metrics();
  Store = std::make_unique<platform::PlatformStore>(loop, kernel.metrics(),
                                                    Settings.Store);
  Caller = std::make_unique<PeerCaller>(loop);
  PeerServer = std::make_unique<http::HttpServer>(loop);
  Config = std::make_unique<ConfigDistribution>(loop, *Store, *Caller, Log,
                                                Settings.LinkMegabits);
  Config->Sources = [this] { return configSources(); };
  Config->OnAdopted = [this] { notify(); };
  servePeers();
  BOOST_LEAF_CHECK(PeerServer->listen(Settings.Peers));
  auto onAvailability = [this](const char *what) {
    return [this, what](bool available) {
      Log.line(available ? "store_regained" : "store_lost")
          .add("reading", what)
          .add("view_age_ms", viewAge());
    };
  };
  RecordsReader = std::make_unique<PrefixReader>(
      *Store, platform::ProxyPrefix,
      ReadHandlers{
          [this](const auto &page, auto sentAt) { onRecords(page, sentAt); },
          onAvailability("records")});
  ServersReader = std::make_unique<PrefixReader>(
      *Store, platform::ServersPrefix,
      ReadHandlers{[this](const auto &page, auto sentAt) {
                     onServerEntries(page.Entries, sentAt);
                   },
                   onAvailability("servers")});
  reportRegistration();
  readStore(base::BootClock::now());
  Ticker = loop.runEvery(TickPeriod, [this] { tick(); });
  return {};
}

void ClusterService::stop() {
  Ticker.cancel();
  PeerServer.reset();
  RecordsReader.reset();
  ServersReader.reset();
}

void ClusterService::subscribe(std::function<void()> listener) {
  Listeners.push_back(std::move(listener));
}

void ClusterService::notify() {
  for (const auto &it : Listeners)
    it();
}

cluster::PrimaryUse
ClusterService::primaryUse(const base::GroupName &group) const {
  auto it = RevokedEpochs.find(group);
  std::uint64_t revoked = it == RevokedEpochs.end() ? 0 : it->second;
  return cluster::checkPrimaryUse(View, Self, group, revoked, lease(),
                                  base::BootClock::now());
}

std::chrono::milliseconds ClusterService::lease() const {
  return cluster::usableLease(View, Self.Node, wantedLease(),
                              isRegistrationUncertain());
}

bool ClusterService::isRegistrationUncertain() const {
  auto it = View.Nodes.find(Self.Node);
  bool seen =
      it != View.Nodes.end() && it->second.Revision >= RegistrationRevision;
  return !seen || Registering ||
         base::BootClock::now() < RegistrationUncertainUntil;
}

std::chrono::milliseconds ClusterService::wantedLease() const {
  if (Plan.Large)
    return cluster::PrimaryLease;
  bool settled = base::BootClock::now() - LastLarge > LeaseSettlingTime;
  return settled || cluster::usesSmallFleetLease(View)
             ? cluster::SmallFleetLease
             : cluster::PrimaryLease;
}

bool ClusterService::hasUncertainChange() const {
  return ChangesPending > 0 || isViewOfEarlierEra() ||
         base::BootClock::now() < UncertainUntil;
}

std::chrono::nanoseconds ClusterService::viewAge() const {
  return base::BootClock::now() - View.ConfirmedAt;
}

bool ClusterService::isStoreReachable() const {
  return base::BootClock::now() - OwnStoreReadAt < StoreReachableAge;
}

std::vector<PeerNode> ClusterService::peers() const {
  std::vector<PeerNode> list;
  for (const auto &[name, it] : View.Nodes) {
    if (name != Self.Node)
      list.push_back({name, it.Value.Peer});
  }
  return list;
}

std::vector<PeerNode>
ClusterService::peersNamed(const std::vector<std::string> &names) const {
  std::vector<PeerNode> list;
  for (const auto &name : names) {
    auto it = View.Nodes.find(name);
    if (name != Self.Node && it != View.Nodes.end())
      list.push_back({name, it->second.Value.Peer});
  }
  return list;
}

std::vector<PeerNode> ClusterService::monitors() const {
  return peersNamed(Plan.Monitors);
}

bool ClusterService::isMonitoring() const {
  return Plan.IsMonitor ||
         base::BootClock::now() - SourceRepliedAt > SelfMonitoringDelay;
}

bool ClusterService::isFirstMonitor() const {
  return Plan.Monitors.front() == Self.Node;
}

std::vector<cluster::NodePlacement> ClusterService::nodePlacements() const {
  std::vector<cluster::NodePlacement> nodes{
      {Self.Node, Settings.Zone, Settings.Capacity}};
  for (const auto &[name, it] : View.Nodes) {
    if (name != Self.Node && !it.Value.Retired)
      nodes.push_back({name, it.Value.Zone, it.Value.Capacity});
  }
  return nodes;
}

void ClusterService::updatePlan() {
  auto nodes = nodePlacements();
  auto self = nodes.front();
  Plan = cluster::planFleet(std::move(nodes), self);
  if (Plan.Large)
    LastLarge = base::BootClock::now();
}

void ClusterService::noteEra(platform::StoreEra era, std::string_view source) {
  if (era <= LatestEra)
    return;
  Log.line("store_era")
      .add("era", static_cast<std::int64_t>(era))
      .add("previous", static_cast<std::int64_t>(LatestEra))
      .add("known_revision", static_cast<std::int64_t>(View.Revision))
      .add("source", source);
  LatestEra = era;
}

void ClusterService::onEraEntered(const cluster::ClusterView &before) {
  RegistrationRevision = 0;
  if (before.Revision == 0)
    return;
  KnewEarlierEra = canVouchFor(before);
  FormerNodes.clear();
  FormerNodesUntil = base::BootClock::now() + cluster::OfflineLimit +
                     cluster::PrimaryLease + cluster::LeaseMargin;
  for (const auto &[name, it] : before.Nodes) {
    if (name != Self.Node && !View.Nodes.contains(name))
      FormerNodes.push_back({name, it.Value.Peer});
  }
}

bool ClusterService::mayServe(const base::ServerId &id,
                              milliseconds delay) const {
  auto since = leavingSince(id);
  if (!since)
    return true;
  auto limit =
      std::max(Settings.ServerDrainTime - LeavingNoticeDelay, milliseconds(0));
  if (Directory.wasFirstSeenDraining(id))
    limit = std::min(limit, UnknownDrainLimit);
  return base::BootClock::now() + delay < *since + limit;
}

bool ClusterService::mayHaveFormerNodes() const {
  return base::BootClock::now() < FormerNodesUntil;
}

bool ClusterService::canVouchFor(const cluster::ClusterView &view) const {
  return isRegisteredIn(view) &&
         base::BootClock::now() - view.StoreConfirmedAt < cluster::OfflineLimit;
}

std::vector<PeerNode> ClusterService::revocationPeers() const {
  auto list = peers();
  if (!mayHaveFormerNodes())
    return list;
  for (const auto &it : FormerNodes) {
    if (!View.Nodes.contains(it.Name))
      list.push_back(it);
  }
  return list;
}

void ClusterService::onRecords(const platform::RangePage &page,
                               base::BootTime sentAt) {
  // A late reply from before the store was restored.
  if (page.Era < LatestEra)
    return;
  noteEra(page.Era, "store");
  cluster::ClusterView fresh;
  fresh.Era = page.Era;
  for (const auto &it : page.Entries) {
    if (!cluster::applyEntry(fresh, platform::ProxyPrefix, it))
      Log.line("record_unreadable").add("key", it.Key);
  }
  fresh.Revision = page.Revision;
  fresh.ConfirmedAt = sentAt;
  fresh.StoreConfirmedAt = sentAt;
  OwnStoreReadAt = std::max(OwnStoreReadAt, sentAt);
  adoptView(std::move(fresh), "store");
  ensureRegistered();
}

void ClusterService::adoptView(cluster::ClusterView view,
                               std::string_view source) {
  updateView(source, [&](cluster::ClusterView &known) {
    return cluster::mergeView(known, std::move(view));
  });
}

void ClusterService::adoptChange(const std::string &change,
                                 std::string_view source) {
  if (change.empty())
    return;
  updateView(source, [&](cluster::ClusterView &known) {
    return cluster::applyGroupChange(known, change);
  });
}

void ClusterService::updateView(
    std::string_view source,
    const std::function<bool(cluster::ClusterView &)> &merge) {
  auto before = View;
  if (!merge(View))
    return;
  cluster::noteDutyHolder(Duty, Self.Node, View.Duty.Value.Holder,
                          base::BootClock::now());
  if (View.Era != before.Era)
    onEraEntered(before);
  auto digest = cluster::digestOf(View);
  if (std::exchange(ViewDigest, digest) == digest)
    return;
  updatePlan();
  reportRegistration();
  if (!configuration())
    readStore(base::BootClock::now());
  for (const auto &[group, it] : View.Groups) {
    auto old = before.Groups.find(group);
    if (old != before.Groups.end() && old->second.Value == it.Value)
      continue;
    Log.line("group_record")
        .add("group", group)
        .add("epoch", static_cast<std::int64_t>(it.Value.Epoch))
        .add("primary", it.Value.Primary)
        .add("moving", it.Value.FailoverInProgress ? "yes" : "no")
        .add("mover", it.Value.Coordinator)
        .add("token", static_cast<std::int64_t>(it.Value.Token))
        .add("source", source)
        .add("revision", static_cast<std::int64_t>(View.Revision));
  }
  notify();
}

void ClusterService::onServerEntries(
    const std::vector<store::StoreEntry> &entries, base::BootTime sentAt) {
  std::vector<cluster::ServerRegistration> servers;
  for (const auto &it : entries) {
    // An entry that cannot be decoded is ignored.
    if (auto server = platform::parseRegistration(it.Key, it.Value))
      servers.push_back(*server);
  }
  if (Directory.adopt(std::move(servers), sentAt, base::BootClock::now()))
    notify();
}

bool ClusterService::isRegistered() const { return isRegisteredIn(View); }

bool ClusterService::isRegisteredIn(const cluster::ClusterView &view) const {
  auto it = view.Nodes.find(Self.Node);
  return it != view.Nodes.end() && !it->second.Value.Retired &&
         it->second.Value.Incarnation == Self.Incarnation;
}

void ClusterService::ensureRegistered() {
  auto it = View.Nodes.find(Self.Node);
  bool current = isRegistered() && it->second.Value.Lease == wantedLease();
  if (current)
    FailedRegistrations = 0;
  if (current || Registering || Deregistering)
    return;
  Registering = true;
  std::uint64_t added =
      it == View.Nodes.end() ? Self.Incarnation : it->second.Value.AddedMs;
  cluster::NodeRecord record{.Incarnation = Self.Incarnation,
                             .AddedMs = added,
                             .Peer = Settings.Peers,
                             .Relay = Settings.Relay,
                             .Zone = Settings.Zone,
                             .Capacity = Settings.Capacity,
                             .Lease = wantedLease()};
  std::uint64_t revision = it == View.Nodes.end() ? 0 : it->second.Revision;
  change(
      {{nodeKey(Self.Node), cluster::encodeRecord(record), revision, false}},
      [this](const store::StoreReply &reply) { onRegistrationReply(reply); });
}

void ClusterService::onRegistrationReply(const store::StoreReply &reply) {
  Registering = false;
  auto now = base::BootClock::now();
  if (reply.Status == store::StoreStatus::Ok) {
    RegistrationRevision = reply.Revision;
    FailedRegistrations = 0;
  } else {
    if (reply.Status == store::StoreStatus::Unknown)
      RegistrationUncertainUntil = now + LateChangeLimit;
    auto delay = RegistrationRetryDelay;
    for (int n = 0; n < FailedRegistrations; ++n)
      delay = std::min(2 * delay, RegistrationRetryDelayLimit);
    // All nodes may have failed at the same moment.
    std::uniform_int_distribution<std::int64_t> jitter(delay.count() / 2,
                                                       delay.count());
    NextRegistration = now + milliseconds(jitter(Random));
    ++FailedRegistrations;
  }
  Log.line("node_registered")
      .add("lease_ms", wantedLease())
      .add("result", store::storeStatusName(reply.Status))
      .add("failed_attempts", FailedRegistrations);
  reportRegistration();
}

void ClusterService::retryRegistration(base::BootTime now) {
  // While nobody reaches the store, the attempts would only load it.
  bool isStoreUp = now - View.StoreConfirmedAt < StoreReachableAge;
  if (FailedRegistrations > 0 && isStoreUp && now >= NextRegistration)
    ensureRegistered();
}

void ClusterService::reportRegistration() {
  Metrics
      ->gauge("baobabpin_node_registered",
              "1 if this run of the node is registered, so that it may use "
              "primaries.")
      .Set(isRegistered() ? 1 : 0);
  Metrics
      ->gauge("baobabpin_registration_failed_attempts",
              "Attempts to register since the last one that succeeded.")
      .Set(FailedRegistrations);
}

void ClusterService::removeRegistration() {
  Deregistering = true;
  auto it = View.Nodes.find(Self.Node);
  if (it == View.Nodes.end() ||
      it->second.Value.Incarnation != Self.Incarnation)
    return;
  change({{nodeKey(Self.Node), {}, it->second.Revision, true}},
         [](const store::StoreReply &) {});
}

void ClusterService::change(const std::vector<platform::KeyChange> &changes,
                            const store::StoreCallback &callback) {
  ++ChangesPending;
  Store->change(changes, [this, callback](const store::StoreReply &reply) {
    --ChangesPending;
    if (reply.Status == store::StoreStatus::Unknown)
      UncertainUntil = base::BootClock::now() + LateChangeLimit;
    RecordsReader->readAfterChange();
    callback(reply);
  });
}

void ClusterService::revoke(const base::GroupName &group, std::uint64_t epoch) {
  auto &revoked = RevokedEpochs[group];
  if (epoch <= revoked)
    return;
  revoked = epoch;
  Log.line("primary_use_revoked")
      .add("group", group)
      .add("epoch", static_cast<std::int64_t>(epoch))
      .add("view_age_ms", viewAge());
  notify();
}

void ClusterService::requestPeerPositions() { PositionsWanted = true; }

void ClusterService::tick() {
  auto now = base::BootClock::now();
  readStore(now);
  retryRegistration(now);
  Config->tick(now);
  // While the store is unreachable, a quorum of peers must confirm the view
  // before the lease ends. The period plus the timeout of a synchronisation,
  // which a node that does not answer adds, is shorter than that.
  bool offline = now - View.StoreConfirmedAt >
                 (Plan.Large ? LargeFallbackAge : FallbackAge);
  bool wide =
      offline || !configuration() || PositionsWanted || isViewOfEarlierEra();
  auto period = Plan.Large ? LargeSyncPeriod : SyncPeriod;
  if (!configuration())
    period = StartupSyncPeriod;
  bool due = wide ? now - LastWideSync > period : isUsualSyncDue(now);
  if (due && !SyncRunning)
    syncWith(syncTargets(wide), wide);
}

bool ClusterService::isUsualSyncDue(base::BootTime now) const {
  if (Plan.SyncSources.empty())
    return false;
  // In a large fleet, the view has already aged when it arrives, so a node
  // synchronises at fixed intervals instead of by the age of its view.
  if (Plan.Large)
    return now - LastSync >
           (Plan.IsMonitor ? MonitorSyncPeriod : LargeSyncPeriod);
  return now - View.ConfirmedAt > RenewAge;
}

void ClusterService::readStore(base::BootTime now) {
  auto older = [&](base::BootTime since, milliseconds renew,
                   milliseconds fallback) {
    return now - since > (Plan.ReadsStore ? renew : fallback);
  };
  // In a large fleet only the monitors retry an unreachable store, because
  // requests of all nodes would overload it. Any other node reads the store
  // itself only when its sync sources do not reply.
  bool fetchesFromMonitors = Plan.Large && !Plan.IsMonitor;
  if (fetchesFromMonitors && now - SourceRepliedAt < LeafFallbackAge)
    return;
  milliseconds fallback = Plan.Large ? LargeFallbackAge : FallbackAge;
  if (older(View.StoreConfirmedAt, Plan.Large ? LargeRenewAge : RenewAge,
            fetchesFromMonitors ? LeafFallbackAge : fallback))
    RecordsReader->read();
  if (older(Directory.confirmedAt(), ServersRenewAge, ServersFallbackAge))
    ServersReader->read();
  if (isConfigReadDue(now))
    Config->readStore();
}

bool ClusterService::isConfigReadDue(base::BootTime now) const {
  // Without any record, the node does not know its place in the fleet.
  if (View.Nodes.empty())
    return false;
  return cluster::isConfigReadDue(
      {.Known = configuration() != nullptr,
       .Fetching = Config->isFetching(now),
       .Age = now - Config->confirmedAt(),
       .Uptime = now - StartedAt,
       .ReadsStore = Plan.ReadsStore,
       .FirstOfZone = firstMonitorOfZone() == Self.Node,
       .IsLeaf = Plan.Large && !Plan.IsMonitor});
}

std::string ClusterService::firstMonitorOfZone() const {
  auto inZone = [this](const std::string &name) {
    auto it = View.Nodes.find(name);
    return name == Self.Node ||
           (it != View.Nodes.end() && it->second.Value.Zone == Settings.Zone);
  };
  auto first = std::ranges::find_if(Plan.Monitors, inZone);
  return first == Plan.Monitors.end() ? std::string() : *first;
}

} // namespace baobabpin::control
