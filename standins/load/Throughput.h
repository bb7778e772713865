/// Closed-loop measurement of one node, or of an upstream server directly.
///
/// Opens S connections, one for each session, and keeps C requests in flight;
/// each next request goes to a random idle connection.
#pragma once

#include "baobabpin/http/HttpClient.h"
#include "standins/load/Deployment.h"
#include "standins/load/ProcessUsage.h"

#include <chrono>
#include <memory>
#include <optional>
#include <ostream>
#include <random>
#include <string>
#include <vector>

namespace standins::load {

struct ThroughputOptions {
  std::uint64_t Seed = 1;
  baobabpin::http::Endpoint Target;
  /// The target is an upstream server and not a node; sessions then count as
  /// database connections.
  bool IsUpstream = false;
  std::size_t Connections = 8;
  std::size_t Sessions = 100;
  /// Share of statements that are writes; nodes only.
  double WriteShare = 0;
  std::chrono::milliseconds Duration{10'000};
  /// Process whose CPU time and memory are measured.
  std::optional<pid_t> Pid;
};

/// Latency at \p share (0.99 for p99) of \p sorted; 0 when empty.
std::chrono::microseconds
latencyAt(const std::vector<std::chrono::microseconds> &sorted, double share);

class Throughput {
public:
  Throughput(baobabpin::kernel::EventLoop &loop, Deployment deployment,
             ThroughputOptions options);

  /// Opens the sessions, runs, and stops the loop at the end.
  void start();
  /// Statements that ended with anything but a complete good answer.
  std::uint64_t errorCount() const { return Errors; }
  void print(std::ostream &out) const;

private:
  void openNext();
  void beginMeasuring();
  void finish();
  void sendOn(std::size_t session);
  void onReply(std::size_t session, baobabpin::base::TimePoint sent,
               const baobabpin::http::HttpReply &reply);
  std::string makeBody(std::size_t session);
  std::string path() const;

  baobabpin::kernel::EventLoop &Loop;
  Deployment Profile;
  ThroughputOptions Options;
  std::mt19937_64 Random;
  std::vector<std::unique_ptr<baobabpin::http::HttpConnection>> Sessions;
  std::vector<std::size_t> Idle;
  bool Measuring = false;
  std::uint64_t Sent = 0;
  std::uint64_t Errors = 0;
  std::vector<std::chrono::microseconds> Latencies;
  baobabpin::base::TimePoint Began;
  baobabpin::base::Duration Took{};
  std::optional<ProcessUsage> BeforeSessions;
  std::optional<ProcessUsage> Before;
  std::optional<ProcessUsage> After;
  baobabpin::kernel::Timer End;
};

} // namespace standins::load
