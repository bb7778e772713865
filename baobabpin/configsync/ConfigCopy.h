/// A node's copy of the configuration: pure rules for merging records, so that
/// every order of arrival gives the same copy and nothing reverts.
///
/// A copy is *complete* up to a revision when every key that exists in the
/// store at that revision is held at least as new. Records beyond it may have
/// arrived early.
#pragma once

#include "baobabpin/proto/peer.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace baobabpin::configsync {

struct ConfigRecord {
  std::string Key;
  /// Store revision of the value or of its deletion.
  std::uint64_t Revision = 0;
  /// Empty optional: deleted at Revision (a tombstone).
  std::optional<std::string> Value;

  bool operator==(const ConfigRecord &) const = default;
};

struct ConfigCopy {
  std::map<std::string, ConfigRecord> Records;
  std::uint64_t CompleteRevision = 0;
  /// Every deletion after this revision has its tombstone here. A node that
  /// read a snapshot does not know what was deleted before it.
  std::uint64_t DeletionsKnownAfter = 0;
  /// Counts applied records, to notice changes while a pull is under way.
  std::uint64_t Changes = 0;
};

/// Records that changed the copy, in order of application.
using AppliedRecords = std::vector<ConfigRecord>;

/// Applies changes in any order; those not newer than what is held are
/// ignored. Does not move the complete revision.
AppliedRecords applyRecords(ConfigCopy &copy,
                            const std::vector<ConfigRecord> &records);
/// Applies a watch's gapless changes, after which the copy is complete up to
/// \p revision.
AppliedRecords applyChanges(ConfigCopy &copy,
                            const std::vector<ConfigRecord> &records,
                            std::uint64_t revision);
/// Applies everything that the store holds at \p revision; held keys that are
/// missing become tombstones.
AppliedRecords applySnapshot(ConfigCopy &copy,
                             const std::vector<ConfigRecord> &records,
                             std::uint64_t revision);

/// Equal on copies whose existing records up to the complete revision are the
/// same.
std::uint64_t digestHash(const ConfigCopy &copy);

/// What a node does about a peer's digest.
enum class PullKind {
  None,
  Difference, ///< The peer is ahead.
  Full,       ///< Same revision, other records: one missed a deletion.
};
PullKind choosePull(const ConfigCopy &copy, std::uint64_t ownHash,
                    std::uint64_t peerRevision, std::uint64_t peerHash);

/// Replies beyond this are split; gRPC's limit is 4 MB a message, and a single
/// value has at most 1 MB.
inline constexpr std::size_t MaxSyncReplyBytes = 2 << 20;

/// A pull under way.
struct Pull {
  proto::SyncRequest Request;
  /// ConfigCopy::Changes when the request was made.
  std::uint64_t Changes = 0;
};

Pull makePull(const ConfigCopy &copy, PullKind kind);
proto::SyncReply answerSync(const ConfigCopy &copy,
                            const proto::SyncRequest &request,
                            std::size_t maxBytes = MaxSyncReplyBytes);
/// Merges a reply. When it has full_needed set, the asker repeats with
/// PullKind::Full.
AppliedRecords mergeSync(ConfigCopy &copy, const Pull &pull,
                         const proto::SyncReply &reply);

} // namespace baobabpin::configsync
