/// The pulling side of replication: asks the known primary for entries, and
/// applies them after the replication delay.
#pragma once

#include "baobabpin/http/HttpClient.h"
#include "standins/common/DelayedCalls.h"
#include "standins/upstream/Replication.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace standins::upstream {

/// A primary without new entries answers a pull after this long, so followers
/// hear from it at this period.
constexpr std::chrono::milliseconds HeartbeatPeriod{50};

struct FollowerOptions {
  /// The own listen address, so that a proxy on the way can tell servers apart.
  std::string LocalAddress;
  /// Where this server reaches each other server.
  std::map<ServerId, baobabpin::http::Endpoint> Peers;
  std::chrono::milliseconds LagMin{0};
  std::chrono::milliseconds LagMax{0};
  std::uint64_t Seed = 1;
};

class Follower {
public:
  /// \p databaseChanged is called after each batch that was applied.
  Follower(baobabpin::kernel::EventLoop &loop, Database &db,
           FollowerOptions options, std::function<void()> databaseChanged);

  /// Call after anything that may have changed whom this server follows.
  void refresh();
  void setLag(std::chrono::milliseconds min, std::chrono::milliseconds max);

private:
  struct DelayedBatch {
    TimePoint Due;
    Batch Content;
  };

  baobabpin::http::Endpoint primaryEndpoint() const;
  void pull();
  void pullLater(baobabpin::base::Duration delay);
  void received(const baobabpin::http::HttpReply &reply);
  void accept(Batch batch);
  void applyDue();
  void forgetDelayed();

  baobabpin::kernel::EventLoop &Loop;
  Database &Db;
  FollowerOptions Options;
  std::function<void()> DatabaseChanged;
  std::mt19937_64 Random;
  ServerId Followed;
  std::unique_ptr<baobabpin::http::HttpConnection> Connection;
  baobabpin::kernel::Timer NextPull;
  baobabpin::kernel::Timer NextApply;
  /// The own log once all delayed batches are applied.
  LogSummary Expected;
  std::deque<DelayedBatch> Delayed;
};

} // namespace standins::upstream
