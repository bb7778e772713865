#include "baobabpin/control/ClusterService.h"

#include <algorithm>
#include <utility>

namespace baobabpin::control {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds SyncTimeout{300};
/// In a large fleet, a node that looks for a newer view asks this many monitors
/// in addition to its sync sources.
constexpr std::size_t SampledMonitors = 3;
constexpr int HttpBadRequest = 400;
constexpr int HttpConflict = 409;

} // namespace

/// One synchronisation: a request to each of several peers at the same time.
struct ClusterService::SyncRound {
  base::BootTime SentAt{};
  std::size_t Outstanding = 0;
  /// The number of replies without SyncReply::CannotConfirm. They confirm the
  /// view only if RepliesCannotConfirm is not set below.
  std::size_t Confirmations = 0;
  /// The replies cannot confirm the view: only the usual sync source was asked,
  /// no nodes are known, or a reply brought a view, so that earlier replies may
  /// refer to older records.
  bool RepliesCannotConfirm = false;
};

std::vector<PeerNode> ClusterService::syncTargets(bool wide) {
  std::vector<PeerNode> targets;
  if (!wide)
    targets = peersNamed({Plan.SyncSources.front()});
  else if (Plan.isConfirming(Self.Node))
    targets = peers();
  else if (Plan.IsMonitor)
    targets = monitors();
  else
    targets = sampleTargets();
  if (!targets.empty())
    return targets;
  // Without known nodes, the seed nodes of the settings are asked.
  for (const auto &it : Settings.Seeds) {
    if (it != Settings.Peers)
      targets.push_back({{}, it});
  }
  return targets;
}

std::vector<PeerNode> ClusterService::configSources() const {
  std::vector<std::string> names{firstMonitorOfZone()};
  for (const auto &it : Plan.SyncSources) {
    if (it != names.front())
      names.push_back(it);
  }
  return peersNamed(names);
}

std::vector<PeerNode> ClusterService::sampleTargets() {
  std::vector<std::string> names = Plan.SyncSources;
  std::ranges::sample(Plan.Monitors, std::back_inserter(names), SampledMonitors,
                      Random);
  std::ranges::sort(names);
  names.erase(std::unique(names.begin(), names.end()), names.end());
  auto targets = peersNamed(names);
  std::ranges::sample(peers(), std::back_inserter(targets), 1, Random);
  return targets;
}

void ClusterService::syncWith(const std::vector<PeerNode> &targets, bool wide) {
  if (targets.empty())
    return;
  auto round = std::make_shared<SyncRound>();
  round->SentAt = base::BootClock::now();
  round->Outstanding = targets.size();
  round->RepliesCannotConfirm = !wide || View.Nodes.empty();
  LastSync = round->SentAt;
  if (wide) {
    LastWideSync = round->SentAt;
    PositionsWanted = false;
  }
  SyncRunning = true;
  std::string body = encode(syncRequest());
  for (const auto &it : targets) {
    Caller->call(it.Endpoint, SyncPath, body, SyncTimeout,
                 [this, round, it](const auto &reply) {
                   onSyncReply(round, it, reply);
                 });
  }
}

void ClusterService::onSyncReply(const std::shared_ptr<SyncRound> &round,
                                 const PeerNode &peer,
                                 const std::optional<std::string> &body) {
  auto reply = body ? decodeSyncReply(*body) : std::nullopt;
  if (reply && !reply->CannotConfirm)
    ++round->Confirmations;
  if (reply) {
    if (std::ranges::find(Plan.SyncSources, peer.Name) !=
        Plan.SyncSources.end())
      SourceRepliedAt = base::BootClock::now();
    adoptReply(*round, peer, *reply);
  }
  confirmByQuorum(*round);
  if (--round->Outstanding == 0)
    SyncRunning = false;
}

void ClusterService::adoptReply(SyncRound &round, const PeerNode &peer,
                                const SyncReply &reply) {
  auto confirmed = round.SentAt - reply.ViewAge;
  auto storeConfirmed = round.SentAt - reply.StoreAge;
  noteEra(reply.ViewPosition.Era, peer.Name);
  if (!reply.View.empty()) {
    auto view = cluster::decodeView(reply.View);
    view.ConfirmedAt = confirmed;
    view.StoreConfirmedAt = storeConfirmed;
    round.RepliesCannotConfirm = true;
    adoptView(std::move(view), peer.Name);
    ensureRegistered();
  } else if (reply.ViewPosition.Era == View.Era &&
             reply.ViewPosition.Revision >= View.Revision) {
    View.Revision = reply.ViewPosition.Revision;
    View.ConfirmedAt = std::max(View.ConfirmedAt, confirmed);
    View.StoreConfirmedAt = std::max(View.StoreConfirmedAt, storeConfirmed);
  }
  Config->onPeerVersion(peer, reply.ConfigVersion,
                        round.SentAt - reply.ConfigAge);
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
  bool offlineTooLong =
      round.SentAt - View.StoreConfirmedAt > cluster::OfflineLimit;
  if (round.RepliesCannotConfirm || round.Confirmations + 1 < quorum ||
      offlineTooLong || hasUncertainChange())
    return;
  View.ConfirmedAt = std::max(View.ConfirmedAt, round.SentAt);
}

