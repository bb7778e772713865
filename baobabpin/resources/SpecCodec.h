/// Conversion of specs to and from JSON, with strict checks: unknown and
/// repeated keys, wrong types and values out of range are refused with an error
/// that names the field and what it accepts.
///
/// \code
///   handleInvalid(
///       [&] { return parseSpec(kind, json); },
///       [](const base::Failure &failure, const FieldError &field) { ... });
/// \endcode
#pragma once

#include "baobabpin/base/Errors.h"
#include "baobabpin/resources/Kinds.h"

#include <string>
#include <string_view>

namespace baobabpin::resources {

/// The platform's store accepts no larger value.
inline constexpr std::size_t MaxValueBytes = 1'000'000;

/// Accompanies a Failure of type InvalidResource.
struct FieldError {
  std::string Path;     ///< Such as "spec.servers[1].address".
  std::string Problem;  ///< What is wrong there.
  std::string Accepted; ///< What the field accepts.
};

/// "spec.slots: 0 is out of range; accepted: integer 1..64".
std::string formatFieldError(const FieldError &error);

/// Starts a failed result that carries both error objects.
base::leaf::error_id failField(FieldError error);

/// Like base::handleFailure, with the field error; its Path is empty when the
/// failure concerns no field.
template <typename Body, typename OnFailure>
auto handleInvalid(Body body, OnFailure onFailure) {
  return base::leaf::try_handle_all(
      body,
      [&](const base::Failure &failure, const FieldError *field) {
        return onFailure(failure, field ? *field : FieldError{});
      },
      [&] {
        return onFailure(
            base::Failure{base::ErrorType::Internal, "unspecified failure"},
            FieldError{});
      });
}

/// Fails with InvalidResource, or RequestTooLarge above MaxValueBytes.
base::Result<Spec> parseSpec(ResourceKind kind, std::string_view json);

/// Canonical JSON on one line: every field, keys in alphabetical order. Equal
/// specs print equally.
std::string printSpec(const Spec &spec);

/// The same over several lines, indented by two spaces.
std::string prettySpec(const Spec &spec);

/// 1 to 128 letters, digits, '.', '_' and '-', not beginning with '.' or '-'.
bool isValidName(std::string_view name);

/// Fails with InvalidResource naming \p path unless isValidName.
base::Result<void> checkName(std::string_view name, const std::string &path);

} // namespace baobabpin::resources
