/// What this node shares with the others: the records in the store, the
/// configuration, the servers' registrations, and the calls of peers.
///
/// One node reads the store for all; the others ask it, in a large fleet
/// through the watchers of their zone (cluster/FleetPlan.h), because a call to
/// a peer costs far less than one to the store. A node whose view grows old
/// reads the store itself and asks more peers: any of them with a fresher view
/// relays it. When no peer reaches the store either, a quorum of them confirms
/// the view (cluster/ClusterView.h).
#pragma once

#include "baobabpin/cluster/ClusterView.h"
#include "baobabpin/cluster/FleetPlan.h"
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
#include <vector>

namespace baobabpin::control {

/// What other services of this node contribute to the peers' calls.
struct ClusterHooks {
  /// Time since the group's primary last answered this node.
  std::function<std::optional<std::chrono::milliseconds>(
      const base::GroupName &)>
      PrimaryReplyAge;
  /// Calls back when no commit is in flight at the group's primary any more, or
  /// after a short time.
  std::function<void(const base::GroupName &, std::function<void()>)>
      DrainPrimary;
  std::function<std::map<base::GroupName, PositionReport>()> Positions;
  /// A peer knows \p position of the primary of \p epoch, as of \p since.
  std::function<void(const base::GroupName &, std::uint64_t epoch,
                     base::LogPosition position, base::BootTime since)>
      OnPeerPosition;
  /// Whether this node is moving the group.
  std::function<bool(const base::GroupName &)> IsFailingOver;
  /// A peer finds that the group's primary should be checked.
  std::function<void(const base::GroupName &)> OnPrimarySuspected;
};

struct PeerNode {
  std::string Name;
  http::Endpoint Endpoint;
};

class ClusterService : public kernel::Service {
public:
  ClusterService(platform::HostSettings settings, kernel::LineLog &log);
  ~ClusterService() override;

  std::string_view name() const override { return "cluster"; }
  base::Result<void> start(kernel::Kernel &kernel) override;
  void stop() override;

  ClusterHooks Hooks;
  /// Takes over what may change while the node runs.
  void applySettings(const platform::HostSettings &changed) {
    platform::applyReloadableSettings(Settings, changed);
  }
  /// Called after the view, the configuration or the servers changed.
  void subscribe(std::function<void()> listener);

  const cluster::NodeIdentity &self() const { return Self; }
  const cluster::ClusterView &view() const { return View; }
  /// Null until a configuration is known.
  const cluster::Configuration *configuration() const;
  const std::map<base::ServerId, cluster::ServerRegistration> &servers() const {
    return Directory.servers();
  }
  /// When a server's registration was first missing or draining.
  std::optional<base::BootTime> leavingSince(const base::ServerId &id) const {
    return Directory.leavingSince(id);
  }
  cluster::PrimaryUse primaryUse(const base::GroupName &group) const;
  std::chrono::nanoseconds viewAge() const;
  /// The store itself confirmed the view recently.
  bool isStoreReachable() const;
  /// Registered nodes but this one.
  std::vector<PeerNode> peers() const;
  /// The nodes that watch the primaries, without this one.
  std::vector<PeerNode> watchers() const;
  /// Whether this node watches the primaries: it is a watcher, or has heard of
  /// none for a while.
  bool isMonitoring() const;
  /// Whether this node is the one that reads the store for all.
  bool isStoreReader() const;
  const cluster::FleetPlan &plan() const { return Plan; }
  /// Where the nodes in use run, this one included.
  std::vector<cluster::NodePlacement> nodePlacements() const;
  /// Asks a peer only whether it is there: whatever it knows, it has nothing
  /// to tell.
  std::string pingBody() const;

  /// Changes records; the outcome of a lost reply is Unknown. The view is read
  /// again afterwards.
  void change(const std::vector<platform::KeyChange> &changes,
              const store::StoreCallback &callback);
  /// Stops this node from using the primaries of the group up to \p epoch.
  void revoke(const base::GroupName &group, std::uint64_t epoch);
  /// Sends the records of the group to all peers.
  void pushGroup(const base::GroupName &group);
  /// Asks peers for positions, at most every PeerPositionPeriod.
  void requestPeerPositions();
  PeerCaller &caller() { return *Caller; }
  void removeRegistration();

private:
  struct SyncRound;

  void servePeers();
  /// Decodes the calls at \p path; what cannot be read is refused.
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
  void onOwnRecords(const std::vector<store::StoreEntry> &entries,
                    std::uint64_t revision, base::BootTime sentAt);
  void onServerEntries(const std::vector<store::StoreEntry> &entries,
                       base::BootTime sentAt);
  void onConfiguration(const std::vector<store::StoreEntry> &entries,
                       base::BootTime sentAt);
  bool adoptConfiguration(const std::string &document, std::string_view source);
  void adoptView(cluster::ClusterView view, std::string_view source);
  void ensureRegistered();
  bool isRegistered() const;
  void tick();
  void replan();
  void readStore(base::BootTime now);
  bool isUsualSyncDue(base::BootTime now) const;
  SyncRequest syncRequest() const;
  void syncWith(const std::vector<PeerNode> &targets, bool everyone);
  /// \p everyone: more than this node's usual sources.
  std::vector<PeerNode> syncTargets(bool everyone);
  /// This node's sources, some other watchers and any other node.
  std::vector<PeerNode> sampleTargets();
  /// The endpoints of registered nodes among \p names, without this node.
  std::vector<PeerNode> peersNamed(const std::vector<std::string> &names) const;
  /// A call of a peer may bring newer records of a group; empty: it does not.
  void adoptChange(const std::string &change, std::string_view source);
  /// Runs \p merge on the view; logs and notifies when it changed the records.
  void updateView(std::string_view source,
                  const std::function<bool(cluster::ClusterView &)> &merge);
  void onSyncReply(const std::shared_ptr<SyncRound> &round,
                   const std::string &peer,
                   const std::optional<std::string> &body);
  void adoptReply(SyncRound &round, const std::string &peer,
                  const SyncReply &reply);
  void confirmByQuorum(const SyncRound &round);
  void notify();
  std::map<base::GroupName, PositionReport> positions() const;

  platform::HostSettings Settings;
  kernel::LineLog &Log;
  cluster::NodeIdentity Self;
  std::unique_ptr<platform::PlatformStore> Store;
  std::unique_ptr<PrefixReader> RecordsReader;
  std::unique_ptr<PrefixReader> ServersReader;
  std::unique_ptr<PrefixReader> ConfigReader;
  std::unique_ptr<http::HttpServer> PeerServer;
  std::unique_ptr<PeerCaller> Caller;
  std::vector<std::function<void()>> Listeners;
  cluster::ClusterView View;
  std::uint64_t ViewDigest = 0;
  cluster::FleetPlan Plan;
  /// When one of Plan.Sources last answered.
  base::BootTime SourceHeardAt{};
  ServerDirectory Directory;
  base::BootTime ConfigConfirmedAt{};
  std::map<base::GroupName, std::uint64_t> RevokedEpochs;
  std::optional<cluster::Configuration> Config;
  std::string ConfigDocument;
  base::BootTime StoreConfirmedAt{};
  base::BootTime LastSync{};
  /// The last round that asked more than the usual sources.
  base::BootTime LastWideSync{};
  bool PositionsWanted = false;
  bool SyncRunning = false;
  bool Registering = false;
  bool Leaving = false;
  int ChangesPending = 0;
  /// Until then a change whose reply was lost may still take effect.
  base::BootTime UncertainUntil{};
  kernel::Timer Ticker;
  std::minstd_rand Random;
};

} // namespace baobabpin::control
