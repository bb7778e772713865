#include "baobabpin/distribution/Patch.h"

#include "baobabpin/base/Hash.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace baobabpin::distribution {
namespace {

/// Base-2 logarithm of the smallest and largest window. A match can refer back
/// by at most the window.
constexpr int MinWindowLog = 10;
constexpr int MaxWindowLog = 25;

using CompressorPtr = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using DecompressorPtr = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

/// Returns the window that covers both texts, so that the end of the new text
/// can refer to the start of the old one.
int windowLogFor(std::size_t bytes) {
  return std::clamp(static_cast<int>(std::bit_width(bytes)), MinWindowLog,
                    MaxWindowLog);
}

} // namespace

std::optional<Patch> makePatch(const Document &from, const Document &to) {
  if (to.Text.size() > MaxTextSize)
    return std::nullopt;
  CompressorPtr compressor(ZSTD_createCCtx(), &ZSTD_freeCCtx);
  ZSTD_CCtx_setParameter(compressor.get(), ZSTD_c_windowLog,
                         windowLogFor(from.Text.size() + to.Text.size()));
  ZSTD_CCtx_refPrefix(compressor.get(), from.Text.data(), from.Text.size());
  Patch patch;
  patch.Bytes.resize(ZSTD_compressBound(to.Text.size()));
  std::size_t n =
      ZSTD_compress2(compressor.get(), patch.Bytes.data(), patch.Bytes.size(),
                     to.Text.data(), to.Text.size());
  if (ZSTD_isError(n))
    return std::nullopt;
  patch.Bytes.resize(n);
  patch.Bytes.shrink_to_fit();
  patch.Header = {.FromVersion = from.Version,
                  .ToVersion = to.Version,
                  .StoredAt = to.StoredAt,
                  .TextHash = base::hash64(to.Text),
                  .TextSize = to.Text.size(),
                  .PatchSize = n};
  return patch;
}

std::optional<Document> applyPatch(const Document &from, const Patch &patch) {
  const PatchHeader &header = patch.Header;
  bool complete = patch.Bytes.size() == header.PatchSize;
  if (!complete || header.TextSize > MaxTextSize ||
      header.FromVersion != from.Version)
    return std::nullopt;
  DecompressorPtr decompressor(ZSTD_createDCtx(), &ZSTD_freeDCtx);
  ZSTD_DCtx_setParameter(decompressor.get(), ZSTD_d_windowLogMax, MaxWindowLog);
  ZSTD_DCtx_refPrefix(decompressor.get(), from.Text.data(), from.Text.size());
  Document document{header.ToVersion, header.StoredAt, {}};
  document.Text.resize(header.TextSize);
  std::size_t n = ZSTD_decompressDCtx(decompressor.get(), document.Text.data(),
                                      document.Text.size(), patch.Bytes.data(),
                                      patch.Bytes.size());
  if (ZSTD_isError(n) || n != header.TextSize ||
      base::hash64(document.Text) != header.TextHash)
    return std::nullopt;
  return document;
}

} // namespace baobabpin::distribution
