#include "baobabpin/control/ClusterService.h"

#include "baobabpin/control/RecordKeys.h"
#include "platform/Documents.h"

#include <algorithm>
#include <utility>

namespace baobabpin::control {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds TickPeriod{100};
/// The age at which a view is renewed by its usual source. Several renewals fit
/// into PrimaryLease.
constexpr milliseconds RenewAge{400};
/// The age at which the usual source is taken to have failed.
constexpr milliseconds FallbackAge{950};
constexpr milliseconds ServersRenewAge{1000};
constexpr milliseconds ServersFallbackAge{2200};
/// A configuration must be in force 3 s after its acknowledgement.
constexpr milliseconds ConfigRenewAge{700};
constexpr milliseconds ConfigFallbackAge{1600};
/// In a large fleet a record passes one node more.
constexpr milliseconds LargeFallbackAge{1200};
/// Between two rounds of asking peers.
constexpr milliseconds SyncPeriod{350};
/// A watcher of a large fleet asks more often, so that the nodes that learn
/// from it are not much behind.
constexpr milliseconds WatcherSyncPeriod{200};
constexpr milliseconds SyncTimeout{300};
/// A node whose sources have been silent for this long watches by itself.
constexpr milliseconds WatchAloneAfter{2500};
/// A change whose reply was lost may take effect this much later.
constexpr milliseconds LateChangeLimit{6500};
constexpr milliseconds StoreReachableAge{2000};
/// In a large fleet, a node that looks for a fresher view asks so many beside
/// its sources.
constexpr std::size_t SampleSize = 3;
constexpr int HttpBadRequest = 400;

} // namespace

/// One round of asking all peers.
struct ClusterService::SyncRound {
  base::BootTime SentAt{};
  std::size_t Outstanding = 0;
  /// Peers that answered and know of no newer records.
  std::size_t Confirmations = 0;
  /// A reply may have been given before a change that this node knows now.
  bool Outdated = false;
};

ClusterService::ClusterService(platform::HostSettings settings,
                               kernel::LineLog &log)
    : Settings(std::move(settings)), Log(log), Directory(log) {
  auto ms = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  Self = {Settings.Node, static_cast<std::uint64_t>(ms.count())};
  Random.seed(std::random_device{}());
  replan();
}

ClusterService::~ClusterService() = default;

base::Result<void> ClusterService::start(kernel::Kernel &kernel) {
  auto &loop = kernel.loop();
  Store = std::make_unique<platform::PlatformStore>(loop, kernel.metrics(),
                                                    Settings.Store);
  Caller = std::make_unique<PeerCaller>(loop);
  PeerServer = std::make_unique<http::HttpServer>(loop);
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
      ReadHandlers{[this](const auto &entries, auto revision, auto sentAt) {
                     onOwnRecords(entries, revision, sentAt);
                   },
                   onAvailability("records")});
  ServersReader = std::make_unique<PrefixReader>(
      *Store, platform::ServersPrefix,
      ReadHandlers{[this](const auto &entries, auto, auto sentAt) {
                     onServerEntries(entries, sentAt);
                   },
                   onAvailability("servers")});
  ConfigReader = std::make_unique<PrefixReader>(
      *Store, platform::ConfigurationKey,
      ReadHandlers{[this](const auto &entries, auto, auto sentAt) {
                     onConfiguration(entries, sentAt);
                   },
                   onAvailability("configuration")});
  readStore(base::BootClock::now());
  Ticker = loop.runEvery(TickPeriod, [this] { tick(); });
  return {};
}

void ClusterService::stop() {
  Ticker.cancel();
  PeerServer.reset();
  RecordsReader.reset();
  ServersReader.reset();
  ConfigReader.reset();
}

void ClusterService::subscribe(std::function<void()> listener) {
  Listeners.push_back(std::move(listener));
}

void ClusterService::notify() {
  for (const auto &it : Listeners)
    it();
}

const cluster::Configuration *ClusterService::configuration() const {
  return Config ? &*Config : nullptr;
}

cluster::PrimaryUse
ClusterService::primaryUse(const base::GroupName &group) const {
  auto it = RevokedEpochs.find(group);
  std::uint64_t revoked = it == RevokedEpochs.end() ? 0 : it->second;
  return cluster::checkPrimaryUse(View, Self, group, revoked,
                                  base::BootClock::now());
}

std::chrono::nanoseconds ClusterService::viewAge() const {
  return base::BootClock::now() - View.ValidatedAt;
}

