/// Specs as JSON values, for the codecs of this package.
#pragma once

#include "baobabpin/base/Errors.h"
#include "baobabpin/resources/Kinds.h"

#include <nlohmann/json.hpp>

namespace baobabpin::resources::internal {

nlohmann::json specToJson(const Spec &spec);
base::Result<Spec> specFromJson(ResourceKind kind, const nlohmann::json &value);

} // namespace baobabpin::resources::internal
