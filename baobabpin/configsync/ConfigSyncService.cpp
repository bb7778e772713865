#include "baobabpin/configsync/ConfigSyncService.h"

#include "baobabpin/configsync/PeerClient.h"
#include "baobabpin/configsync/StoreWriter.h"
#include "baobabpin/configsync/Watchers.h"
#include "baobabpin/membership/MembershipService.h"
#include "baobabpin/store/HostList.h"
#include "baobabpin/store/PrefixWatch.h"

#include <algorithm>
#include <random>
#include <set>

namespace baobabpin::configsync {
namespace {

using namespace std::chrono_literals;
using base::Duration;
using base::TimePoint;
using membership::ConfigDigest;
using store::StoreEntry;

/// Random members that hear of a new revision at once; 4 reach 4,300 nodes in
/// about 7 rounds.
constexpr std::size_t NoticeCount = 4;
/// Roles and reports are looked at this often.
constexpr Duration TickPeriod = 250ms;
/// Applied revisions go to the watchers by UDP, so they are repeated: soon
/// after a change, and rarely for watchers that restarted.
constexpr Duration ReportGap = 1s;
constexpr int ReportRepetitions = 2;
constexpr Duration ReportPeriod = 30s;
/// A full comparison names every key, so it is made rarely.
constexpr Duration FullPullGap = 2s;
/// Peers asked at the same time; a second one covers for a peer that hangs.
constexpr std::size_t MaxPulls = 2;
/// Larger batches, as at a start, are logged as one event.
constexpr std::size_t MaxLoggedRecords = 16;

std::vector<ConfigRecord> toRecords(const std::vector<StoreEntry> &entries) {
  std::vector<ConfigRecord> records;
  for (const auto &it : entries) {
    ConfigRecord record{it.Key, it.Revision, std::nullopt};
    if (!it.Deleted)
      record.Value = it.Value;
    records.push_back(std::move(record));
  }
  return records;
}

} // namespace

struct ConfigSyncService::State {
  explicit State(ConfigSyncSettings settings) : Settings(std::move(settings)) {}

  ConfigSyncSettings Settings;
  kernel::Kernel *Kernel = nullptr;
  membership::MembershipService *Membership = nullptr;
  std::unique_ptr<store::StoreClient> Store;
  std::unique_ptr<StoreWriter> Writer;
  std::unique_ptr<store::PrefixWatch> Watch;
  std::unique_ptr<store::HostList> Hosts;
  std::unique_ptr<PeerClient> Peers;
  kernel::Timer Ticker;
  std::vector<std::function<void(const ConfigRecord &)>> Callbacks;

  ConfigCopy Copy;
  ConfigDigest Digest;
  std::set<base::NodeId> Pulls;
  TimePoint NextFullPull;

  TimePoint WatchFrom;
  TimePoint MembersSettledAt;
  bool MembersChanged = true;
  std::vector<base::NodeId> Watchers;
  AppliedRevisions Applied;
  TimePoint NextReport;
  int ReportsLeft = 0;

  prometheus::Counter *SyncBytes = nullptr;
  prometheus::Gauge *AppliedGauge = nullptr;

  void startParts();
  void listen();
  TimePoint now() const { return Kernel->loop().now(); }
  MemberRecords memberRecords() const;

  void logApplied(const AppliedRecords &applied);
  void publish(const AppliedRecords &applied, std::uint64_t before);
  void onDigest(const base::NodeId &from, const ConfigDigest &digest);
  void startPull(const base::NodeId &from, PullKind kind);
  void onSyncReply(const base::NodeId &from, const Pull &pull,
                   const std::optional<proto::SyncReply> &reply);

  void expectMoreMembers() {
    MembersSettledAt = now() + Settings.JoinSettleTime;
  }
  void tick();
  void updateRole();
  void reportApplied();
  void scheduleReports();

