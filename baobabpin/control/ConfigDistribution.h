/// Brings the operators' configuration from the store to every node.
///
/// The node that reads the store asks it for a newer version at short
/// intervals; the reply is small unless there is one. Every other node learns
/// from its synchronisations that a newer version exists, and fetches a
/// compressed patch in pieces (distribution/PatchTransfer.h) from a node that
/// is near to it: one node of each availability zone fetches from the reader,
/// the others of the zone from that node. Pieces are paced
/// (distribution/BulkPace.h), so that a large configuration does not delay the
/// renewal of leases on the same link.
#pragma once

#include "baobabpin/cluster/Types.h"
#include "baobabpin/control/PeerCalls.h"
#include "baobabpin/distribution/BulkPace.h"
#include "baobabpin/distribution/DocumentArchive.h"
#include "baobabpin/distribution/PatchTransfer.h"
#include "baobabpin/http/HttpServer.h"
#include "baobabpin/kernel/LineLog.h"
#include "platform/PlatformStore.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace baobabpin::control {

/// Another node, and the endpoint for calls to it.
struct PeerNode {
  std::string Name;
  http::Endpoint Endpoint;
};

class ConfigDistribution {
public:
  ConfigDistribution(kernel::EventLoop &loop, platform::PlatformStore &store,
                     PeerCaller &caller, kernel::LineLog &log,
                     std::int64_t linkMegabits);

  /// Returns the nodes to fetch from, the preferred first.
  std::function<std::vector<PeerNode>()> Sources;
  /// Called after a newer configuration has been adopted.
  std::function<void()> OnAdopted;

  /// Returns null until a configuration is known.
  const cluster::Configuration *configuration() const;
  /// Returns 0 until a configuration is known.
  std::uint64_t version() const { return Archive.newest().Version; }
  /// Returns the time at which the configuration was last known to be the
  /// newest one: when the store was asked that had nothing newer, or a peer
  /// that knew of nothing newer.
  base::BootTime confirmedAt() const { return ConfirmedAt; }
  /// Returns whether a transfer from a peer is making progress.
  bool isFetching(base::BootTime now) const;

  /// Answers the peers' requests for pieces.
  void servePeers(http::HttpServer &server);
  /// Asks the store for a newer version, unless such a call is in progress.
  void readStore();
  /// A peer has \p peerVersion, which was the newest one at \p newestAt.
  void onPeerVersion(const PeerNode &peer, std::uint64_t peerVersion,
                     base::BootTime newestAt);
  /// Continues a transfer that waits to be retried.
  void tick(base::BootTime now);

private:
  void onStoreReply(const platform::ChangedEntry &reply, base::BootTime sentAt);
  void onPieceRequest(const distribution::PieceRequest &request,
                      const http::ResponderPtr &responder);
  void requestPiece();
  void onPiece(const std::optional<std::string> &body,
               const std::string &source);
  /// Uses the next source if the present one has made no progress for a while.
  void retryPiece(base::BootTime now);
  void completeTransfer(const std::string &source);
  enum class Adoption { Adopted, NotNewer, Unreadable };
  /// Changes nothing unless the document is readable and newer than the present
  /// one. A document of version 0 has the version that its text states. The
  /// document was the newest one at \p newestAt, if that is given.
  Adoption adopt(distribution::Document document, std::string_view source,
                 base::BootTime newestAt = {});

  kernel::EventLoop &Loop;
  platform::PlatformStore &Store;
  PeerCaller &Caller;
  kernel::LineLog &Log;
  distribution::BulkPace Pace;
  distribution::DocumentArchive Archive;
  std::optional<cluster::Configuration> Config;
  base::BootTime ConfirmedAt{};

  bool ReadingStore = false;
  bool StoreAvailable = true;
  /// Where the store had the last entry that it returned, which may have been
  /// unreadable.
  base::StorePosition SeenAt;
  /// The store's newest entry could not be read. Until it is replaced, the
  /// present configuration is not known to be the newest one.
  bool NewestUnreadable = false;

  distribution::PatchTransfer Transfer;
  /// The newest version that a peer has reported.
  std::uint64_t OfferedVersion = 0;
  base::BootTime OfferedNewestAt{};
  /// The peer that reported OfferedVersion, for the case that no other source
  /// makes progress.
  PeerNode OfferedBy;
  std::size_t SourceIndex = 0;
  /// When the last piece arrived, or the transfer began.
  base::BootTime ProgressAt{};
  /// When the last request was sent.
  base::BootTime RequestedAt{};
  /// The last time at which the present source brought a piece, or the time at
  /// which it replaced another source.
  base::BootTime SourceSince{};
  base::BootTime NextRequestAt{};
  bool PieceOutstanding = false;
  /// The last patch did not fit, so the whole text is requested.
  bool WholeTextWanted = false;
};

} // namespace baobabpin::control
