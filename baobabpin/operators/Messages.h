/// Conversion between the operators' messages and this package's types.
#pragma once

#include "baobabpin/operators/ResourceChange.h"
#include "baobabpin/operators/ResourceWatch.h"
#include "baobabpin/proto/operators.pb.h"

#include <string>

namespace baobabpin::operators {

/// Fails with UnknownKind, or InvalidResource for an impossible name.
base::Result<resources::ResourceId> readResourceId(const std::string &kind,
                                                   const std::string &name);

/// Reads kind, name, spec and mark; fails as parseSpec and readResourceId do.
base::Result<ChangeRequest> readApply(const proto::ApplyRequest &message);
base::Result<ChangeRequest> readDelete(const proto::DeleteRequest &message);

/// An empty kind matches all kinds.
base::Result<WatchFilter> readFilter(const std::string &kind,
                                     const std::string &name);

void writeError(const ChangeError &error, proto::OperatorError &message);
void writeFailure(const base::Failure &failure, proto::OperatorError &message);
void writeResource(const resources::ResourceId &id, std::uint64_t version,
                   const resources::Spec &spec, proto::Resource &message);
void writeStatus(const ResourceStatus &status, proto::ResourceStatus &message);
proto::WatchEvent makeWatchEvent(const WatchUpdate &update);

/// Runs \p body, which returns Result<T>; its failure goes to \p message and
/// the result is empty then.
template <typename T, typename Body>
std::optional<T> readOrReport(proto::OperatorError &message, Body body) {
  return resources::handleInvalid(
      [&]() -> base::Result<std::optional<T>> {
        BOOST_LEAF_AUTO(value, body());
        return std::optional<T>(std::move(value));
      },
      [&](const base::Failure &failure, const resources::FieldError &field) {
        writeError({failure, field}, message);
        return std::optional<T>();
      });
}

} // namespace baobabpin::operators
