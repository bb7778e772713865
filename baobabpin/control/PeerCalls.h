/// Calls between nodes: small JSON bodies over HTTP, a few per second between a
/// node and its sync source.
#pragma once

#include "baobabpin/base/BootClock.h"
#include "baobabpin/cluster/ClusterView.h"
#include "baobabpin/cluster/PositionHistory.h"
#include "baobabpin/http/ConnectionPool.h"
#include "baobabpin/kernel/EventLoop.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace baobabpin::control {

inline constexpr const char *SyncPath = "/peer/sync";
inline constexpr const char *RevokePath = "/peer/revoke";
inline constexpr const char *EvidencePath = "/peer/evidence";
inline constexpr const char *RecordsPath = "/peer/records";

/// Asks for everything that is newer than what the caller knows.
struct SyncRequest {
  std::string Node;
  /// The position of the caller's view in the store's history.
  base::StorePosition ViewPosition;
  std::uint64_t ViewDigest = 0;
  std::uint64_t ServersDigest = 0;
  /// Records that the caller has just changed (cluster::encodeGroupChange), or
  /// empty.
  std::string Change;
};

/// The position of a primary, and its age at the time of the reply.
struct PositionReport {
  std::uint64_t Epoch = 0;
  base::LogPosition Position;
  std::chrono::milliseconds Age{0};
};

/// What the peer knows, with the age of each part at the time of the reply.
struct SyncReply {
  /// The peer's view (cluster::encodeView) if it is not older than the caller's
  /// and has other records, or empty.
  std::string View;
  base::StorePosition ViewPosition;
  /// The time since the view was confirmed, and since the store confirmed it.
  std::chrono::milliseconds ViewAge{0};
  std::chrono::milliseconds StoreAge{0};
  /// The version of the peer's configuration, and the time since it was last
  /// known to be the newest one.
  std::uint64_t ConfigVersion = 0;
  std::chrono::milliseconds ConfigAge{0};
  /// All valid registrations if they differ from the caller's.
  std::optional<std::vector<cluster::ServerRegistration>> Servers;
  std::chrono::milliseconds ServersAge{0};
  /// The peer cannot confirm a view, because the outcome of a change of records
  /// is unknown or because it is not registered.
  bool CannotConfirm = false;
  std::map<base::GroupName, PositionReport> Positions;
};

/// Asks a node to stop using the primary of \p Epoch and of all earlier epochs.
struct RevokeRequest {
  base::GroupName Group;
  std::uint64_t Epoch = 0;
  /// The era of the store in which the failover was announced.
  std::uint64_t Era = 0;
  /// The record that announces the failover (cluster::encodeGroupChange).
  std::string Change;
};

/// Asks what a node knows about the primaries of several groups. When a zone is
/// lost, many primaries are suspected at once; one call for each group would
/// need a connection for each.
struct EvidenceRequest {
  /// For each group, whether the caller has itself observed that the primary
  /// may have failed or is leaving, or takes over a stalled failover. Otherwise
  /// it polls because a peer reported a suspicion.
  std::map<base::GroupName, bool> Suspected;
};

/// What the replying node knows about one group's primary.
struct GroupEvidence {
  /// The time since the last reply of the group's primary to this node.
  std::optional<std::chrono::milliseconds> PrimaryReplyAge;
  /// This node is running a failover of the group.
  bool FailoverInProgress = false;
  /// The replying node was late, and does not know whether the primary is
  /// alive.
  bool Unsure = false;
};

struct EvidenceReply {
  /// The replying node itself has read the records from the store within the
  /// last two seconds, and may take the promotion duty.
  bool CanCoordinate = false;
  std::map<base::GroupName, GroupEvidence> Groups;
};

/// Asks what a node knew of the groups' primaries before the store was
/// restored.
struct RecordsRequest {
  /// The era that the restore began. The node confirms and acknowledges nothing
  /// of an earlier era from now on.
  std::uint64_t Era = 0;
};

struct RecordsReply {
  /// This run of the node was registered before the store was restored.
  /// Otherwise it may not remember what it acknowledged.
  bool KnewEarlierEra = false;
  std::map<base::GroupName, cluster::KnownRecord> Groups;
};

std::string encode(const SyncRequest &it);
std::string encode(const SyncReply &it);
std::string encode(const RevokeRequest &it);
std::string encode(const EvidenceReply &it);
std::string encode(const EvidenceRequest &it);
std::string encode(const RecordsRequest &it);
std::string encode(const RecordsReply &it);
/// Returns a hash that identifies a list of registrations.
std::uint64_t digestOf(const std::vector<cluster::ServerRegistration> &servers);
std::optional<SyncRequest> decodeSyncRequest(const std::string &text);
std::optional<SyncReply> decodeSyncReply(const std::string &text);
std::optional<RevokeRequest> decodeRevokeRequest(const std::string &text);
std::optional<EvidenceReply> decodeEvidenceReply(const std::string &text);
std::optional<EvidenceRequest> decodeEvidenceRequest(const std::string &text);
std::optional<RecordsRequest> decodeRecordsRequest(const std::string &text);
std::optional<RecordsReply> decodeRecordsReply(const std::string &text);

/// Sends calls to other nodes over pooled connections.
class PeerCaller {
public:
  explicit PeerCaller(kernel::EventLoop &loop) : Loop(loop) {}

  /// The callback gets the body of the reply, or nothing when the call failed.
  void call(const http::Endpoint &peer, const std::string &path,
            const std::string &body, std::chrono::milliseconds timeout,
            const std::function<void(std::optional<std::string>)> &callback);

private:
  kernel::EventLoop &Loop;
  std::map<http::Endpoint, http::ConnectionPool> Connections;
};

} // namespace baobabpin::control
