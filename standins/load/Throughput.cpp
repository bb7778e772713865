#include "standins/load/Throughput.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace standins::load {

using namespace baobabpin;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr auto RequestTimeout = 5s;
constexpr std::size_t Keys = 60;

/// Both a node and an upstream name the outcome; only "answered" and "ok" count
/// as good.
bool isGood(const http::HttpReply &reply) {
  if (reply.Result != http::Transfer::Completed)
    return false;
  json answer = json::parse(reply.Body, nullptr, false);
  if (!answer.is_object())
    return false;
  auto outcome = answer.value("outcome", "");
  return outcome == "answered" || outcome == "ok";
}

double perStatement(base::Duration time, std::size_t statements) {
  auto us = std::chrono::duration<double, std::micro>(time).count();
  return statements == 0 ? 0 : us / static_cast<double>(statements);
}

} // namespace

std::chrono::microseconds
latencyAt(const std::vector<std::chrono::microseconds> &sorted, double share) {
  if (sorted.empty())
    return 0us;
  auto rank =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
  return sorted[std::min(rank, sorted.size() - 1)];
}

Throughput::Throughput(kernel::EventLoop &loop, Deployment deployment,
                       ThroughputOptions options)
    : Loop(loop), Profile(std::move(deployment)), Options(std::move(options)),
      Random(Options.Seed) {
  Options.Connections = std::min(Options.Connections, Options.Sessions);
}

std::string Throughput::path() const {
  return Options.IsUpstream ? "/v1/execute" : "/v1/statement";
}

std::string Throughput::makeBody(std::size_t session) {
  ++Sent;
  std::string key = "shelf0:load:" + std::to_string(Random() % Keys);
  if (Options.IsUpstream) {
    return json{{"id", std::to_string(Sent)},
                {"term", 0},
                {"kind", "read"},
                {"statement", "GET " + key}}
        .dump();
  }
  bool isWrite = std::bernoulli_distribution(Options.WriteShare)(Random);
  json body{{"customer", Profile.Customer},
            {"database", Profile.Database},
            {"group", Profile.Groups[session % Profile.Groups.size()]},
            {"timeout_ms", 2000}};
  // The first class of the mix reads, the last that is no read writes.
  body["class"] = Profile.Mix.front().Class;
  body["kind"] = "read";
  body["statement"] = "GET " + key;
  body["max_age_ms"] = 10'000;
  if (isWrite) {
    auto write = std::find_if(
        Profile.Mix.begin(), Profile.Mix.end(),
        [](const ClassMix &mix) { return mix.What == ClassMix::Shape::Write; });
    body["class"] = write->Class;
    body["kind"] = "write";
    body["statement"] = "ADD " + key + " 1";
    body.erase("max_age_ms");
  }
  return body.dump();
}

void Throughput::start() {
  if (Options.Pid)
    BeforeSessions = readProcessUsage(*Options.Pid);
  openNext();
}

/// Opens the sessions one after the other with a request each, so that every
/// connection is established before the measurement begins.
void Throughput::openNext() {
  if (Sessions.size() == Options.Sessions) {
    beginMeasuring();
    return;
  }
  std::size_t session = Sessions.size();
  Sessions.push_back(
      std::make_unique<http::HttpConnection>(Loop, Options.Target));
  Idle.push_back(session);
  Sessions.back()->post(path(), makeBody(session), RequestTimeout,
                        [this](const http::HttpReply &) { openNext(); });
}

void Throughput::beginMeasuring() {
  Measuring = true;
  if (Options.Pid)
    Before = readProcessUsage(*Options.Pid);
  Began = Loop.now();
  End = Loop.runAfter(Options.Duration, [this] { finish(); });
  for (std::size_t i = 0; i < Options.Connections; ++i) {
    std::swap(Idle[Random() % Idle.size()], Idle.back());
    std::size_t session = Idle.back();
    Idle.pop_back();
    sendOn(session);
  }
}

void Throughput::sendOn(std::size_t session) {
  auto sent = Loop.now();
  Sessions[session]->post(path(), makeBody(session), RequestTimeout,
                          [this, session, sent](const http::HttpReply &reply) {
                            onReply(session, sent, reply);
                          });
}

void Throughput::onReply(std::size_t session, base::TimePoint sent,
                         const http::HttpReply &reply) {
  if (!Measuring)
    return;
  if (isGood(reply)) {
    Latencies.push_back(std::chrono::duration_cast<std::chrono::microseconds>(
        Loop.now() - sent));
  } else {
    ++Errors;
  }
  Idle.push_back(session);
  std::swap(Idle[Random() % Idle.size()], Idle.back());
  std::size_t next = Idle.back();
  Idle.pop_back();
  sendOn(next);
}

void Throughput::finish() {
  Measuring = false;
  Took = Loop.now() - Began;
  if (Options.Pid)
    After = readProcessUsage(*Options.Pid);
  std::sort(Latencies.begin(), Latencies.end());
  Loop.stop();
}

void Throughput::print(std::ostream &out) const {
  double seconds = std::chrono::duration<double>(Took).count();
  std::size_t n = Latencies.size();
  out << "sessions=" << Options.Sessions << '\n'
      << "connections=" << Options.Connections << '\n'
      << "statements=" << n << '\n'
      << "errors=" << Errors << '\n'
      << "statements_per_s=" << static_cast<double>(n) / seconds << '\n'
      << "latency_p50_us=" << latencyAt(Latencies, 0.5).count() << '\n'
      << "latency_p99_us=" << latencyAt(Latencies, 0.99).count() << '\n'
      << "latency_p999_us=" << latencyAt(Latencies, 0.999).count() << '\n';
  if (!BeforeSessions || !Before || !After)
    return;
  out << "cpu_us_per_statement="
      << perStatement(After->CpuTime - Before->CpuTime, n + Errors) << '\n'
      << "resident_kb=" << After->ResidentKb << '\n';
  auto grown = static_cast<double>(After->ResidentKb) -
               static_cast<double>(BeforeSessions->ResidentKb);
  out << "resident_kb_per_session="
      << grown / static_cast<double>(Options.Sessions) << '\n';
}

} // namespace standins::load
