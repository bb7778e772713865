/// Maintains what this node shares with the others: the records in the store,
/// the configuration, the registrations of the servers, and the calls of peers.
///
/// One node reads the store for all. The others fetch the records from it, in a
/// large fleet through the monitors of their zone (cluster/FleetPlan.h),
/// because a call to a peer costs far less than a call to the store. A node
/// whose view becomes too old reads the store itself and asks more peers; any
/// peer with a newer view passes it on. When no peer reaches the store either,
/// a quorum of peers confirms the view (cluster/ClusterView.h).
#pragma once

#include "baobabpin/cluster/ClusterView.h"
#include "baobabpin/cluster/FleetPlan.h"
#include "baobabpin/cluster/MoveDecision.h"
#include "baobabpin/control/ConfigDistribution.h"
#include "baobabpin/control/PeerCalls.h"
#include "baobabpin/control/PrefixReader.h"
#include "baobabpin/control/ServerDirectory.h"
#include "baobabpin/http/HttpServer.h"
#include "baobabpin/kernel/Kernel.h"
#include "baobabpin/kernel/LineLog.h"
#include "platform/PlatformStore.h"
#include "platform/Settings.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace baobabpin::control {

/// Functions of other services that ClusterService needs to answer the calls of
/// peers.
struct ClusterHooks {
  /// Returns the time since the last reply of the group's primary to this node.
  std::function<std::optional<std::chrono::milliseconds>(
      const base::GroupName &)>
      PrimaryReplyAge;
  /// Returns whether this node was late, so that a silence of the group's
  /// primary says nothing.
  std::function<bool(const base::GroupName &)> IsUnsure;
  /// Calls the callback when no commit is in flight at the group's primary any
  /// more, or after a short timeout.
  std::function<void(const base::GroupName &, std::function<void()>)>
      DrainPrimary;
  /// Returns the latest known position of each group's primary.
  std::function<std::map<base::GroupName, PositionReport>()> Positions;
  /// Called when a peer has reported \p position of the primary of \p epoch.
  /// The position covers the commits acknowledged before \p since.
  std::function<void(const base::GroupName &, std::uint64_t epoch,
                     base::LogPosition position, base::BootTime since)>
      OnPeerPosition;
  /// Returns whether this node is running a failover of the group.
  std::function<bool(const base::GroupName &)> IsFailingOver;
  /// Returns whether a promotion that this node has requested for the group may
  /// take effect although another coordinator has taken over.
  std::function<bool(const base::GroupName &)> MayPromoteLate;
  /// Called when a peer suspects the group's primary.
  std::function<void(const base::GroupName &)> OnPrimarySuspected;
};

class ClusterService : public kernel::Service {
public:
  ClusterService(platform::HostSettings settings, kernel::LineLog &log);
  ~ClusterService() override;

  std::string_view name() const override { return "cluster"; }
  base::Result<void> start(kernel::Kernel &kernel) override;
  void stop() override;

  ClusterHooks Hooks;
  /// Applies the settings that may change while the node runs.
  void applySettings(const platform::HostSettings &changed) {
    platform::applyReloadableSettings(Settings, changed);
  }
  /// Lets another service answer the peers' calls at \p path. May be called
  /// after start().
  void servePeerCalls(const std::string &path, http::RequestHandler handler) {
    PeerServer->handle(path, std::move(handler));
  }
  /// Adds a listener that is called after the view, the configuration or the
  /// servers have changed.
  void subscribe(std::function<void()> listener);

