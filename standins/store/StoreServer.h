/// The store and the host list over HTTP; docs/store-protocol.md.
#pragma once

#include "baobabpin/http/HttpServer.h"
#include "baobabpin/kernel/Kernel.h"
#include "standins/common/DelayedCalls.h"
#include "standins/store/Store.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace standins::store {

using nlohmann::json;

struct StoreOptions {
  baobabpin::http::Endpoint Listen;
  /// How long a change of the host list stays invisible.
  std::chrono::milliseconds HostsLag{2000};
  /// Each answer is this late.
  std::chrono::milliseconds AnswerDelay{0};
};

/// Faults that POST /admin/fault sets.
struct StoreFaults {
  TimePoint DownUntil;
  /// While down: keep requests without an answer instead of resetting.
  bool Hangs = false;
  std::chrono::milliseconds Slow{0};
  /// Answers to changes that are still to be lost after their effect.
  std::uint64_t DropCount = 0;
};

class StoreServer : public baobabpin::kernel::Service {
public:
  explicit StoreServer(StoreOptions options) : Options(std::move(options)) {}

  std::string_view name() const override { return "store"; }
  baobabpin::base::Result<void>
  start(baobabpin::kernel::Kernel &kernel) override;
  void stop() override;
  const baobabpin::http::Endpoint &endpoint() const { return Bound; }

private:
  using Responder = baobabpin::http::ResponderPtr;

  struct Reply {
    int Status = 200;
    json Body;
    bool IsChange = false;
  };
  using Handler = Reply (StoreServer::*)(const json &);

  struct Watcher {
    std::string Prefix;
    Revision From = 0;
    Responder Target;
  };

  void route(const std::string &path, Handler handler);
  void routeAdmin();
  /// Runs \p body unless the store is down; a malformed body gets status 400.
  template <typename Body>
  void guard(const std::string &path, const Responder &responder, Body body);
  void send(const Responder &responder, Reply reply);

  Reply get(const json &body);
  Reply range(const json &body);
  Reply put(const json &body);
  Reply erase(const json &body);
  Reply grant(const json &body);
  Reply renew(const json &body);
  Reply revoke(const json &body);
  Reply hosts(const json &body);
  void watch(const json &body, const Responder &responder);
  json changes(const Watcher &watcher) const;
  void wakeWatchers();
  void injectFault(const json &body);
  void setHostList(const json &body);
  bool isDown() const;
  json counters() const;

  StoreOptions Options;
  StoreFaults Faults;
  Store Data;
  baobabpin::kernel::Kernel *Process = nullptr;
  std::unique_ptr<common::DelayedCalls> Calls;
  std::unique_ptr<baobabpin::http::HttpServer> Http;
  baobabpin::kernel::Timer Expiry;
  baobabpin::http::Endpoint Bound;
  std::map<std::uint64_t, Watcher> Watchers;
  std::uint64_t NextWatcher = 1;
  /// Requests without an answer until the outage ends.
  std::vector<Responder> Hanging;
  std::map<std::string, std::uint64_t> CallCounts;
};

} // namespace standins::store
