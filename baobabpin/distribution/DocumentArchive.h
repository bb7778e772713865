/// The recent versions of a document, and the patches between them that a node
/// sends to its peers.
///
/// A patch that has been requested stays available while newer versions arrive,
/// so that a slow peer can complete its transfer.
#pragma once

#include "baobabpin/distribution/Patch.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace baobabpin::distribution {

/// The number of versions that are kept as a base of patches. A peer with an
/// older version gets the whole text.
inline constexpr std::size_t KeptVersions = 4;
inline constexpr std::size_t KeptPatches = 12;

class DocumentArchive {
public:
  /// Adds a version. Returns false, and changes nothing, unless it is newer
  /// than newest().
  bool add(Document document);
  /// Returns the newest version, or a document of version 0.
  const Document &newest() const;
  /// Returns a patch for a peer that has \p haveVersion. It leads to
  /// \p wantedVersion if that patch is still available, and to the newest
  /// version otherwise. Returns null if there is nothing newer than
  /// \p haveVersion. The pointer is valid until the next call.
  const Patch *patchFor(std::uint64_t haveVersion, std::uint64_t wantedVersion);

private:
  /// Returns the kept patch, and marks it as the last one used.
  const Patch *findPatch(std::uint64_t from, std::uint64_t to);

  std::deque<Document> Versions;
  /// The last one used comes last.
  std::deque<Patch> Patches;
};

} // namespace baobabpin::distribution
