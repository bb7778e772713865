#include "standins/store/StoreServer.h"

#include <utility>

namespace standins::store {

using namespace std::chrono_literals;
using namespace baobabpin;
using http::HttpRequest;

namespace {

/// A value of the largest size with every character escaped.
constexpr std::size_t MaxBody = 6 * MaxValueBytes + 4096;
constexpr auto ExpiryPeriod = 10ms;

std::string dumpJson(const json &value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json parseObject(const std::string &text) {
  json body = text.empty() ? json::object() : json::parse(text);
  if (!body.is_object())
    throw json::type_error::create(302, "the body must be an object", &body);
  return body;
}

json encodeEntry(const Entry &entry) {
  json body{{"key", entry.Key}, {"revision", entry.LastChange}};
  if (entry.IsDeleted)
    body["deleted"] = true;
  else
    body["value"] = entry.Value;
  if (!entry.Lease.empty())
    body["lease"] = entry.Lease;
  return body;
}

json encodeEntries(const std::vector<Entry> &entries) {
  json array = json::array();
  for (const auto &it : entries)
    array.push_back(encodeEntry(it));
  return array;
}

std::optional<Revision> expectedRevision(const json &body) {
  auto it = body.find("expected_revision");
  if (it == body.end() || it->is_null())
    return std::nullopt;
  return it->get<Revision>();
}

int statusOf(StoreProblem problem) {
  switch (problem) {
  case StoreProblem::None:
    return 200;
  case StoreProblem::Conflict:
    return 409;
  case StoreProblem::NotFound:
    return 404;
  case StoreProblem::TooLarge:
    return 413;
  case StoreProblem::InvalidLease:
    return 400;
  }
  return 500;
}

json withError(json body, StoreProblem problem) {
  if (problem != StoreProblem::None)
    body["error"] = problemName(problem);
  return body;
}

} // namespace

base::Result<void> StoreServer::start(kernel::Kernel &kernel) {
  Process = &kernel;
  Calls = std::make_unique<common::DelayedCalls>(kernel.loop());
  Http = std::make_unique<http::HttpServer>(kernel.loop());
  Http->setMaxBody(MaxBody);
  route("/v1/get", &StoreServer::get);
  route("/v1/range", &StoreServer::range);
  route("/v1/put", &StoreServer::put);
  route("/v1/delete", &StoreServer::erase);
  route("/v1/lease/grant", &StoreServer::grant);
  route("/v1/lease/renew", &StoreServer::renew);
  route("/v1/lease/revoke", &StoreServer::revoke);
  route("/v1/hosts", &StoreServer::hosts);
  Http->handle("/v1/watch",
               [this](const HttpRequest &request, const Responder &responder) {
                 guard("/v1/watch", responder,
                       [&] { watch(parseObject(request.Body), responder); });
               });
  routeAdmin();
  BOOST_LEAF_ASSIGN(Bound, Http->listen(Options.Listen));
  Expiry = kernel.loop().runEvery(ExpiryPeriod, [this] {
    expireLeases(Data, Process->loop().now());
    wakeWatchers();
  });
  return {};
}

void StoreServer::stop() {
  Expiry.cancel();
  Http.reset();
  Calls.reset();
  Watchers.clear();
  Hanging.clear();
}

void StoreServer::route(const std::string &path, Handler handler) {
  Http->handle(path, [this, path, handler](const HttpRequest &request,
                                           const Responder &responder) {
    guard(path, responder, [&] {
      expireLeases(Data, Process->loop().now());
      send(responder, (this->*handler)(parseObject(request.Body)));
      wakeWatchers();
    });
  });
}

void StoreServer::routeAdmin() {
  auto admin = [this](const char *path,
                      void (StoreServer::*handler)(const json &)) {
    Http->handle(path, [this, handler](const HttpRequest &request,
                                       const Responder &responder) {
      try {
        (this->*handler)(json::parse(request.Body));
        responder->json(200, "{}");
      } catch (const json::exception &ec) {
        responder->json(400, dumpJson({{"error", ec.what()}}));
      }
    });
  };
  admin("/admin/fault", &StoreServer::injectFault);
  admin("/admin/hosts", &StoreServer::setHostList);
  Http->handle("/v1/counters",
               [this](const HttpRequest &, const Responder &responder) {
                 responder->json(200, dumpJson(counters()));
               });
}

template <typename Body>
void StoreServer::guard(const std::string &path, const Responder &responder,
                        Body body) {
  ++CallCounts[path];
  if (isDown() && Faults.Hangs) {
    Hanging.push_back(responder);
    return;
  }
  if (isDown()) {
    responder->abort();
    return;
  }
  try {
    body();
  } catch (const json::exception &ec) {
    responder->json(
        400, dumpJson({{"error", "bad_request"}, {"detail", ec.what()}}));
  }
}

void StoreServer::send(const Responder &responder, Reply reply) {
  if (reply.IsChange && Faults.DropCount > 0) {
    --Faults.DropCount;
    responder->abort();
    return;
  }
  auto deliver = [this, responder, reply = std::move(reply)] {
    // An outage that began meanwhile loses the answer.
    if (isDown())
      responder->abort();
    else
      responder->json(reply.Status, dumpJson(reply.Body));
  };
  auto delay = Options.AnswerDelay + Faults.Slow;
  if (delay > 0ms)
    Calls->after(delay, std::move(deliver));
  else
    deliver();
}

StoreServer::Reply StoreServer::get(const json &body) {
  const Entry *entry = store::get(Data, body.at("key").get<std::string>());
  if (!entry)
    return {404, withError(json::object(), StoreProblem::NotFound)};
  return {200, encodeEntry(*entry)};
}

StoreServer::Reply StoreServer::range(const json &body) {
  auto found = store::range(Data, body.at("prefix").get<std::string>());
  return {200, {{"entries", encodeEntries(found)}, {"revision", Data.Last}}};
}

StoreServer::Reply StoreServer::put(const json &body) {
  ChangeAnswer answer =
      store::put(Data, {body.at("key").get<std::string>(),
                        body.at("value").get<std::string>(),
                        expectedRevision(body), body.value("lease", "")});
  return {statusOf(answer.Error),
          withError({{"revision", answer.At}}, answer.Error), true};
}

StoreServer::Reply StoreServer::erase(const json &body) {
  ChangeAnswer answer = store::erase(Data, body.at("key").get<std::string>(),
                                     expectedRevision(body));
  return {statusOf(answer.Error),
          withError({{"revision", answer.At}}, answer.Error), true};
}

namespace {

json encodeLease(const LeaseAnswer &answer) {
  json body{{"lease", answer.Id}, {"ttl_ms", answer.TimeToLive.count()}};
  return withError(std::move(body), answer.Error);
}

} // namespace

StoreServer::Reply StoreServer::grant(const json &body) {
  std::chrono::milliseconds ttl(body.at("ttl_ms").get<std::int64_t>());
  LeaseAnswer answer = grantLease(Data, Process->loop().now(), ttl);
  return {statusOf(answer.Error), encodeLease(answer), true};
}

StoreServer::Reply StoreServer::renew(const json &body) {
  LeaseAnswer answer = renewLease(Data, Process->loop().now(),
                                  body.at("lease").get<std::string>());
  return {statusOf(answer.Error), encodeLease(answer), true};
}

StoreServer::Reply StoreServer::revoke(const json &body) {
  LeaseAnswer answer = revokeLease(Data, body.at("lease").get<std::string>());
  return {statusOf(answer.Error), encodeLease(answer), true};
}

StoreServer::Reply StoreServer::hosts(const json &) {
  json list = json::array();
  for (const auto &it : visibleHosts(Data, Process->loop().now()))
    list.push_back(
        {{"host", it.Name}, {"state", it.IsLeaving ? "leaving" : "live"}});
  return {200, std::move(list)};
}

void StoreServer::watch(const json &body, const Responder &responder) {
  Watcher watcher{body.at("prefix").get<std::string>(),
                  body.at("from_revision").get<Revision>(), responder};
  std::chrono::milliseconds wait(body.value("wait_ms", std::int64_t{0}));
  bool hasChanges = !changesSince(Data, watcher.Prefix, watcher.From).empty();
  if (hasChanges || wait <= 0ms) {
    send(responder, {200, changes(watcher)});
    return;
  }
  std::uint64_t id = NextWatcher++;
  Watchers.emplace(id, std::move(watcher));
  Calls->after(wait, [this, id] {
    auto node = Watchers.extract(id);
    if (!node.empty())
      send(node.mapped().Target, {200, changes(node.mapped())});
  });
}

json StoreServer::changes(const Watcher &watcher) const {
  return {{"events",
           encodeEntries(changesSince(Data, watcher.Prefix, watcher.From))},
          {"revision", Data.Last}};
}

void StoreServer::wakeWatchers() {
  for (auto it = Watchers.begin(); it != Watchers.end();) {
    auto next = std::next(it);
    // The newest change decides first: most calls of this find nothing new.
    bool isReady =
        Data.Last > it->second.From &&
        !changesSince(Data, it->second.Prefix, it->second.From).empty();
    if (isReady) {
      auto node = Watchers.extract(it);
      send(node.mapped().Target, {200, changes(node.mapped())});
    }
    it = next;
  }
}

bool StoreServer::isDown() const {
  return Process->loop().now() < Faults.DownUntil;
}

void StoreServer::injectFault(const json &body) {
  if (body.contains("down_ms")) {
    std::chrono::milliseconds down(body.at("down_ms").get<std::int64_t>());
    Faults.DownUntil = Process->loop().now() + down;
    Faults.Hangs = body.value("hang", false);
    auto pending = std::exchange(Watchers, {});
    for (auto &[id, it] : pending) {
      if (Faults.Hangs)
        Hanging.push_back(it.Target);
      else
        it.Target->abort();
    }
    Calls->after(down, [this] {
      if (!isDown())
        Hanging.clear();
    });
  }
  Faults.Slow =
      std::chrono::milliseconds(body.value("slow_ms", Faults.Slow.count()));
  Faults.DropCount = body.value("drop", Faults.DropCount);
  Process->log().record("fault_set", {{"fault", dumpJson(body)}});
}

void StoreServer::setHostList(const json &body) {
  const json &list = body.is_object() ? body.at("hosts") : body;
  std::vector<Host> hosts;
  for (const auto &it : list)
    hosts.push_back({it.at("host").get<std::string>(),
                     it.value("state", "live") == "leaving"});
  setHosts(Data, Process->loop().now(), Options.HostsLag, std::move(hosts));
}

json StoreServer::counters() const {
  json body = json::object();
  std::uint64_t total = 0;
  for (const auto &[path, n] : CallCounts) {
    body[path.substr(std::string("/v1/").size())] = n;
    total += n;
  }
  body["total"] = total;
  body["pending_watches"] = Watchers.size();
  return body;
}

} // namespace standins::store
