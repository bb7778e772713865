#include "baobabpin/node/NodeBackend.h"

#include "baobabpin/operators/Timeline.h"

namespace baobabpin::node {

using base::ErrorType;
using namespace std::chrono_literals;

namespace {

/// While watches are open, the status is looked at this often, because nodes
/// confirm without a change of the configuration here.
constexpr auto StatusPeriod = 250ms;

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

/// Collects the answers of several nodes.
struct TimelineGather {
  operators::TimelineReply Reply;
  std::size_t Left = 0;
  std::function<void(operators::TimelineReply)> Callback;

  void finishOne() {
    if (--Left == 0)
      Callback(std::move(Reply));
  }
};

} // namespace

base::Result<void> NodeBackend::start(kernel::Kernel &kernel) {
  Kernel = &kernel;
  Config = &kernel.find<configsync::ConfigSyncService>("configsync");
  Fleet = &kernel.find<directory::Directory>("directory");
  Members = &kernel.find<membership::MembershipService>("membership");
  Owner = &kernel.find<owner::OwnerService>("owner");
  Peers = &kernel.find<peer::PeerService>("peer");
  // Added after the directory's own callback, so the catalog is up to date.
  Config->onChange([this](const configsync::ConfigRecord &record) {
    base::handleFailure(
        [&]() -> base::Result<bool> {
          BOOST_LEAF_AUTO(id, resources::parseStoreKey(record.Key));
          notify(id);
          return true;
        },
        [](const base::Failure &) { return false; });
  });
  StatusTimer = kernel.loop().runEvery(StatusPeriod, [this] {
    if (!Observers->empty())
      notify(std::nullopt);
  });
  return {};
}

void NodeBackend::stop() { StatusTimer.cancel(); }

void NodeBackend::notify(const std::optional<resources::ResourceId> &id) {
  // An observer may end its own subscription.
  auto observers = *Observers;
  for (const auto &it : observers)
    it(id);
}

const resources::ResourceCatalog &NodeBackend::catalog() const {
  return Fleet->catalog();
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
          // A node that is dead or on its way out serves nobody with the older
          // configuration; one that is cut off may.
          bool gone = it.reason() == "dead" || it.reason() == "leaving";
          status.InForce = status.InForce && gone;
        }
        addDetail(id, std::move(status), callback);
      });
}

void NodeBackend::addDetail(
    const resources::ResourceId &id, operators::ResourceStatus status,
    const std::function<void(operators::ResourceStatus)> &callback) {
  if (id.Kind != resources::ResourceKind::DatabaseGroup) {
    callback(std::move(status));
    return;
  }
  // A node that owned the group for a while may still have a view of it, which
  // is older than the owner's.
  const auto &owners = Fleet->ownersOf(id.Name).Nodes;
  if (owners.empty() || owners.front() == Fleet->self()) {
    status.Detail = Owner->describeGroup(id.Name);
    callback(std::move(status));
    return;
  }
  proto::DescribeRequest request;
  request.set_group(id.Name);
  Peers->describeGroup(
      Fleet->peerEndpoint(owners.front()), request,
      [status = std::move(status),
       callback](const std::optional<proto::DescribeReply> &reply) mutable {
        if (reply)
          status.Detail = reply->json();
        callback(std::move(status));
      });
}

std::shared_ptr<void> NodeBackend::subscribe(Observer observer) {
  auto at = Observers->insert(Observers->end(), std::move(observer));
  return {nullptr, [list = Observers, at](void *) { list->erase(at); }};
}

void NodeBackend::peerTimeline(
    kernel::EventStamp since, std::size_t limit,
    std::function<void(operators::TimelineReply)> callback) {
  proto::TimelineRequest request;
  request.set_since_wall_us(since.WallUs);
  request.set_since_counter(since.Counter);
  request.set_limit(static_cast<std::uint32_t>(limit));
  request.set_local_only(true);
  auto gather = std::make_shared<TimelineGather>();
  gather->Callback = std::move(callback);
  gather->Left = 1;
  for (const auto &[node, entry] : Members->members()) {
    if (entry.Record.State == membership::MemberState::Dead)
      continue;
    ++gather->Left;
    Peers->fetchEvents(entry.Record.PeerEndpoint, request,
                       [gather, node = node](
                           const std::optional<proto::TimelineReply> &reply) {
                         if (!reply) {
                           gather->Reply.Missing.push_back(node);
                         } else {
                           for (auto &it : operators::readTimeline(*reply))
                             gather->Reply.Events.push_back(std::move(it));
                         }
                         gather->finishOne();
                       });
  }
  gather->finishOne();
}

} // namespace baobabpin::node
