#include "baobabpin/operators/ResourceChange.h"

#include "baobabpin/resources/Validation.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <random>

namespace baobabpin::operators {
namespace {

using base::ErrorType;
using resources::DatabaseGroup;

/// Attempts to replace any version before a busy resource is a conflict.
constexpr int MaxAnyVersionAttempts = 3;

class ChangeFlow : public std::enable_shared_from_this<ChangeFlow> {
public:
  ChangeFlow(ResourceBackend &backend, ChangeRequest request,
             std::function<void(ChangeReply)> callback)
      : Backend(backend), Request(std::move(request)),
        Callback(std::move(callback)) {}

  void start() {
    Backend.find(Request.Id, [self = shared_from_this()](FindReply reply) {
      self->onPresent(std::move(reply));
    });
  }

private:
  void onPresent(FindReply reply);
  bool isBaseAccepted();
  bool isValid();
  void requirePreviousInForce();
  void write();
  void onWritten(WriteReply reply);
  void readBack(WriteStatus status);
  void onReadBack(WriteStatus status, const FindReply &reply);

  bool isOwnWrite() const {
    return Present && Request.NewSpec && !Request.Mark.empty() &&
           Present->Mark == Request.Mark;
  }
  std::uint64_t presentVersion() const {
    return Present ? Present->Version : 0;
  }
  void succeed(std::uint64_t version, bool changed) {
    Callback({std::nullopt, version, changed});
  }
  void fail(ChangeError error) {
    Callback({std::move(error), presentVersion(), false});
  }
  void failConflict(const std::string &detail) {
    fail({{ErrorType::Conflict, detail}, {}, presentVersion(), false});
  }

  ResourceBackend &Backend;
  ChangeRequest Request;
  std::function<void(ChangeReply)> Callback;
  std::optional<StoredResource> Present;
  int Attempts = 0;
};

void ChangeFlow::onPresent(FindReply reply) {
  if (reply.Error)
    return fail({std::move(*reply.Error)});
  Present = std::move(reply.Found);
  if (isOwnWrite())
    return succeed(Present->Version, true);
  if (!isBaseAccepted())
    return;
  if (Present && Request.NewSpec && Present->ResourceSpec == Request.NewSpec)
    return succeed(Present->Version, false);
  if (!isValid())
    return;
  if (Request.DryRun)
    return succeed(presentVersion(), false);
  requirePreviousInForce();
}

bool ChangeFlow::isBaseAccepted() {
  if (!Request.NewSpec && !Present) {
    fail({{ErrorType::NotFound,
           formatResourceId(Request.Id) + " does not exist"}});
    return false;
  }
  if (Request.AnyVersion || Request.ExpectedVersion == presentVersion())
    return true;
  failConflict("version " + std::to_string(Request.ExpectedVersion) +
               " expected, version " + std::to_string(presentVersion()) +
               " is stored");
  return false;
}

bool ChangeFlow::isValid() {
  return resources::handleInvalid(
      [&]() -> base::Result<bool> {
        BOOST_LEAF_CHECK(resources::validateChange(
            Backend.catalog(), Request.Id, Request.NewSpec));
        return true;
      },
      [&](const base::Failure &failure, const resources::FieldError &field) {
        fail({failure, field});
        return false;
      });
}

/// Nodes with neighbouring server lists have intersecting majorities; nodes
/// whose lists differ by two servers do not.
void ChangeFlow::requirePreviousInForce() {
  const auto *after =
      Request.NewSpec ? std::get_if<DatabaseGroup>(&*Request.NewSpec) : nullptr;
  const auto *before = Present && Present->ResourceSpec
                           ? std::get_if<DatabaseGroup>(&*Present->ResourceSpec)
                           : nullptr;
  if (!after || !before || countServerChanges(*before, *after) == 0)
    return write();
  Backend.inForce(Request.Id, Present->Version,
                  [self = shared_from_this()](const ResourceStatus &status) {
                    if (status.InForce)
                      return self->write();
                    self->failConflict(
                        "the previous change of the server list is not in "
                        "force on " +
                        std::to_string(status.Unconfirmed.size()) + " nodes");
                  });
}

void ChangeFlow::write() {
  ++Attempts;
  std::optional<resources::StoredValue> value;
  if (Request.NewSpec)
    value = resources::StoredValue{Request.Mark, *Request.NewSpec};
  Backend.compareAndSwap(Request.Id, presentVersion(), value,
                         [self = shared_from_this()](WriteReply reply) {
                           self->onWritten(reply);
                         });
}

void ChangeFlow::onWritten(WriteReply reply) {
  switch (reply.Status) {
  case WriteStatus::Written:
    return succeed(Request.NewSpec ? reply.Version : 0, true);
  case WriteStatus::Unavailable:
    return fail({{ErrorType::StoreUnavailable,
                  "the store did not answer; nothing changed"}});
  case WriteStatus::Conflict:
  case WriteStatus::Unknown:
    return readBack(reply.Status);
  }
}

/// A conflict is read back too: an earlier attempt with the same mark may have
/// been the one that won.
void ChangeFlow::readBack(WriteStatus status) {
  Backend.find(Request.Id,
               [self = shared_from_this(), status](const FindReply &reply) {
                 self->onReadBack(status, reply);
               });
}

void ChangeFlow::onReadBack(WriteStatus status, const FindReply &reply) {
  bool isUnknown = status == WriteStatus::Unknown;
  if (reply.Error)
    return fail({*reply.Error, {}, 0, isUnknown});
  std::uint64_t base = presentVersion();
  Present = reply.Found;
  if (isOwnWrite())
    return succeed(Present->Version, true);
  if (isUnknown && !Request.NewSpec && !Present)
    return succeed(0, true);
  // The lost write may still arrive; a repeat on the same version cannot be
  // applied besides it.
  if (isUnknown && presentVersion() == base)
    return fail({{ErrorType::StoreUnavailable,
                  "the store's answer was lost and the change is not visible"},
                 {},
                 base,
                 true});
  if (!isUnknown && Request.AnyVersion && Attempts < MaxAnyVersionAttempts)
    return start();
  failConflict("another writer stored version " +
               std::to_string(presentVersion()));
}

} // namespace

void changeResource(ResourceBackend &backend, ChangeRequest request,
                    std::function<void(ChangeReply)> callback) {
  std::make_shared<ChangeFlow>(backend, std::move(request), std::move(callback))
      ->start();
}

std::string drawMark() {
  std::random_device device;
  std::string mark;
  for (int i = 0; i < 4; ++i) {
    std::array<char, 9> hex{};
    std::snprintf(hex.data(), hex.size(), "%08x", device());
    mark += hex.data();
  }
  return mark;
}

} // namespace baobabpin::operators
