/// An in-memory ResourceBackend for tests, with the faults of a real store.
#pragma once

#include "baobabpin/operators/ResourceBackend.h"

#include <list>
#include <map>
#include <utility>

namespace baobabpin::operators {

class FakeBackend : public ResourceBackend {
public:
  const resources::ResourceCatalog &catalog() const override { return Known; }

  void find(const resources::ResourceId &id,
            std::function<void(FindReply)> callback) override {
    if (Down)
      return callback({unavailable(), std::nullopt});
    auto it = Stored.find(id);
    callback({std::nullopt,
              it == Stored.end() ? std::nullopt : std::optional(it->second)});
  }

  void compareAndSwap(const resources::ResourceId &id, std::uint64_t expected,
                      const std::optional<resources::StoredValue> &value,
                      std::function<void(WriteReply)> callback) override {
    if (Down)
      return callback({WriteStatus::Unavailable, 0});
    if (std::exchange(LoseNextRequest, false))
      return callback({WriteStatus::Unknown, 0});
    std::uint64_t present = versionOf(id);
    if (present != expected)
      return callback({WriteStatus::Conflict, present});
    write(id, value);
    if (std::exchange(LoseNextAnswer, false))
      return callback({WriteStatus::Unknown, 0});
    callback({WriteStatus::Written, Revision});
  }

  void inForce(const resources::ResourceId &id, std::uint64_t version,
               std::function<void(ResourceStatus)> callback) override {
    bool confirmed = version <= ConfirmedRevision;
    ResourceStatus status{confirmed, confirmed ? 2u : 1u, {}, ""};
    if (!confirmed)
      status.Unconfirmed.push_back({"node-2", "kotte", "pending"});
    (void)id;
    callback(status);
  }

  std::shared_ptr<void> subscribe(Observer observer) override {
    auto at = Observers->insert(Observers->end(), std::move(observer));
    return {nullptr, [list = Observers, at](void *) { list->erase(at); }};
  }

  void peerTimeline(kernel::EventStamp, std::size_t,
                    std::function<void(TimelineReply)> callback) override {
    callback(PeerEvents);
  }

  /// Stores without a check, as another node's operator would.
  void write(const resources::ResourceId &id,
             const std::optional<resources::StoredValue> &value) {
    ++Revision;
    ++Writes;
    std::optional<std::string> encoded;
    Stored.erase(id);
    if (value) {
      Stored[id] = {Revision, value->Mark, value->ResourceSpec};
      encoded = base::handleFailure(
          [&] { return resources::encodeStored(*value); },
          [](const base::Failure &) { return std::string(); });
    }
    base::handleFailure(
        [&] {
          return Known.apply({resources::storeKey(id), Revision, encoded});
        },
        [](const base::Failure &) { return false; });
    notify(id);
  }

  /// All nodes have applied every write so far.
  void confirmAll() {
    ConfirmedRevision = Revision;
    notify(std::nullopt);
  }

  std::uint64_t versionOf(const resources::ResourceId &id) const {
    auto it = Stored.find(id);
    return it == Stored.end() ? 0 : it->second.Version;
  }

  bool Down = false;
  bool LoseNextAnswer = false;  ///< The write takes effect.
  bool LoseNextRequest = false; ///< The write does not take effect.
  int Writes = 0;
  std::uint64_t ConfirmedRevision = 0;
  TimelineReply PeerEvents;
  std::shared_ptr<std::list<Observer>> Observers =
      std::make_shared<std::list<Observer>>();

private:
  static base::Failure unavailable() {
    return {base::ErrorType::StoreUnavailable, "down"};
  }
  void notify(const std::optional<resources::ResourceId> &id) {
    auto copy = *Observers;
    for (const auto &it : copy)
      it(id);
  }

  resources::ResourceCatalog Known;
  std::map<resources::ResourceId, StoredResource> Stored;
  std::uint64_t Revision = 0;
};

} // namespace baobabpin::operators
