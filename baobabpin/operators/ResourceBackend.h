/// What the operators' service needs from the rest of the node. Configuration
/// distribution implements it; tests use a fake.
#pragma once

#include "baobabpin/base/Errors.h"
#include "baobabpin/kernel/EventLog.h"
#include "baobabpin/resources/ResourceCatalog.h"
#include "baobabpin/resources/StoredValue.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace baobabpin::operators {

/// A resource as the platform's store holds it.
struct StoredResource {
  std::uint64_t Version = 0;
  std::string Mark;
  /// Empty when the stored value cannot be read as a spec.
  std::optional<resources::Spec> ResourceSpec;
};

struct FindReply {
  /// StoreUnavailable when the store did not answer.
  std::optional<base::Failure> Error;
  /// Empty when there is no such resource.
  std::optional<StoredResource> Found;
};

enum class WriteStatus {
  Written,     ///< Committed; Version is the new one.
  Conflict,    ///< Refused; Version is the present one, 0 for none.
  Unavailable, ///< The store was not reached; nothing changed.
  Unknown,     ///< The answer was lost; the change may have taken effect.
};

struct WriteReply {
  WriteStatus Status = WriteStatus::Unavailable;
  std::uint64_t Version = 0;
};

/// A node that has not confirmed a version.
struct UnconfirmedNode {
  std::string Node;
  std::string Zone;
  /// "pending", "leaving", "cut_off", "dead" or "unknown". With "unknown", Node
  /// is a host in the platform's list of which no node is known.
  std::string Reason;

  bool operator==(const UnconfirmedNode &) const = default;
};

struct ResourceStatus {
  /// Every node that is not dead has applied this version or a later one.
  bool InForce = false;
  std::uint32_t ConfirmedNodes = 0;
  std::vector<UnconfirmedNode> Unconfirmed;
  /// Kind-specific JSON, such as the primary and term of a group; may be empty.
  std::string Detail;

  bool operator==(const ResourceStatus &) const = default;
};

/// An event with the process that recorded it.
struct ProcessEvent {
  std::string Process;
  kernel::LoggedEvent Event;
};

struct TimelineReply {
  std::vector<ProcessEvent> Events;
  /// Nodes that did not answer.
  std::vector<std::string> Missing;
};

/// All members are called on the loop's thread. Callbacks run there exactly
/// once, possibly before the call returns.
class ResourceBackend {
public:
  virtual ~ResourceBackend() = default;

  /// This node's copy of all resources.
  virtual const resources::ResourceCatalog &catalog() const = 0;
  /// Reads the store, and brings catalog() up to date with the value read
  /// before calling back.
  virtual void find(const resources::ResourceId &id,
                    std::function<void(FindReply)> callback) = 0;
  /// Writes \p value, or deletes when it is empty, provided that the stored
  /// version equals \p expected (0: no such resource). After Written,
  /// catalog() holds the change, so that the next change can refer to it.
  virtual void
  compareAndSwap(const resources::ResourceId &id, std::uint64_t expected,
                 const std::optional<resources::StoredValue> &value,
                 std::function<void(WriteReply)> callback) = 0;
  /// Whether \p version of \p id has reached every node.
  virtual void inForce(const resources::ResourceId &id, std::uint64_t version,
                       std::function<void(ResourceStatus)> callback) = 0;

  /// Receives the ID of a resource that catalog() has changed or whose status
  /// detail changed; empty when the in-force status of any may have changed.
  using Observer =
      std::function<void(const std::optional<resources::ResourceId> &)>;
  /// Calls \p observer until the returned handle is destroyed. The observer is
  /// called once for each change of catalog(), after it.
  [[nodiscard]] virtual std::shared_ptr<void> subscribe(Observer observer) = 0;

  /// The other nodes' events after \p since, at most \p limit of each node.
  virtual void peerTimeline(kernel::EventStamp since, std::size_t limit,
                            std::function<void(TimelineReply)> callback) = 0;
};

} // namespace baobabpin::operators
