/// A point in the history of the platform's store.
///
/// The store may be restored from an older copy of its data. A restore undoes
/// the changes since the copy was made and begins a new era, in which the store
/// gives out the revisions of the undone changes again. Revisions are therefore
/// compared within one era only.
#pragma once

#include <compare>
#include <cstdint>

namespace baobabpin::base {

struct StorePosition {
  std::uint64_t Era = 0;
  std::uint64_t Revision = 0;

  /// Positions of a later era are later.
  auto operator<=>(const StorePosition &) const = default;
};

} // namespace baobabpin::base