bool ClusterService::isStoreReachable() const {
  return base::BootClock::now() - StoreConfirmedAt < StoreReachableAge;
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

std::vector<PeerNode> ClusterService::watchers() const {
  return peersNamed(Plan.Watchers);
}

bool ClusterService::isMonitoring() const {
  return Plan.Watches ||
         base::BootClock::now() - SourceHeardAt > WatchAloneAfter;
}

bool ClusterService::isStoreReader() const {
  return Plan.Watchers.front() == Self.Node;
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

void ClusterService::replan() {
  auto nodes = nodePlacements();
  auto self = nodes.front();
  Plan = cluster::planFleet(std::move(nodes), self);
}

void ClusterService::onOwnRecords(const std::vector<store::StoreEntry> &entries,
                                  std::uint64_t revision,
                                  base::BootTime sentAt) {
  cluster::ClusterView fresh;
  for (const auto &it : entries) {
    if (!cluster::applyEntry(fresh, platform::ProxyPrefix, it))
      Log.line("record_unreadable").add("key", it.Key);
  }
  fresh.Revision = revision;
  fresh.ValidatedAt = sentAt;
  fresh.StoreSeenAt = sentAt;
  StoreConfirmedAt = std::max(StoreConfirmedAt, sentAt);
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
  auto before = View.Groups;
  if (!merge(View))
    return;
  auto digest = cluster::digestOf(View);
  if (std::exchange(ViewDigest, digest) == digest)
    return;
  replan();
  for (const auto &[group, it] : View.Groups) {
    auto old = before.find(group);
    if (old != before.end() && old->second.Value == it.Value)
      continue;
    Log.line("group_record")
        .add("group", group)
        .add("epoch", static_cast<std::int64_t>(it.Value.Epoch))
        .add("primary", it.Value.Primary)
        .add("moving", it.Value.FailoverInProgress ? "yes" : "no")
        .add("mover", it.Value.Mover)
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
    // An entry that cannot be read names no server to use.
    if (auto server = platform::parseRegistration(it.Key, it.Value))
      servers.push_back(*server);
  }
  if (Directory.adopt(std::move(servers), sentAt, base::BootClock::now()))
    notify();
}

void ClusterService::onConfiguration(
    const std::vector<store::StoreEntry> &entries, base::BootTime sentAt) {
  ConfigConfirmedAt = std::max(ConfigConfirmedAt, sentAt);
  for (const auto &it : entries) {
    if (it.Key != platform::ConfigurationKey || it.Deleted)
      continue;
    if (adoptConfiguration(it.Value, "store"))
      notify();
  }
}

bool ClusterService::adoptConfiguration(const std::string &document,
                                        std::string_view source) {
  auto fresh = platform::parseConfiguration(document);
  if (!fresh) {
    Log.line("configuration_unreadable").add("source", source);
    return false;
  }
  // A configuration in force never gives way to an older one.
  if (Config && fresh->Version <= Config->Version)
    return false;
  Log.line("configuration_applied")
      .add("version", static_cast<std::int64_t>(fresh->Version))
      .add("routes", static_cast<std::int64_t>(fresh->RoutesByDatabase.size()))
      .add("source", source);
  Config = std::move(fresh);
  ConfigDocument = document;
  return true;
}

bool ClusterService::isRegistered() const {
  auto it = View.Nodes.find(Self.Node);
  return it != View.Nodes.end() && !it->second.Value.Retired &&
         it->second.Value.Incarnation == Self.Incarnation;
}

void ClusterService::ensureRegistered() {
  if (isRegistered() || Registering || Leaving)
    return;
  auto it = View.Nodes.find(Self.Node);
  Registering = true;
  std::uint64_t added =
      it == View.Nodes.end() ? Self.Incarnation : it->second.Value.AddedMs;
  cluster::NodeRecord record{.Incarnation = Self.Incarnation,
                             .AddedMs = added,
                             .Peer = Settings.Peers,
                             .Relay = Settings.Relay,
                             .Zone = Settings.Zone,
                             .Capacity = Settings.Capacity};
  std::uint64_t revision = it == View.Nodes.end() ? 0 : it->second.Revision;
  change({{nodeKey(Self.Node), cluster::encodeRecord(record), revision, false}},
         [this](const store::StoreReply &reply) {
           Registering = false;
           Log.line("node_registered")
               .add("result", store::storeStatusName(reply.Status));
         });
}

void ClusterService::removeRegistration() {
  Leaving = true;
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
  // Without the store, the next round begins before the last one's result is
  // old: a node that does not answer makes a round last for SyncTimeout.
  bool offline = now - View.StoreSeenAt > FallbackAge;
  bool everyone = offline || !Config || PositionsWanted;
  bool due = everyone ? now - LastWideSync > SyncPeriod : isUsualSyncDue(now);
  if (due && !SyncRunning)
    syncWith(syncTargets(everyone), everyone);
}

bool ClusterService::isUsualSyncDue(base::BootTime now) const {
  if (Plan.Sources.empty())
    return false;
  // The view of a large fleet's node is never young; it asks at intervals.
  if (Plan.Large)
    return now - LastSync > (Plan.Watches ? WatcherSyncPeriod : SyncPeriod);
  return now - View.ValidatedAt > RenewAge;
}

void ClusterService::readStore(base::BootTime now) {
  auto older = [&](base::BootTime since, milliseconds renew,
                   milliseconds fallback) {
    return now - since > (Plan.ReadsStore ? renew : fallback);
  };
  // In a large fleet the watchers look for a store that is away; all nodes
  // would be too many. A node reads by itself when its sources are silent.
  bool asksOthers = Plan.Large && !Plan.Watches;
  if (asksOthers && now - SourceHeardAt < LargeFallbackAge)
    return;
  if (older(View.StoreSeenAt, RenewAge,
            asksOthers ? LargeFallbackAge : FallbackAge))
    RecordsReader->read();
  if (older(Directory.confirmedAt(), ServersRenewAge, ServersFallbackAge))
    ServersReader->read();
  if (older(ConfigConfirmedAt, ConfigRenewAge, ConfigFallbackAge))
    ConfigReader->read();
}

std::vector<PeerNode> ClusterService::syncTargets(bool everyone) {
  std::vector<PeerNode> targets;
  if (!everyone)
    targets = peersNamed({Plan.Sources.front()});
  else if (Plan.isConfirming(Self.Node))
    targets = peers();
  else if (Plan.Watches)
    targets = watchers();
  else
    targets = sampleTargets();
  if (!targets.empty())
    return targets;
  // Without a list of nodes, the settings name a few.
  for (const auto &it : Settings.Seeds) {
    if (it != Settings.Peers)
      targets.push_back({{}, it});
  }
  return targets;
}

std::vector<PeerNode> ClusterService::sampleTargets() {
  std::vector<std::string> names = Plan.Sources;
  std::ranges::sample(Plan.Watchers, std::back_inserter(names), SampleSize,
                      Random);
  std::ranges::sort(names);
  names.erase(std::unique(names.begin(), names.end()), names.end());
  auto targets = peersNamed(names);
  std::ranges::sample(peers(), std::back_inserter(targets), 1, Random);
  return targets;
}

void ClusterService::syncWith(const std::vector<PeerNode> &targets,
                              bool everyone) {
  if (targets.empty())
    return;
  auto round = std::make_shared<SyncRound>();
  round->SentAt = base::BootClock::now();
  round->Outstanding = targets.size();
  round->Outdated = !everyone || View.Nodes.empty();
  LastSync = round->SentAt;
  if (everyone) {
    LastWideSync = round->SentAt;
    PositionsWanted = false;
  }
  SyncRunning = true;
  std::string body = encode(syncRequest());
  for (const auto &it : targets) {
    Caller->call(it.Endpoint, SyncPath, body, SyncTimeout,
                 [this, round, peer = it.Name](const auto &reply) {
                   onSyncReply(round, peer, reply);
                 });
  }
}

void ClusterService::onSyncReply(const std::shared_ptr<SyncRound> &round,
                                 const std::string &peer,
                                 const std::optional<std::string> &body) {
  auto reply = body ? decodeSyncReply(*body) : std::nullopt;
  if (reply && !reply->CannotConfirm)
    ++round->Confirmations;
  if (reply) {
    if (std::ranges::find(Plan.Sources, peer) != Plan.Sources.end())
      SourceHeardAt = base::BootClock::now();
    adoptReply(*round, peer, *reply);
  }
  confirmByQuorum(*round);
  if (--round->Outstanding == 0)
    SyncRunning = false;
}

void ClusterService::adoptReply(SyncRound &round, const std::string &peer,
                                const SyncReply &reply) {
  auto confirmed = round.SentAt - reply.ViewAge;
  auto storeSeen = round.SentAt - reply.StoreAge;
  if (!reply.View.empty()) {
    auto view = cluster::decodeView(reply.View);
    view.ValidatedAt = confirmed;
    view.StoreSeenAt = storeSeen;
    round.Outdated = true;
    adoptView(std::move(view), peer);
    ensureRegistered();
  } else if (reply.ViewRevision >= View.Revision) {
    View.Revision = reply.ViewRevision;
    View.ValidatedAt = std::max(View.ValidatedAt, confirmed);
    View.StoreSeenAt = std::max(View.StoreSeenAt, storeSeen);
  }
  if (!reply.Config.empty() && adoptConfiguration(reply.Config, peer))
    notify();
  ConfigConfirmedAt =
      std::max(ConfigConfirmedAt, round.SentAt - reply.ConfigAge);
  auto serversConfirmed = round.SentAt - reply.ServersAge;
  auto now = base::BootClock::now();
  bool changed = reply.Servers
                     ? Directory.adopt(*reply.Servers, serversConfirmed, now)
                     : Directory.confirm(serversConfirmed, now);
  if (changed)
    notify();
  for (const auto &[group, it] : reply.Positions)
    Hooks.OnPeerPosition(group, it.Epoch, it.Position, round.SentAt - it.Age);
}

void ClusterService::confirmByQuorum(const SyncRound &round) {
  auto quorum = cluster::confirmQuorum(View.Nodes.size());
  bool offlineTooLong = round.SentAt - View.StoreSeenAt > cluster::OfflineLimit;
  if (round.Outdated || round.Confirmations + 1 < quorum || offlineTooLong ||
      ChangesPending > 0 || base::BootClock::now() < UncertainUntil)
    return;
  View.ValidatedAt = std::max(View.ValidatedAt, round.SentAt);
}

SyncRequest ClusterService::syncRequest() const {
  return {.Node = Self.Node,
          .ViewRevision = View.Revision,
          .ViewDigest = ViewDigest,
          .ServersDigest = Directory.digest(),
          .ConfigVersion = Config ? Config->Version : 0};
}

std::string ClusterService::pingBody() const {
  auto request = syncRequest();
  request.ViewRevision = ~std::uint64_t{0};
  request.ConfigVersion = ~std::uint64_t{0};
  return encode(request);
}

void ClusterService::pushGroup(const base::GroupName &group) {
  auto request = syncRequest();
  request.Change = cluster::encodeGroupChange(View, group);
  std::string body = encode(request);
  for (const auto &it : peers())
    Caller->call(it.Endpoint, SyncPath, body, SyncTimeout, [](const auto &) {});
}

void ClusterService::servePeers() {
  serve(SyncPath, decodeSyncRequest, &ClusterService::onSync);
  serve(RevokePath, decodeRevokeRequest, &ClusterService::onRevoke);
  serve(EvidencePath, decodeEvidenceRequest, &ClusterService::onEvidence);
}

template <typename Request>
void ClusterService::serve(
    const char *path, std::optional<Request> (*decode)(const std::string &body),
    void (ClusterService::*handler)(const Request &,
                                    const http::ResponderPtr &)) {
  PeerServer->handle(
      path, [this, decode, handler](const http::HttpRequest &call,
                                    const http::ResponderPtr &responder) {
        if (auto request = decode(call.Body))
          (this->*handler)(*request, responder);
        else
          responder->json(HttpBadRequest, "{}");
      });
}

void ClusterService::onSync(const SyncRequest &request,
                            const http::ResponderPtr &responder) {
  // A pushed record says nothing about its age, so it does not extend the
  // lease.
  adoptChange(request.Change, request.Node);
  SyncReply reply;
  reply.ViewRevision = View.Revision;
  if (View.Revision >= request.ViewRevision && ViewDigest != request.ViewDigest)
    reply.View = cluster::encodeView(View);
  auto now = base::BootClock::now();
  auto age = [now](base::BootTime since) {
    return std::chrono::ceil<milliseconds>(now - since);
  };
  reply.ViewAge = age(View.ValidatedAt);
  reply.StoreAge = age(View.StoreSeenAt);
  reply.ConfigAge = age(ConfigConfirmedAt);
  reply.ServersAge = age(Directory.confirmedAt());
  if (request.ServersDigest != Directory.digest())
    reply.Servers = Directory.registrations();
  if (Config && Config->Version > request.ConfigVersion)
    reply.Config = ConfigDocument;
  // A process that has not registered by itself may have forgotten a promise
  // that its host gave before a restart.
  reply.CannotConfirm =
      ChangesPending > 0 || now < UncertainUntil || Leaving || !isRegistered();
  if (Hooks.Positions)
    reply.Positions = Hooks.Positions();
  responder->json(200, encode(reply));
}

void ClusterService::onRevoke(const RevokeRequest &request,
                              const http::ResponderPtr &responder) {
  revoke(request.Group, request.Epoch);
  adoptChange(request.Change, "revoke");
  Hooks.DrainPrimary(request.Group,
                     [responder] { responder->json(200, "{}"); });
}

void ClusterService::onEvidence(const EvidenceRequest &request,
                                const http::ResponderPtr &responder) {
  // Only a suspicion makes this node ask in turn, or two nodes would go on
  // asking each other.
  if (request.Suspected)
    Hooks.OnPrimarySuspected(request.Group);
  EvidenceReply reply{Hooks.PrimaryReplyAge(request.Group), isStoreReachable(),
                      Hooks.IsFailingOver(request.Group)};
  responder->json(200, encode(reply));
}

} // namespace baobabpin::control
