/// Sends requests of the callers' protocol, adds the client latency, and writes
/// every attempt to the history.
#pragma once

#include "standins/history/HistoryRecord.h"
#include "standins/load/NodePool.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <ostream>
#include <string>

namespace standins::load {

/// One request to one node.
struct Attempt {
  std::size_t Node = 0;
  std::string Path;
  nlohmann::json Body;
  std::chrono::milliseconds Timeout{}; ///< The caller stops waiting then.
  /// What the history says about the request; the rest is filled in.
  history::HistoryRecord Record;
};

/// How an attempt ended.
struct AttemptEnd {
  history::HistoryRecord Record;
  std::string Token;       ///< Session token of the answer, or empty.
  std::string Transaction; ///< Transaction ID of the answer, or empty.
};

/// Sees each record before it is written, and may mark it as dropped.
using AttemptCallback = std::function<void(AttemptEnd &)>;

class CallerClient {
public:
  /// \p latency is added before sending and after receiving.
  CallerClient(baobabpin::kernel::EventLoop &loop, NodePool &pool,
               std::chrono::microseconds latency, std::ostream &history);

  NodePool &pool() { return Pool; }
  void send(Attempt attempt, AttemptCallback callback);
  std::uint64_t attemptCount() const { return Attempts; }

private:
  void runLater(std::function<void()> callback);
  void post(Attempt attempt, const AttemptCallback &callback);

  baobabpin::kernel::EventLoop &Loop;
  NodePool &Pool;
  std::chrono::microseconds Latency;
  std::ostream &History;
  std::uint64_t Attempts = 0;
  std::uint64_t NextTimer = 0;
  std::map<std::uint64_t, baobabpin::kernel::Timer> Timers;
};

/// Fills in \p end from the reply; a body that is not JSON counts as broken.
void readReply(const baobabpin::http::HttpReply &reply, AttemptEnd &end);

} // namespace standins::load
