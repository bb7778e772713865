/// Field-by-field comparison of two specs.
#pragma once

#include "baobabpin/resources/Kinds.h"

#include <optional>
#include <string>
#include <vector>

namespace baobabpin::resources {

/// One field that differs; values are JSON, empty where the field is absent.
struct FieldChange {
  std::string Path; ///< Such as "servers[1].address".
  std::string Before;
  std::string After;

  bool operator==(const FieldChange &) const = default;
};

/// Changes in the order of their paths; empty when the specs are equal. An
/// empty spec stands for a resource that does not exist.
std::vector<FieldChange> canonicalDiff(const std::optional<Spec> &before,
                                       const std::optional<Spec> &after);

} // namespace baobabpin::resources
