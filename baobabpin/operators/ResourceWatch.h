/// Follows resources and their status for one watching operator.
///
/// Each version that this node sees is reported once, at once, with an empty
/// status; each later change of its status follows. Versions of a resource only
/// rise. The state at the start is reported with its status.
#pragma once

#include "baobabpin/operators/ResourceBackend.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace baobabpin::operators {

/// Which resources a watch follows; empty fields match all.
struct WatchFilter {
  std::optional<resources::ResourceKind> Kind;
  std::string Name;

  bool matches(const resources::ResourceId &id) const {
    return (!Kind || *Kind == id.Kind) && (Name.empty() || Name == id.Name);
  }
};

struct WatchUpdate {
  resources::ResourceId Id;
  std::uint64_t Version = 0;
  /// Empty for a deletion and for Synced.
  std::optional<resources::Spec> ResourceSpec;
  ResourceStatus Status;
  bool Deleted = false;
  /// The state at the start has been reported; all other fields are empty.
  bool Synced = false;
};

class ResourceWatch : public std::enable_shared_from_this<ResourceWatch> {
public:
  using Sink = std::function<void(WatchUpdate)>;

  /// \p sink is called on the loop until the watch is destroyed.
  ResourceWatch(ResourceBackend &backend, WatchFilter filter, Sink sink);

  /// Reports the present state, then changes. Call once, through a shared_ptr.
  void start();

private:
  struct Followed {
    std::uint64_t Version = 0;
    ResourceStatus Status;
    bool Reported = false; ///< Some update for Version was sent.
    bool Asking = false;   ///< A status question is open.
    bool AskAgain = false; ///< Something changed while it was open.
  };

  void onNotice(const std::optional<resources::ResourceId> &id);
  void onChanged(const resources::ResourceId &id);
  void askStatus(const resources::ResourceId &id);
  void onStatus(const resources::ResourceId &id, std::uint64_t version,
                const ResourceStatus &status);
  void report(const resources::ResourceId &id, Followed &followed);
  void reportSyncedOnce();

  ResourceBackend &Backend;
  WatchFilter Filter;
  Sink Report;
  std::map<resources::ResourceId, Followed> Resources;
  std::size_t Unreported = 0;
  bool Synced = false;
  std::shared_ptr<void> Subscription;
};

} // namespace baobabpin::operators
