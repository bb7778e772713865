#include "baobabpin/node/NodeBackend.h"

#include "baobabpin/operators/Timeline.h"

namespace baobabpin::node {

using base::ErrorType;
using namespace std::chrono_literals;

namespace {

/// While there are observers, they are notified this often. Another node can
/// report that it has applied a version without any local change of the
/// configuration, so there is no event that could trigger the notification.
constexpr auto StatusNotifyPeriod = 250ms;

operators::StoredResource toStored(const configsync::ConfigRecord &record,
                                   resources::ResourceKind kind) {
  operators::StoredResource stored;
  stored.Version = record.Revision;
  base::handleFailure(
      [&]() -> base::Result<bool> {
        BOOST_LEAF_AUTO(value, resources::decodeStored(kind, *record.Value));
        stored.Mark = value.Mark;
        stored.ResourceSpec = value.ResourceSpec;
        return true;
      },
      [](const base::Failure &) { return false; });
  return stored;
}

operators::WriteStatus toStatus(configsync::WriteStatus status) {
  switch (status) {
  case configsync::WriteStatus::Committed:
    return operators::WriteStatus::Written;
  case configsync::WriteStatus::Conflict:
    return operators::WriteStatus::Conflict;
  case configsync::WriteStatus::Unavailable:
    return operators::WriteStatus::Unavailable;
  case configsync::WriteStatus::Unknown:
    break;
  }
  return operators::WriteStatus::Unknown;
}

/// Collects the timelines of several nodes and calls back when all requests
/// have ended.
struct TimelineCollector {
  operators::TimelineReply Reply;
  std::size_t PendingRequests = 0;
  std::function<void(operators::TimelineReply)> Callback;

