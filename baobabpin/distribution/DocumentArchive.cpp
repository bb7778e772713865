#include "baobabpin/distribution/DocumentArchive.h"

#include <algorithm>
#include <utility>

namespace baobabpin::distribution {
namespace {

const Document NoDocument;

} // namespace

bool DocumentArchive::add(Document document) {
  if (document.Version <= newest().Version)
    return false;
  Versions.push_back(std::move(document));
  if (Versions.size() > KeptVersions)
    Versions.pop_front();
  return true;
}

const Document &DocumentArchive::newest() const {
  return Versions.empty() ? NoDocument : Versions.back();
}

const Patch *DocumentArchive::findPatch(std::uint64_t from, std::uint64_t to) {
  auto it = std::ranges::find_if(Patches, [&](const Patch &patch) {
    return patch.Header.FromVersion == from && patch.Header.ToVersion == to;
  });
  if (it == Patches.end())
    return nullptr;
  std::rotate(it, it + 1, Patches.end());
  return &Patches.back();
}

const Patch *DocumentArchive::patchFor(std::uint64_t haveVersion,
                                       std::uint64_t wantedVersion) {
  const Document &to = newest();
  if (to.Version <= haveVersion)
    return nullptr;
  auto from = std::ranges::find(Versions, haveVersion, &Document::Version);
  const Document &known = from == Versions.end() ? NoDocument : *from;
  for (std::uint64_t base : {haveVersion, std::uint64_t{0}}) {
    if (const Patch *patch = findPatch(base, wantedVersion))
      return patch;
  }
  if (const Patch *patch = findPatch(known.Version, to.Version))
    return patch;
  auto patch = makePatch(known, to);
  if (!patch)
    return nullptr;
  Patches.push_back(std::move(*patch));
  if (Patches.size() > KeptPatches)
    Patches.pop_front();
  return &Patches.back();
}

} // namespace baobabpin::distribution
