/// Rules over several resources, checked before a change is written.
#pragma once

#include "baobabpin/base/Errors.h"
#include "baobabpin/resources/ResourceCatalog.h"
#include "baobabpin/resources/SpecCodec.h"

#include <optional>
#include <utility>
#include <vector>

namespace baobabpin::resources {

/// Checks that \p id may become \p spec (empty: be deleted) on top of
/// \p present. Fails with InvalidResource, naming the field, when
/// - a group uses a server ID or an address of another group,
/// - a new group has an even number of servers,
/// - a group's server list differs from the present one by more than one
///   server; a server with a new address counts as two,
/// - an allowance names a database that no group serves, or the last group of
///   a database with an allowance is deleted,
/// - a second admission or allowance speaks for the same database or class,
/// - a planned stop names an unknown server, or a primary of an unknown group.
base::Result<void> validateChange(const ResourceCatalog &present,
                                  const ResourceId &id,
                                  const std::optional<Spec> &spec);

/// Checks \p changes one after the other, each on top of those before it, in
/// the order of the kinds. A failure also carries the refused ResourceId.
base::Result<void>
validateAll(ResourceCatalog present,
            std::vector<std::pair<ResourceId, Spec>> changes);

/// Number of servers that are in one list only; the same ID under another
/// address counts twice.
std::size_t countServerChanges(const DatabaseGroup &before,
                               const DatabaseGroup &after);

} // namespace baobabpin::resources
