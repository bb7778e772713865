#include "standins/upstream/Follower.h"

#include "standins/upstream/Messages.h"

#include <algorithm>
#include <utility>

namespace standins::upstream {

using namespace std::chrono_literals;
using baobabpin::base::Duration;
using baobabpin::http::Endpoint;
using baobabpin::http::HttpConnection;
using baobabpin::http::HttpReply;
using baobabpin::http::Transfer;

namespace {

/// Longer than a heartbeat with network delays; a cut connection is replaced
/// after this long.
constexpr auto PullTimeout = 400ms;
/// Between attempts while the primary does not answer as one.
constexpr auto RetryDelay = 50ms;

} // namespace

Follower::Follower(baobabpin::kernel::EventLoop &loop, Database &db,
                   FollowerOptions options,
                   std::function<void()> databaseChanged)
    : Loop(loop), Db(db), Options(std::move(options)),
      DatabaseChanged(std::move(databaseChanged)), Random(Options.Seed),
      Expected(summarize(db)) {}

Endpoint Follower::primaryEndpoint() const {
  auto it = Options.Peers.find(Db.Primary);
  if (it != Options.Peers.end())
    return it->second;
  return baobabpin::http::parseEndpoint(Db.PrimaryAddress);
}

void Follower::refresh() {
  Endpoint endpoint = primaryEndpoint();
  bool follows = Db.CurrentRole == Role::Replica && !endpoint.Address.empty();
  if (!follows) {
    Connection.reset();
    NextPull.cancel();
    forgetDelayed();
    Followed.clear();
    return;
  }
  if (Followed == Db.Primary && Connection &&
      Connection->endpoint() == endpoint)
    return;
  forgetDelayed();
  Followed = Db.Primary;
  Connection =
      std::make_unique<HttpConnection>(Loop, endpoint, Options.LocalAddress);
  pullLater(0ms);
}

void Follower::setLag(std::chrono::milliseconds min,
                      std::chrono::milliseconds max) {
  Options.LagMin = min;
  Options.LagMax = std::max(min, max);
}

void Follower::pullLater(Duration delay) {
  NextPull = Loop.runAfter(delay, [this] { pull(); });
}

void Follower::pull() {
  if (!Connection || Connection->isBusy())
    return;
  json body = encodeSummary(Expected);
  body["server"] = Db.Server;
  Connection->post("/replication/pull", dumpJson(body), PullTimeout,
                   [this](const HttpReply &reply) { received(reply); });
}

void Follower::received(const HttpReply &reply) {
  if (reply.Result != Transfer::Completed || reply.Status != 200) {
    pullLater(RetryDelay);
    return;
  }
  try {
    accept(decodeBatch(json::parse(reply.Body)));
  } catch (const json::exception &) {
    pullLater(RetryDelay);
  }
}

void Follower::accept(Batch batch) {
  // Term 0: the server asked does not lead.
  if (batch.Term == 0 || batch.Primary != Followed) {
    pullLater(RetryDelay);
    return;
  }
  notePrimaryContact(Db, Loop.now(), batch.Primary);
  if (batch.Term < Db.PromisedTerm) {
    pullLater(RetryDelay);
    return;
  }
  bool isHeartbeat = batch.Entries.empty() && batch.Term == Db.Term;
  if (!isHeartbeat) {
    Expected = summaryAfter(std::move(Expected), batch);
    std::uniform_int_distribution<std::int64_t> lag(Options.LagMin.count(),
                                                    Options.LagMax.count());
    TimePoint due = Loop.now() + std::chrono::milliseconds(lag(Random));
    if (!Delayed.empty())
      due = std::max(due, Delayed.back().Due);
    Delayed.push_back({due, std::move(batch)});
    applyDue();
  }
  pullLater(0ms);
}

void Follower::applyDue() {
  bool changed = false;
  while (!Delayed.empty() && Delayed.front().Due <= Loop.now()) {
    Batch batch = std::move(Delayed.front().Content);
    Delayed.pop_front();
    if (!appendBatch(Db, Loop.now(), batch).isOk()) {
      forgetDelayed();
      break;
    }
    changed = true;
  }
  if (!Delayed.empty())
    NextApply =
        Loop.runAfter(Delayed.front().Due - Loop.now(), [this] { applyDue(); });
  if (changed)
    DatabaseChanged();
}

void Follower::forgetDelayed() {
  NextApply.cancel();
  Delayed.clear();
  Expected = summarize(Db);
}

} // namespace standins::upstream