  void write(StoreWrite write, const WriteCallback &callback);
  void onWritten(const StoreWrite &write, const WriteResult &result);
};

MemberRecords ConfigSyncService::State::memberRecords() const {
  MemberRecords records{&Membership->self()};
  for (const auto &[node, entry] : Membership->members())
    records.push_back(&entry.Record);
  return records;
}

void ConfigSyncService::State::startParts() {
  auto &loop = Kernel->loop();
  std::random_device random;
  Store = std::make_unique<store::StoreClient>(
      loop, Kernel->metrics(), Settings.Store, Settings.StoreTimeouts);
  Writer = std::make_unique<StoreWriter>(loop, *Store);
  store::WatchHandlers handlers;
  handlers.OnSnapshot = [this](const auto &entries, std::uint64_t revision) {
    std::uint64_t before = Copy.CompleteRevision;
    publish(applySnapshot(Copy, toRecords(entries), revision), before);
  };
  handlers.OnChanges = [this](const auto &entries, std::uint64_t revision) {
    std::uint64_t before = Copy.CompleteRevision;
    publish(applyChanges(Copy, toRecords(entries), revision), before);
  };
  handlers.OnAvailability = [this](bool available) {
    Kernel->log().record(available ? "store_available" : "store_unavailable");
  };
  Watch = std::make_unique<store::PrefixWatch>(
      loop, *Store, std::string(ResourcePrefix), std::move(handlers), random());
  Hosts = std::make_unique<store::HostList>(
      loop, *Store, Settings.HostListPeriod,
      [this](const std::string &host) { Membership->sendHostLeaving(host); },
      random());
  Peers = std::make_unique<PeerClient>(loop);
  SyncBytes = &Kernel->metrics().counter(
      "baobabpin_config_sync_bytes_total",
      "Size of configuration differences received from peers.");
  AppliedGauge = &Kernel->metrics().gauge(
      "baobabpin_config_applied_revision",
      "Store revision up to which the configuration is applied.");
}

void ConfigSyncService::State::listen() {
  Membership->setDigestSource([this] { return Digest; });
  Membership->onDigest(
      [this](const base::NodeId &from, const ConfigDigest &digest) {
        onDigest(from, digest);
      });
  Membership->onAppliedRevision(
      [this](const base::NodeId &from, std::uint64_t revision) {
        std::uint64_t &known = Applied[from];
        known = std::max(known, revision);
      });
  Membership->onChange([this](const membership::MemberChange &change) {
    MembersChanged = true;
    if (!change.Previous)
      expectMoreMembers();
    if (change.Removed)
      Applied.erase(change.Record.Node);
  });
}

void ConfigSyncService::State::logApplied(const AppliedRecords &applied) {
  if (applied.size() > MaxLoggedRecords) {
    Kernel->log().record("config_applied",
                         {{"records", std::to_string(applied.size())},
                          {"revision", std::to_string(Copy.CompleteRevision)}});
    return;
  }
  for (const auto &record : applied)
    Kernel->log().record("config_applied",
                         {{"key", record.Key},
                          {"revision", std::to_string(record.Revision)},
                          {"deleted", record.Value ? "false" : "true"}});
}

void ConfigSyncService::State::publish(const AppliedRecords &applied,
                                       std::uint64_t before) {
  bool advanced = Copy.CompleteRevision != before;
  if (applied.empty() && !advanced)
    return;
  Digest = {Copy.CompleteRevision, digestHash(Copy)};
  Membership->setAppliedRevision(Copy.CompleteRevision);
  AppliedGauge->Set(static_cast<double>(Copy.CompleteRevision));
  logApplied(applied);
  for (const auto &record : applied) {
    for (const auto &callback : Callbacks)
      callback(record);
  }
  if (!advanced)
    return;
  Membership->sendConfigNotice(NoticeCount);
  scheduleReports();
}

void ConfigSyncService::State::onDigest(const base::NodeId &from,
                                        const ConfigDigest &digest) {
  PullKind kind = choosePull(Copy, Digest.Hash, digest.Revision, digest.Hash);
  if (kind == PullKind::None)
    return;
  if (kind == PullKind::Full && now() < NextFullPull)
    return;
  startPull(from, kind);
}

void ConfigSyncService::State::startPull(const base::NodeId &from,
                                         PullKind kind) {
  const auto *record = Membership->find(from);
  if (!record || record->PeerEndpoint.empty() || Pulls.contains(from) ||
      Pulls.size() == MaxPulls)
    return;
  if (kind == PullKind::Full)
    NextFullPull = now() + FullPullGap;
  Pulls.insert(from);
  Pull started = makePull(Copy, kind);
  Peers->sync(
      record->PeerEndpoint, started.Request,
      [this, from, started](const std::optional<proto::SyncReply> &reply) {
        Pulls.erase(from);
        onSyncReply(from, started, reply);
      });
}

void ConfigSyncService::State::onSyncReply(
    const base::NodeId &from, const Pull &pull,
    const std::optional<proto::SyncReply> &reply) {
  if (!reply)
    return;
  SyncBytes->Increment(static_cast<double>(reply->ByteSizeLong()));
  std::uint64_t before = Copy.CompleteRevision;
  AppliedRecords applied = mergeSync(Copy, pull, *reply);
  bool progress = !pull.Request.full() || !applied.empty();
  publish(applied, before);
  if (reply->full_needed() && progress)
    startPull(from, PullKind::Full);
}

void ConfigSyncService::State::tick() {
  if (MembersChanged && now() >= WatchFrom)
    updateRole();
  if (now() >= NextReport)
    reportApplied();
}

void ConfigSyncService::State::updateRole() {
  MembersChanged = false;
  const auto &self = Membership->self();
  auto watchers = watchersOf(self.Zone, memberRecords());
  if (watchers == Watchers)
    return;
  Watchers = std::move(watchers);
  auto rank = std::find(Watchers.begin(), Watchers.end(), self.Node);
  bool isWatcher = rank != Watchers.end();
  if (isWatcher != Watch->isRunning())
    Kernel->log().record(isWatcher ? "store_watch_started"
                                   : "store_watch_stopped");
  if (isWatcher)
    Watch->start();
  else
    Watch->stop();
  // The host list is a hint; one node of a zone polls it.
  if (rank == Watchers.begin() && isWatcher)
    Hosts->start();
  else
    Hosts->stop();
  scheduleReports();
}

void ConfigSyncService::State::scheduleReports() {
  ReportsLeft = ReportRepetitions;
  reportApplied();
}

void ConfigSyncService::State::reportApplied() {
  if (Copy.CompleteRevision != 0) {
    for (const auto &it : Watchers)
      Membership->sendAppliedRevision(it);
  }
  NextReport = now() + (ReportsLeft > 0 ? ReportGap : ReportPeriod);
  ReportsLeft = std::max(0, ReportsLeft - 1);
}

void ConfigSyncService::State::write(StoreWrite write,
                                     const WriteCallback &callback) {
  Writer->submit(std::move(write), [this, callback](const StoreWrite &it,
                                                    const WriteResult &result) {
    if (result.Status == WriteStatus::Committed)
      onWritten(it, result);
    callback(result);
  });
}

void ConfigSyncService::State::onWritten(const StoreWrite &write,
                                         const WriteResult &result) {
  // The operator's next read through this node sees the change; the watchers
  // bring it to all others.
  std::uint64_t before = Copy.CompleteRevision;
  publish(applyRecords(Copy, {{write.Key, result.Revision, write.Value}}),
          before);
}

ConfigSyncService::ConfigSyncService(ConfigSyncSettings settings)
    : Impl(std::make_unique<State>(std::move(settings))) {}

ConfigSyncService::~ConfigSyncService() = default;

base::Result<void> ConfigSyncService::start(kernel::Kernel &kernel) {
  Impl->Kernel = &kernel;
  Impl->Membership = &kernel.find<membership::MembershipService>("membership");
  Impl->startParts();
  Impl->listen();
  Impl->WatchFrom = Impl->now() + Impl->Settings.SettleTime;
  Impl->expectMoreMembers();
  Impl->Ticker = kernel.loop().runEvery(TickPeriod, [this] { Impl->tick(); });
  return {};
}

void ConfigSyncService::stop() {
  Impl->Ticker.cancel();
  if (!Impl->Watch)
    return;
  Impl->Watch->stop();
  Impl->Hosts->stop();
  Impl->Membership->setDigestSource(nullptr);
  Impl->Membership->onDigest(nullptr);
  Impl->Membership->onAppliedRevision(nullptr);
  Impl->Peers.reset();
  Impl->Hosts.reset();
  Impl->Watch.reset();
  Impl->Writer.reset();
  Impl->Store.reset();
}

std::optional<std::string>
ConfigSyncService::find(const std::string &key) const {
  const ConfigRecord *record = findRecord(key);
  return record ? record->Value : std::nullopt;
}

const ConfigRecord *
ConfigSyncService::findRecord(const std::string &key) const {
  auto it = Impl->Copy.Records.find(key);
  return it == Impl->Copy.Records.end() ? nullptr : &it->second;
}

std::vector<ConfigRecord>
ConfigSyncService::list(const std::string &prefix) const {
  std::vector<ConfigRecord> records;
  const auto &all = Impl->Copy.Records;
  for (auto it = all.lower_bound(prefix);
       it != all.end() && it->first.starts_with(prefix); ++it) {
    if (it->second.Value)
      records.push_back(it->second);
  }
  return records;
}

void ConfigSyncService::onChange(
    std::function<void(const ConfigRecord &)> callback) {
  Impl->Callbacks.push_back(std::move(callback));
}

std::uint64_t ConfigSyncService::appliedRevision() const {
  return Impl->Copy.CompleteRevision;
}

void ConfigSyncService::compareAndSwap(const std::string &key,
                                       const std::string &value,
                                       std::uint64_t expectedRevision,
                                       const WriteCallback &callback) {
  Impl->write({key, value, expectedRevision}, callback);
}

void ConfigSyncService::compareAndDelete(const std::string &key,
                                         std::uint64_t expectedRevision,
                                         const WriteCallback &callback) {
  Impl->write({key, std::nullopt, expectedRevision}, callback);
}

void ConfigSyncService::readThrough(
    const std::string &key, std::function<void(bool available)> callback) {
  // A range states the store's revision even when the key does not exist.
  Impl->Store->range(key, [this, key, callback = std::move(callback)](
                              const store::StoreReply &reply) {
    if (reply.Status != store::StoreStatus::Ok) {
      callback(false);
      return;
    }
    ConfigRecord record{key, reply.Revision, std::nullopt};
    for (const auto &it : reply.Entries) {
      if (it.Key == key)
        record = {key, it.Revision, it.Value};
    }
    bool known = record.Value || findRecord(key);
    if (known)
      Impl->publish(applyRecords(Impl->Copy, {record}),
                    Impl->Copy.CompleteRevision);
    callback(true);
  });
}

proto::SyncReply
ConfigSyncService::handleSync(const proto::SyncRequest &request) const {
  return answerSync(Impl->Copy, request);
}

proto::InForceReply
ConfigSyncService::handleInForce(std::uint64_t revision) const {
  return confirmationsOf(Impl->Membership->self().Zone, Impl->memberRecords(),
                         Impl->Applied, revision);
}

void ConfigSyncService::queryInForce(std::uint64_t revision,
                                     const InForceCallback &callback) {
  struct Query {
    proto::InForceReply Reply;
    std::size_t Outstanding = 1;
  };
  auto query = std::make_shared<Query>();
  auto add = [query, callback](const proto::InForceReply &part) {
    query->Reply.MergeFrom(part);
    if (--query->Outstanding == 0)
      callback(std::move(query->Reply));
  };
  const auto &self = Impl->Membership->self();
  MemberRecords records = Impl->memberRecords();
  std::set<base::AvailabilityZone> zones;
  for (const auto *it : records)
    zones.insert(it->Zone);
  proto::InForceRequest request;
  request.set_revision(revision);
  for (const auto &zone : zones) {
    auto watchers = watchersOf(zone, records);
    bool isOwn = zone == self.Zone &&
                 std::find(watchers.begin(), watchers.end(), self.Node) !=
                     watchers.end();
    ++query->Outstanding;
    if (isOwn || watchers.empty()) {
      add(isOwn ? handleInForce(revision)
                : cutOffConfirmations(zone, records, revision));
      continue;
    }
    Impl->Peers->inForce(
        Impl->Membership->find(watchers.front())->PeerEndpoint, request,
        [this, zone, revision,
         add](const std::optional<proto::InForceReply> &reply) {
          auto members = Impl->memberRecords();
          auto part =
              reply ? *reply : cutOffConfirmations(zone, members, revision);
          addMissingMembers(part, zone, members, revision);
          add(part);
        });
  }
  if (Impl->now() < Impl->MembersSettledAt) {
    ++query->Outstanding;
    Impl->Store->hosts([this, add](const store::StoreReply &reply) {
      proto::InForceReply part;
      if (reply.Status == store::StoreStatus::Ok)
        addUnknownHosts(part, reply.Hosts, Impl->memberRecords());
      add(part);
    });
  }
  // The count began at 1, so that parts known here cannot end the query early.
  add({});
}

} // namespace baobabpin::configsync