  void finishOne() {
    if (--PendingRequests == 0)
      Callback(std::move(Reply));
  }
};

} // namespace

base::Result<void> NodeBackend::start(kernel::Kernel &kernel) {
  Kernel = &kernel;
  Config = &kernel.find<configsync::ConfigSyncService>("configsync");
  Directory = &kernel.find<directory::Directory>("directory");
  Membership = &kernel.find<membership::MembershipService>("membership");
  Owner = &kernel.find<owner::OwnerService>("owner");
  Peers = &kernel.find<peer::PeerService>("peer");
  // The directory registered its callback earlier and is therefore called
  // first, so the catalog is up to date when observers are notified.
  Config->onChange([this](const configsync::ConfigRecord &record) {
    base::handleFailure(
        [&]() -> base::Result<bool> {
          BOOST_LEAF_AUTO(id, resources::parseStoreKey(record.Key));
          notify(id);
          return true;
        },
        [](const base::Failure &) { return false; });
  });
  StatusTimer = kernel.loop().runEvery(StatusNotifyPeriod, [this] {
    if (!Observers->empty())
      notify(std::nullopt);
  });
  return {};
}

void NodeBackend::stop() { StatusTimer.cancel(); }

void NodeBackend::notify(const std::optional<resources::ResourceId> &id) {
  // Iterates over a copy because an observer may remove its own subscription.
  auto observers = *Observers;
  for (const auto &it : observers)
    it(id);
}

const resources::ResourceCatalog &NodeBackend::catalog() const {
  return Directory->catalog();
}

void NodeBackend::find(const resources::ResourceId &id,
                       std::function<void(operators::FindReply)> callback) {
  std::string key = resources::storeKey(id);
  Config->readThrough(
      key, [this, id, key, callback = std::move(callback)](bool available) {
        operators::FindReply reply;
        if (!available) {
          reply.Error = base::Failure{ErrorType::StoreUnavailable,
                                      "the store did not answer"};
          callback(std::move(reply));
          return;
        }
        const auto *record = Config->findRecord(key);
        if (record && record->Value)
          reply.Found = toStored(*record, id.Kind);
        callback(std::move(reply));
      });
}

void NodeBackend::compareAndSwap(
    const resources::ResourceId &id, std::uint64_t expected,
    const std::optional<resources::StoredValue> &value,
    std::function<void(operators::WriteReply)> callback) {
  auto onWritten =
      [callback = std::move(callback)](const configsync::WriteResult &result) {
        callback({toStatus(result.Status), result.Revision});
      };
  std::string key = resources::storeKey(id);
  if (!value) {
    Config->compareAndDelete(key, expected, onWritten);
    return;
  }
  std::string encoded =
      base::handleFailure([&] { return resources::encodeStored(*value); },
                          [](const base::Failure &) { return std::string(); });
  if (encoded.empty())
    onWritten({configsync::WriteStatus::Unavailable, 0, {}});
  else
    Config->compareAndSwap(key, encoded, expected, onWritten);
}

void NodeBackend::inForce(
    const resources::ResourceId &id, std::uint64_t version,
    std::function<void(operators::ResourceStatus)> callback) {
  Config->queryInForce(
      version, [this, id, version, callback = std::move(callback)](
                   const proto::InForceReply &reply) {
        operators::ResourceStatus status;
        status.InForce = true;
        for (const auto &it : reply.nodes()) {
          if (it.applied_revision() >= version && it.reason().empty()) {
            ++status.ConfirmedNodes;
            continue;
          }
          status.Unconfirmed.push_back(
              {it.node(), it.availability_zone(), it.reason()});
          // A dead or leaving node serves no requests with the older
          // configuration. A node that cannot be reached may still do so.
          bool isGone = it.reason() == "dead" || it.reason() == "leaving";
          status.InForce = status.InForce && isGone;
        }
        addGroupDetail(id, std::move(status), callback);
      });
}

void NodeBackend::addGroupDetail(
    const resources::ResourceId &id, operators::ResourceStatus status,
    const std::function<void(operators::ResourceStatus)> &callback) {
  if (id.Kind != resources::ResourceKind::DatabaseGroup) {
    callback(std::move(status));
    return;
  }
  // A former owner may still hold an outdated state of the group, so the
  // current owner is asked.
  const auto &owners = Directory->ownersOf(id.Name).Nodes;
  if (owners.empty() || owners.front() == Directory->self()) {
    status.Detail = Owner->describeGroup(id.Name);
    callback(std::move(status));
    return;
  }
  proto::DescribeRequest request;
  request.set_group(id.Name);
  Peers->describeGroup(
      Directory->peerEndpoint(owners.front()), request,
      [status = std::move(status),
       callback](const std::optional<proto::DescribeReply> &reply) mutable {
        if (reply)
          status.Detail = reply->json();
        callback(std::move(status));
      });
}

std::shared_ptr<void> NodeBackend::subscribe(Observer observer) {
  auto position = Observers->insert(Observers->end(), std::move(observer));
  return {nullptr,
          [list = Observers, position](void *) { list->erase(position); }};
}

void NodeBackend::peerTimeline(
    kernel::EventStamp since, std::size_t limit,
    std::function<void(operators::TimelineReply)> callback) {
  proto::TimelineRequest request;
  request.set_since_wall_us(since.WallUs);
  request.set_since_counter(since.Counter);
  request.set_limit(static_cast<std::uint32_t>(limit));
  request.set_local_only(true);
  auto collector = std::make_shared<TimelineCollector>();
  collector->Callback = std::move(callback);
  // Counts this function as a request, so that the callback is not called
  // before all requests are sent.
  collector->PendingRequests = 1;
  for (const auto &[node, entry] : Membership->members()) {
    if (entry.Record.State == membership::MemberState::Dead)
      continue;
    ++collector->PendingRequests;
    Peers->fetchEvents(entry.Record.PeerEndpoint, request,
                       [collector, node = node](
                           const std::optional<proto::TimelineReply> &reply) {
                         if (!reply) {
                           collector->Reply.Missing.push_back(node);
                         } else {
                           for (auto &it : operators::readTimeline(*reply))
                             collector->Reply.Events.push_back(std::move(it));
                         }
                         collector->finishOne();
                       });
  }
  collector->finishOne();
}

} // namespace baobabpin::node