  const cluster::NodeIdentity &self() const { return Self; }
  const cluster::ClusterView &view() const { return View; }
  /// Returns null until a configuration is known.
  const cluster::Configuration *configuration() const {
    return Config->configuration();
  }
  /// Returns the time at which the configuration was last known to be the
  /// newest one.
  base::BootTime configurationConfirmedAt() const {
    return Config->confirmedAt();
  }
  const std::map<base::ServerId, cluster::ServerRegistration> &servers() const {
    return Directory.servers();
  }
  /// Returns when the server was first seen to be draining or to have no
  /// registration, or nothing if neither holds.
  std::optional<base::BootTime> leavingSince(const base::ServerId &id) const {
    return Directory.leavingSince(id);
  }
  /// Returns whether clients' statements may still be sent to the server after
  /// \p delay: it is not leaving, or the time for which it serves does not end
  /// before. Other nodes learn later that a server is leaving, so this time is
  /// shorter than the one for which the server says that it serves.
  bool mayServe(const base::ServerId &id,
                std::chrono::milliseconds delay = {}) const;
  cluster::PrimaryUse primaryUse(const base::GroupName &group) const;
  std::chrono::nanoseconds viewAge() const;
  /// Returns the time after the last confirmation of the view for which this
  /// node may use primaries.
  std::chrono::milliseconds lease() const;
  /// Returns whether the view is of an earlier era than the latest known one.
  bool isViewOfEarlierEra() const { return View.Era < LatestEra; }
  /// Returns whether this node itself has recently read the records from the
  /// store. A confirmation received through a peer does not count.
  bool isStoreReachable() const;
  /// Returns whether this run of the node is registered. Without a registration
  /// it may use no primary, because a coordinator would not wait for it.
  bool isRegistered() const;
  /// Returns whether this node has failed to register, and will try again.
  bool isRegistrationFailing() const {
    return FailedRegistrations > 0 && !isRegistered();
  }
  /// Returns whether this node may take the promotion duty.
  bool mayHoldDuty() const {
    return cluster::mayHoldDuty(Duty, base::BootClock::now());
  }
  /// Returns whether this node may run failovers.
  bool canCoordinate() const { return isStoreReachable() && mayHoldDuty(); }
  /// Returns the registered nodes other than this one.
  std::vector<PeerNode> peers() const;
  /// Returns the nodes that a failover must wait for: the registered ones, and
  /// those whose registration was lost when the store was restored.
  std::vector<PeerNode> revocationPeers() const;
  /// Returns whether this run of the node can vouch for its last view of an
  /// earlier era.
  bool knewEarlierEra() const { return KnewEarlierEra; }
  /// Returns whether the store was restored so recently that nodes may still
  /// use primaries as of the earlier era.
  bool mayHaveFormerNodes() const;
  /// Returns the nodes that monitor the primaries, other than this one.
  std::vector<PeerNode> monitors() const;
  /// Returns whether this node monitors the primaries: the plan makes it a
  /// monitor, or none of its sync sources has replied for a while.
  bool isMonitoring() const;
  /// Returns whether this node is the first of Plan.Monitors.
  bool isFirstMonitor() const;
  const cluster::FleetPlan &plan() const { return Plan; }
  /// Returns the placements of this node, which is the first, and of all other
  /// nodes that are not retired.
  std::vector<cluster::NodePlacement> nodePlacements() const;
  /// Returns the body of a call that only checks whether a peer answers. It
  /// claims to know the newest view and configuration, so that the peer sends
  /// neither.
  std::string pingBody() const;

  /// Changes records in the store and then reads the records again. The status
  /// is Unknown when the reply was lost.
  void change(const std::vector<platform::KeyChange> &changes,
              const store::StoreCallback &callback);
  /// Stops this node from using the primaries of the group up to \p epoch.
  void revoke(const base::GroupName &group, std::uint64_t epoch);
  /// Sends the records of the group to all peers.
  void pushGroup(const base::GroupName &group);
  /// Asks more peers than usual in the next synchronisation, which also returns
  /// the primaries' positions that they know. There is at most one such
  /// synchronisation per SyncPeriod.
  void requestPeerPositions();
  PeerCaller &caller() { return *Caller; }
  void removeRegistration();

private:
  struct SyncRound;

