/// How resources are kept in the platform's store: key
/// "resources/<kind>/<name>", value {"mark": ..., "spec": {...}}.
#pragma once

#include "baobabpin/resources/SpecCodec.h"

#include <optional>
#include <string>
#include <string_view>

namespace baobabpin::resources {

inline constexpr std::string_view KeyPrefix = "resources/";

std::string storeKey(const ResourceId &id);

/// Fails with UnknownKind or InvalidResource.
base::Result<ResourceId> parseStoreKey(std::string_view key);

/// The value of a key. The writer draws a random Mark for each write, so that a
/// writer whose answer was lost can tell from the mark whether it won.
struct StoredValue {
  std::string Mark;
  Spec ResourceSpec;
};

/// Fails with RequestTooLarge above MaxValueBytes.
base::Result<std::string> encodeStored(const StoredValue &value);

/// Fails with InvalidResource or RequestTooLarge.
base::Result<StoredValue> decodeStored(ResourceKind kind,
                                       std::string_view value);

} // namespace baobabpin::resources
