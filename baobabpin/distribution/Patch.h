/// Compressed differences between versions of a document.
///
/// \code
///   std::optional<Patch> patch = makePatch(oldDocument, newDocument);
///   std::optional<Document> copy = applyPatch(oldDocument, *patch);
/// \endcode
///
/// The same two documents give the same bytes on every node, so the pieces of a
/// patch may come from different nodes.
#pragma once

#include "baobabpin/base/StorePosition.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace baobabpin::distribution {

/// One version of a document that is kept in the store.
struct Document {
  /// Increases with every change; 0 means that there is no document.
  std::uint64_t Version = 0;
  /// Where the store has the entry with this version.
  base::StorePosition StoredAt;
  std::string Text;

  bool operator==(const Document &) const = default;
};

/// What a patch applies to and what it gives.
struct PatchHeader {
  /// The version that the patch applies to. 0 if it contains the whole text.
  std::uint64_t FromVersion = 0;
  std::uint64_t ToVersion = 0;
  /// Document::StoredAt of the new version.
  base::StorePosition StoredAt;
  /// base::hash64() of the new text.
  std::uint64_t TextHash = 0;
  /// The size of the new text, in bytes.
  std::size_t TextSize = 0;
  /// The size of the patch, in bytes.
  std::size_t PatchSize = 0;

  bool operator==(const PatchHeader &) const = default;
};

struct Patch {
  PatchHeader Header;
  std::string Bytes;
};

/// The largest text that applyPatch() accepts, so that a malformed header
/// cannot exhaust the memory. The store accepts values of up to 1 MiB.
inline constexpr std::size_t MaxTextSize = 8U << 20;

/// Returns a patch from \p from to \p to. With \p from of version 0 it contains
/// the whole compressed text. Returns nothing if the text is too large or the
/// compression fails.
std::optional<Patch> makePatch(const Document &from, const Document &to);

/// Returns the new document, or nothing if \p patch is malformed or does not
/// belong to \p from.
std::optional<Document> applyPatch(const Document &from, const Patch &patch);

} // namespace baobabpin::distribution
