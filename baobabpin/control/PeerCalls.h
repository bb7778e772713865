/// Calls between nodes: small JSON bodies over HTTP, rarely more than one a
/// second between two nodes.
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

/// Asks for whatever is newer than what the caller knows.
struct SyncRequest {
  std::string Node;
  std::uint64_t ViewRevision = 0;
  std::uint64_t ViewDigest = 0;
  std::uint64_t ServersDigest = 0;
  std::uint64_t ConfigVersion = 0;
  /// Records that the caller has just changed (cluster::encodeGroupChange);
  /// empty otherwise.
  std::string Change;
};

/// A primary's position and its age at the time of the reply.
struct PositionReport {
  std::uint64_t Epoch = 0;
  base::LogPosition Position;
  std::chrono::milliseconds Age{0};
};

struct SyncReply {
  /// Set when it is not older than the caller's and has other records.
  std::string View;
  std::uint64_t ViewRevision = 0;
  /// Time since the view was confirmed, and since the store did so.
  std::chrono::milliseconds ViewAge{0};
  std::chrono::milliseconds StoreAge{0};
  /// The configuration document when newer than the caller's.
  std::string Config;
  std::chrono::milliseconds ConfigAge{0};
  /// All usable registrations when they differ from the caller's.
  std::optional<std::vector<cluster::ServerRegistration>> Servers;
  std::chrono::milliseconds ServersAge{0};
  /// A change of the records is under way whose outcome is not known yet, or
  /// the node is not registered.
  bool CannotConfirm = false;
  std::map<base::GroupName, PositionReport> Positions;
};

/// Asks to stop using the primary of \p Epoch and of all earlier epochs.
struct RevokeRequest {
  base::GroupName Group;
  std::uint64_t Epoch = 0;
  /// The record that announces the move (cluster::encodeGroupChange).
  std::string Change;
};

struct EvidenceRequest {
  base::GroupName Group;
  /// The caller itself suspects the primary; otherwise it was asked, too.
  bool Suspected = false;
};

struct EvidenceReply {
  /// Time since the group's primary last answered this node.
  std::optional<std::chrono::milliseconds> PrimaryReplyAge;
  /// The store answered this node within the last second or so.
  bool StoreReachable = false;
  /// This node is moving the group.
  bool FailoverInProgress = false;
};

std::string encode(const SyncRequest &it);
std::string encode(const SyncReply &it);
std::string encode(const RevokeRequest &it);
std::string encode(const EvidenceReply &it);
std::string encode(const EvidenceRequest &it);
/// Identifies a set of registrations.
std::uint64_t digestOf(const std::vector<cluster::ServerRegistration> &servers);
std::optional<SyncRequest> decodeSyncRequest(const std::string &text);
std::optional<SyncReply> decodeSyncReply(const std::string &text);
std::optional<RevokeRequest> decodeRevokeRequest(const std::string &text);
std::optional<EvidenceReply> decodeEvidenceReply(const std::string &text);
std::optional<EvidenceRequest> decodeEvidenceRequest(const std::string &text);

/// Calls other nodes.
class PeerCaller {
public:
  explicit PeerCaller(kernel::EventLoop &loop) : Loop(loop) {}

  /// The callback gets the body of the reply, or nothing.
  void call(const http::Endpoint &peer, const std::string &path,
            const std::string &body, std::chrono::milliseconds timeout,
            const std::function<void(std::optional<std::string>)> &callback);

private:
  kernel::EventLoop &Loop;
  std::map<http::Endpoint, http::ConnectionPool> Connections;
};

} // namespace baobabpin::control
