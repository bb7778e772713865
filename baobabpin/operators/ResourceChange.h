/// One operator's change, from validation to its commit in the store.
///
/// The change takes effect at most once for a mark: a repeat of a request whose
/// answer was lost finds its mark in the store and succeeds without a write.
#pragma once

#include "baobabpin/operators/ResourceBackend.h"
#include "baobabpin/resources/SpecCodec.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace baobabpin::operators {

struct ChangeRequest {
  resources::ResourceId Id;
  /// Empty: delete.
  std::optional<resources::Spec> NewSpec;
  /// The version that the change is based on; 0 creates.
  std::uint64_t ExpectedVersion = 0;
  /// Ignores ExpectedVersion and replaces whatever is stored.
  bool AnyVersion = false;
  /// Stops after validation.
  bool DryRun = false;
  std::string Mark;
};

struct ChangeError {
  base::Failure Reason;
  resources::FieldError Field;
  /// The stored version, for a conflict.
  std::uint64_t CurrentVersion = 0;
  /// The change may have taken effect.
  bool OutcomeUnknown = false;
};

struct ChangeReply {
  std::optional<ChangeError> Error;
  /// The stored version after the change; 0 after a deletion.
  std::uint64_t Version = 0;
  /// Whether the stored spec differs from before.
  bool Changed = false;
};

/// Runs the change and calls \p callback once, unless \p backend is destroyed
/// first. Errors: Conflict (another version is stored, or the previous change
/// of a server list is not in force yet), NotFound (deletion), InvalidResource
/// (contradicts another resource), StoreUnavailable.
void changeResource(ResourceBackend &backend, ChangeRequest request,
                    std::function<void(ChangeReply)> callback);

/// A random mark of 32 hex digits.
std::string drawMark();

} // namespace baobabpin::operators