SyncRequest ClusterService::syncRequest() const {
  return {.Node = Self.Node,
          .ViewPosition = cluster::positionOf(View),
          .ViewDigest = ViewDigest,
          .ServersDigest = Directory.digest()};
}

std::string ClusterService::pingBody() const {
  auto request = syncRequest();
  request.ViewPosition.Revision = ~std::uint64_t{0};
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
  serve(RecordsPath, decodeRecordsRequest, &ClusterService::onRecordsRequest);
  Config->servePeers(*PeerServer);
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
  // A pushed record carries no confirmation time, so it does not extend the
  // lease.
  noteEra(request.ViewPosition.Era, request.Node);
  adoptChange(request.Change, request.Node);
  SyncReply reply;
  reply.ViewPosition = cluster::positionOf(View);
  if (reply.ViewPosition >= request.ViewPosition &&
      ViewDigest != request.ViewDigest)
    reply.View = cluster::encodeView(View);
  auto now = base::BootClock::now();
  auto age = [now](base::BootTime since) {
    return std::chrono::ceil<milliseconds>(now - since);
  };
  reply.ViewAge = age(View.ConfirmedAt);
  reply.StoreAge = age(View.StoreConfirmedAt);
  reply.ConfigVersion = Config->version();
  reply.ConfigAge = age(Config->confirmedAt());
  reply.ServersAge = age(Directory.confirmedAt());
  if (request.ServersDigest != Directory.digest())
    reply.Servers = Directory.registrations();
  // A process that is not registered under its own incarnation may have lost a
  // revocation that it acknowledged before a restart.
  reply.CannotConfirm =
      hasUncertainChange() || Deregistering || !isRegistered();
  if (Hooks.Positions)
    reply.Positions = Hooks.Positions();
  responder->json(200, encode(reply));
}

void ClusterService::onRevoke(const RevokeRequest &request,
                              const http::ResponderPtr &responder) {
  noteEra(request.Era, "revoke");
  // A failover that was announced before the store was restored must not go on:
  // this node may have told another coordinator that it knows of none.
  if (request.Era < LatestEra) {
    responder->json(HttpConflict, "{}");
    return;
  }
  revoke(request.Group, request.Epoch);
  adoptChange(request.Change, "revoke");
  // The caller asks again, or waits for the lease of this node.
  if (Hooks.MayPromoteLate && Hooks.MayPromoteLate(request.Group)) {
    responder->json(HttpConflict, "{}");
    return;
  }
  Hooks.DrainPrimary(request.Group,
                     [responder] { responder->json(200, "{}"); });
}

void ClusterService::onRecordsRequest(const RecordsRequest &request,
                                      const http::ResponderPtr &responder) {
  noteEra(request.Era, "records");
  bool knows = View.Era < request.Era ? canVouchFor(View) : KnewEarlierEra;
  RecordsReply reply{knows, {}};
  for (const auto &[group, it] : View.Groups)
    reply.Groups[group] = {it.Value.Epoch, it.Value.FailoverInProgress};
  responder->json(200, encode(reply));
}

void ClusterService::onEvidence(const EvidenceRequest &request,
                                const http::ResponderPtr &responder) {
  EvidenceReply reply{.CanCoordinate = canCoordinate()};
  for (const auto &[group, suspected] : request.Suspected) {
    // Only a suspicion makes this node poll its peers in turn; otherwise two
    // nodes would poll each other forever.
    if (suspected)
      Hooks.OnPrimarySuspected(group);
    auto age = Hooks.PrimaryReplyAge(group);
    bool confirmsAlive = age && *age < cluster::AliveReplyAge;
    reply.Groups[group] = {age, Hooks.IsFailingOver(group),
                           !confirmsAlive && Hooks.IsUnsure &&
                               Hooks.IsUnsure(group)};
  }
  responder->json(200, encode(reply));
}

} // namespace baobabpin::control