  void servePeers();
  /// Handles the calls at \p path with \p handler. A call that \p decode cannot
  /// read is answered with status 400.
  template <typename Request>
  void serve(const char *path,
             std::optional<Request> (*decode)(const std::string &body),
             void (ClusterService::*handler)(const Request &,
                                             const http::ResponderPtr &));
  void onSync(const SyncRequest &request, const http::ResponderPtr &responder);
  void onRevoke(const RevokeRequest &request,
                const http::ResponderPtr &responder);
  void onEvidence(const EvidenceRequest &request,
                  const http::ResponderPtr &responder);
  void onRecordsRequest(const RecordsRequest &request,
                        const http::ResponderPtr &responder);
  void onRecords(const platform::RangePage &page, base::BootTime sentAt);
  void onServerEntries(const std::vector<store::StoreEntry> &entries,
                       base::BootTime sentAt);
  /// Notes the era that the store or a peer has reported. This node confirms no
  /// view of an earlier era from then on.
  void noteEra(platform::StoreEra era, std::string_view source);
  /// Keeps what \p before, a view of an earlier era, says about the nodes.
  void onEraEntered(const cluster::ClusterView &before);
  void adoptView(cluster::ClusterView view, std::string_view source);
  /// Writes the registration of this node unless the view contains it.
  void ensureRegistered();
  void onRegistrationReply(const store::StoreReply &reply);
  /// Calls ensureRegistered() if an attempt has failed and the pause after it
  /// has passed. Nothing else may call it again, because a view that peers
  /// confirm need not change.
  void retryRegistration(base::BootTime now);
  void reportRegistration();
  /// Returns whether this node would know of a failover that could complete
  /// before the store was restored: this run of the node is registered in
  /// \p view, and the store confirmed the view recently (see OfflineLimit).
  bool canVouchFor(const cluster::ClusterView &view) const;
  /// Returns whether \p view has the registration of this run of the node.
  bool isRegisteredIn(const cluster::ClusterView &view) const;
  /// Returns the lease that suits the size of the fleet.
  std::chrono::milliseconds wantedLease() const;
  /// Returns whether the record of this node in the store may differ from the
  /// one in the view because of a change that this node has made.
  bool isRegistrationUncertain() const;
  /// Returns whether a change of this node may still take effect.
  bool hasUncertainChange() const;
  void tick();
  void updatePlan();
  /// Reads the records, the servers and the configuration from the store, each
  /// only when its last confirmation is too old.
  void readStore(base::BootTime now);
  bool isConfigReadDue(base::BootTime now) const;
  /// Returns the first monitor in this node's zone, or an empty string.
  std::string firstMonitorOfZone() const;
  bool isUsualSyncDue(base::BootTime now) const;
  SyncRequest syncRequest() const;
  /// Asks \p targets for everything that is newer than what this node knows.
  /// \p wide: the synchronisation asks more peers than the usual sync source,
  /// so that the replies may confirm the view.
  void syncWith(const std::vector<PeerNode> &targets, bool wide);
  /// Returns the peers to ask in a synchronisation. \p wide is the same as for
  /// syncWith().
  std::vector<PeerNode> syncTargets(bool wide);
  /// Returns the nodes to fetch the configuration from: the first monitor of
  /// this node's zone, or for that monitor itself the node that reads the
  /// store, and then the sync sources.
  std::vector<PeerNode> configSources() const;
  /// Returns this node's sync sources, some random monitors and one random
  /// node.
  std::vector<PeerNode> sampleTargets();
  /// Returns the registered nodes among \p names, without this node.
  std::vector<PeerNode> peersNamed(const std::vector<std::string> &names) const;
  /// Adopts the records of a group that a call of a peer brought. Does nothing
  /// when \p change is empty.
  void adoptChange(const std::string &change, std::string_view source);
  /// Runs \p merge on the view. Logs the changes and notifies the listeners
  /// when the records have changed.
  void updateView(std::string_view source,
                  const std::function<bool(cluster::ClusterView &)> &merge);
  void onSyncReply(const std::shared_ptr<SyncRound> &round,
                   const PeerNode &peer,
                   const std::optional<std::string> &body);
  /// Adopts the newer parts of a reply, and the confirmation times that it
  /// reports.
  void adoptReply(SyncRound &round, const PeerNode &peer,
                  const SyncReply &reply);
  /// Confirms the view when a quorum of nodes knows of nothing newer.
  void confirmByQuorum(const SyncRound &round);
  void notify();
  std::map<base::GroupName, PositionReport> positions() const;

  platform::HostSettings Settings;
  kernel::LineLog &Log;
  kernel::Metrics *Metrics = nullptr;
  cluster::NodeIdentity Self;
  std::unique_ptr<platform::PlatformStore> Store;
  std::unique_ptr<PrefixReader> RecordsReader;
  std::unique_ptr<PrefixReader> ServersReader;
  std::unique_ptr<http::HttpServer> PeerServer;
  std::unique_ptr<PeerCaller> Caller;
  std::unique_ptr<ConfigDistribution> Config;
  std::vector<std::function<void()>> Listeners;
  cluster::ClusterView View;
  std::uint64_t ViewDigest = 0;
  /// The latest era that the store or a peer has reported.
  platform::StoreEra LatestEra = 0;
  bool KnewEarlierEra = false;
  /// The nodes that were registered before the store was restored, and not
  /// after it. They may use primaries until FormerNodesUntil.
  std::vector<PeerNode> FormerNodes;
  base::BootTime FormerNodesUntil{};
  cluster::FleetPlan Plan;
  /// The last reply from one of Plan.SyncSources.
  base::BootTime SourceRepliedAt{};
  ServerDirectory Directory;
  cluster::DutyHistory Duty;
  /// The highest epoch of each group whose primary this node must not use.
  std::map<base::GroupName, std::uint64_t> RevokedEpochs;
  base::BootTime StartedAt{};
  /// When the fleet was last large, or this process started.
  base::BootTime LastLarge{};
  /// When this node sent its last successful read of the records to the store.
  base::BootTime OwnStoreReadAt{};
  base::BootTime LastSync{};
  /// The start of the last wide synchronisation (see syncWith).
  base::BootTime LastWideSync{};
  /// The next synchronisation is a wide one, to get the positions that peers
  /// know.
  bool PositionsWanted = false;
  bool SyncRunning = false;
  bool Registering = false;
  /// Attempts to register since the last one that succeeded.
  int FailedRegistrations = 0;
  /// The next attempt after a failed one.
  base::BootTime NextRegistration{};
  /// This node has begun to remove its registration.
  bool Deregistering = false;
  /// The revision of this node's record after its last change.
  std::uint64_t RegistrationRevision = 0;
  /// Until this time, a change of this node's record whose reply was lost may
  /// still take effect.
  base::BootTime RegistrationUncertainUntil{};
  int ChangesPending = 0;
  /// Until this time, a change whose reply was lost may still take effect.
  base::BootTime UncertainUntil{};
  kernel::Timer Ticker;
  std::minstd_rand Random;
};

} // namespace baobabpin::control
