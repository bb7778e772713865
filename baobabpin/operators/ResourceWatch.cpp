#include "baobabpin/operators/ResourceWatch.h"

#include <utility>
#include <vector>

namespace baobabpin::operators {

using resources::ResourceId;
using resources::ResourceRecord;

ResourceWatch::ResourceWatch(ResourceBackend &backend, WatchFilter filter,
                             Sink sink)
    : Backend(backend), Filter(std::move(filter)), Report(std::move(sink)) {}

void ResourceWatch::start() {
  Subscription = Backend.subscribe(
      [weak = weak_from_this()](const std::optional<ResourceId> &id) {
        if (auto self = weak.lock())
          self->onNotice(id);
      });
  std::vector<ResourceId> present;
  for (const auto &[id, record] : Backend.catalog().records()) {
    if (!Filter.matches(id))
      continue;
    Resources[id].Version = record.Revision;
    present.push_back(id);
  }
  Unreported = present.size();
  for (const auto &it : present)
    askStatus(it);
  reportSyncedOnce();
}

void ResourceWatch::onNotice(const std::optional<ResourceId> &id) {
  if (id) {
    if (Filter.matches(*id))
      onChanged(*id);
    return;
  }
  std::vector<ResourceId> open;
  for (const auto &[followedId, followed] : Resources) {
    // In force is final for a version: nodes that start later hold it too.
    if (!followed.Status.InForce)
      open.push_back(followedId);
  }
  for (const auto &it : open)
    askStatus(it);
}

void ResourceWatch::onChanged(const ResourceId &id) {
  const ResourceRecord *record = Backend.catalog().find(id);
  auto it = Resources.find(id);
  if (!record) {
    if (it == Resources.end())
      return;
    WatchUpdate update{.Id = id, .Version = it->second.Version};
    update.Deleted = true;
    if (!it->second.Reported)
      --Unreported;
    Resources.erase(it);
    Report(std::move(update));
    return reportSyncedOnce();
  }
  if (it == Resources.end()) {
    it = Resources.emplace(id, Followed{}).first;
    ++Unreported;
  }
  Followed &followed = it->second;
  if (record->Revision > followed.Version) {
    followed.Version = record->Revision;
    followed.Status = {};
    report(id, followed);
  }
  askStatus(id);
}

void ResourceWatch::askStatus(const ResourceId &id) {
  auto it = Resources.find(id);
  if (it == Resources.end())
    return;
  if (it->second.Asking) {
    it->second.AskAgain = true;
    return;
  }
  it->second.Asking = true;
  std::uint64_t version = it->second.Version;
  Backend.inForce(
      id, version,
      [weak = weak_from_this(), id, version](const ResourceStatus &status) {
        if (auto self = weak.lock())
          self->onStatus(id, version, status);
      });
}

void ResourceWatch::onStatus(const ResourceId &id, std::uint64_t version,
                             const ResourceStatus &status) {
  auto it = Resources.find(id);
  if (it == Resources.end())
    return;
  Followed &followed = it->second;
  followed.Asking = false;
  bool isCurrent = followed.Version == version;
  bool isNews = !followed.Reported || followed.Status != status;
  if (isCurrent && isNews) {
    followed.Status = status;
    report(id, followed);
  }
  reportSyncedOnce();
  if (!isCurrent || std::exchange(followed.AskAgain, false))
    askStatus(id);
}

void ResourceWatch::report(const ResourceId &id, Followed &followed) {
  const ResourceRecord *record = Backend.catalog().find(id);
  // A newer version has its own notice on the way.
  if (!record || record->Revision != followed.Version)
    return;
  if (!std::exchange(followed.Reported, true))
    --Unreported;
  Report({id, followed.Version, record->ResourceSpec, followed.Status});
}

void ResourceWatch::reportSyncedOnce() {
  if (Synced || Unreported > 0)
    return;
  Synced = true;
  WatchUpdate update;
  update.Synced = true;
  Report(std::move(update));
}

} // namespace baobabpin::operators
