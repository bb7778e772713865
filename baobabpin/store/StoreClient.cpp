#include "baobabpin/store/StoreClient.h"

#include "baobabpin/http/ConnectionPool.h"
#include "baobabpin/store/StoreMessages.h"

#include <deque>

namespace baobabpin::store {
namespace {

using internal::CallEffect;
using nlohmann::json;

/// Limit for the concurrent calls of one node. Further calls are queued, so
/// that a burst of writes by operators cannot exceed the rate limits of the
/// store. The pending watch takes up one of these calls.
constexpr std::size_t MaxConcurrentCalls = 5;

struct Call {
  const char *Name = "";
  std::string Path;
  /// Null for a GET request.
  json Body;
  CallEffect Effect = CallEffect::Reads;
  std::chrono::milliseconds Timeout{0};
  StoreCallback Callback;
};

} // namespace

std::string_view storeStatusName(StoreStatus status) {
  switch (status) {
  case StoreStatus::Ok:
    return "ok";
  case StoreStatus::Conflict:
    return "conflict";
  case StoreStatus::NotFound:
    return "not_found";
  case StoreStatus::Compacted:
    return "compacted";
  case StoreStatus::Unavailable:
    return "unavailable";
  case StoreStatus::Unknown:
    break;
  }
  return "unknown";
}

struct StoreClient::State : std::enable_shared_from_this<StoreClient::State> {
  State(kernel::EventLoop &loop, kernel::Metrics &metrics,
        http::Endpoint endpoint, StoreTimeouts timeouts)
      : Metrics(metrics), Timeouts(timeouts),
        Connections(loop, std::move(endpoint), MaxConcurrentCalls) {}

  kernel::Metrics &Metrics;
  StoreTimeouts Timeouts;
  http::ConnectionPool Connections;
  std::deque<Call> QueuedCalls;

  void submit(Call call) {
    QueuedCalls.push_back(std::move(call));
    startQueuedCalls();
  }

  void startQueuedCalls() {
    while (!QueuedCalls.empty()) {
      http::HttpConnection *connection = Connections.findOrCreateIdle();
      if (!connection)
        return;
      Call call = std::move(QueuedCalls.front());
      QueuedCalls.pop_front();
      start(*connection, std::move(call));
    }
  }

  void start(http::HttpConnection &connection, Call call) {
    std::string path = call.Path;
    std::string body = call.Body.is_null() ? "" : call.Body.dump();
    bool isGet = call.Body.is_null();
    auto timeout = call.Timeout;
    auto onReply = [weak = weak_from_this(),
                    call = std::move(call)](const http::HttpReply &reply) {
      if (auto self = weak.lock())
        self->finish(call, reply);
    };
    if (isGet)
      connection.get(path, timeout, std::move(onReply));
    else
      connection.post(path, std::move(body), timeout, std::move(onReply));
  }

  void finish(const Call &call, const http::HttpReply &reply) {
    StoreReply parsed = internal::parseReply(reply, call.Effect);
    Metrics
        .counter("baobabpin_store_calls_total",
                 "Calls of the platform's store.",
                 {{"call", call.Name},
                  {"status", std::string(storeStatusName(parsed.Status))}})
        .Increment();
    startQueuedCalls();
    call.Callback(std::move(parsed));
  }
};

StoreClient::StoreClient(kernel::EventLoop &loop, kernel::Metrics &metrics,
                         http::Endpoint endpoint, StoreTimeouts timeouts)
    : Impl(std::make_shared<State>(loop, metrics, std::move(endpoint),
                                   timeouts)) {}

StoreClient::~StoreClient() = default;

void StoreClient::get(const std::string &key, StoreCallback callback) {
  Impl->submit({"get",
                "/v1/get",
                {{"key", key}},
                CallEffect::Reads,
                Impl->Timeouts.Call,
                std::move(callback)});
}

void StoreClient::range(const std::string &prefix, StoreCallback callback) {
  Impl->submit({"range",
                "/v1/range",
                {{"prefix", prefix}},
                CallEffect::Reads,
                Impl->Timeouts.Call,
                std::move(callback)});
}

void StoreClient::put(const std::string &key, const std::string &value,
                      std::uint64_t expectedRevision, const std::string &lease,
                      StoreCallback callback) {
  json body{
      {"key", key}, {"value", value}, {"expected_revision", expectedRevision}};
  if (!lease.empty())
    body["lease"] = lease;
  Impl->submit({"put", "/v1/put", std::move(body), CallEffect::Changes,
                Impl->Timeouts.Call, std::move(callback)});
}

void StoreClient::erase(const std::string &key, std::uint64_t expectedRevision,
                        StoreCallback callback) {
  Impl->submit({"delete",
                "/v1/delete",
                {{"key", key}, {"expected_revision", expectedRevision}},
                CallEffect::Changes,
                Impl->Timeouts.Call,
                std::move(callback)});
}

void StoreClient::watch(const std::string &prefix, std::uint64_t fromRevision,
                        std::chrono::milliseconds wait,
                        StoreCallback callback) {
  json body{{"prefix", prefix},
            {"from_revision", fromRevision},
            {"wait_ms", wait.count()}};
  Impl->submit({"watch", "/v1/watch", std::move(body), CallEffect::Reads,
                wait + Impl->Timeouts.WatchMargin, std::move(callback)});
}

void StoreClient::grantLease(std::chrono::milliseconds timeToLive,
                             StoreCallback callback) {
  Impl->submit({"lease_grant",
                "/v1/lease/grant",
                {{"ttl_ms", timeToLive.count()}},
                CallEffect::Changes,
                Impl->Timeouts.Call,
                std::move(callback)});
}

void StoreClient::renewLease(const std::string &lease, StoreCallback callback) {
  Impl->submit({"lease_renew",
                "/v1/lease/renew",
                {{"lease", lease}},
                CallEffect::Changes,
                Impl->Timeouts.Call,
                std::move(callback)});
}

void StoreClient::revokeLease(const std::string &lease,
                              StoreCallback callback) {
  Impl->submit({"lease_revoke",
                "/v1/lease/revoke",
                {{"lease", lease}},
                CallEffect::Changes,
                Impl->Timeouts.Call,
                std::move(callback)});
}

void StoreClient::hosts(StoreCallback callback) {
  Impl->submit({"hosts", "/v1/hosts", nullptr, CallEffect::Reads,
                Impl->Timeouts.Call, std::move(callback)});
}

} // namespace baobabpin::store
