// standin_load: simulated callers of one deployment.
#include "standins/load/LoadDriver.h"
#include "standins/load/Throughput.h"

#include <cxxopts.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sys/resource.h>

using namespace standins::load;
using namespace baobabpin;

namespace {

constexpr int UsageError = 2;

cxxopts::Options declareOptions() {
  cxxopts::Options options("standin_load", "Simulated callers");
  auto add = options.add_options();
  add("mode", "callers or throughput",
      cxxopts::value<std::string>()->default_value("callers"));
  add("deployment", "bukhan or lankapura",
      cxxopts::value<std::string>()->default_value("bukhan"));
  add("seed", "of the random numbers",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("nodes", "IP:PORT,... of the entry nodes",
      cxxopts::value<std::vector<std::string>>());
  add("sessions", "open sessions",
      cxxopts::value<std::size_t>()->default_value("200"));
  add("rate", "operations per second (callers)",
      cxxopts::value<double>()->default_value("400"));
  add("duration-s", "seconds", cxxopts::value<double>()->default_value("30"));
  add("drain-s", "seconds for the last operations to end (callers)",
      cxxopts::value<double>()->default_value("30"));
  add("history", "file for the history (callers)",
      cxxopts::value<std::string>()->default_value("/dev/null"));
  add("connections", "requests in flight (throughput)",
      cxxopts::value<std::size_t>()->default_value("8"));
  add("write-share", "share of writes (throughput)",
      cxxopts::value<double>()->default_value("0"));
  add("upstream", "the target is an upstream server (throughput)");
  add("pid", "process to measure (throughput)", cxxopts::value<pid_t>());
  add("help", "print this text");
  return options;
}

std::chrono::milliseconds toMilliseconds(double seconds) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

std::vector<http::Endpoint> parseNodes(const cxxopts::ParseResult &args) {
  std::vector<http::Endpoint> nodes;
  for (auto &text : args["nodes"].as<std::vector<std::string>>()) {
    nodes.push_back(http::parseEndpoint(text));
    if (nodes.back().Address.empty())
      throw cxxopts::exceptions::specification("not an IP:PORT: " + text);
  }
  return nodes;
}

/// Thousands of sessions need as many descriptors.
void raiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

void printCounts(const LoadDriver &driver) {
  const CallerCounts &counts = driver.counts();
  std::cout << "operations=" << counts.Operations << '\n'
            << "attempts=" << driver.attemptCount() << '\n'
            << "answered=" << counts.Answered << '\n'
            << "not_run=" << counts.NotRun << '\n'
            << "failed=" << counts.Failed << '\n'
            << "given_up=" << counts.GivenUp << '\n'
            << "dropped_answers=" << counts.DroppedAnswers << '\n'
            << "repeats_answered=" << counts.RepeatsAnswered << '\n'
            << "moves=" << counts.Moves << '\n'
            << "sessions_restarted=" << counts.SessionsRestarted << '\n'
            << "unfinished=" << driver.unfinished() << '\n';
}

int runCallers(const cxxopts::ParseResult &args, Deployment deployment) {
  LoadOptions options;
  options.Seed = args["seed"].as<std::uint64_t>();
  options.Nodes = parseNodes(args);
  options.Sessions = args["sessions"].as<std::size_t>();
  options.Rate = args["rate"].as<double>();
  options.Duration = toMilliseconds(args["duration-s"].as<double>());
  options.DrainLimit = toMilliseconds(args["drain-s"].as<double>());
  std::ofstream history(args["history"].as<std::string>());
  kernel::EventLoop loop;
  LoadDriver driver(loop, std::move(deployment), std::move(options), history);
  loop.onSignal(SIGTERM, [&] { driver.finishEarly(); });
  loop.onSignal(SIGINT, [&] { driver.finishEarly(); });
  driver.start();
  loop.run();
  history.flush();
  printCounts(driver);
  return history ? 0 : 1;
}

int runThroughput(const cxxopts::ParseResult &args, Deployment deployment) {
  raiseDescriptorLimit();
  ThroughputOptions options;
  options.Seed = args["seed"].as<std::uint64_t>();
  options.Target = parseNodes(args).front();
  options.IsUpstream = args.count("upstream") > 0;
  options.Connections = args["connections"].as<std::size_t>();
  options.Sessions = args["sessions"].as<std::size_t>();
  options.WriteShare = args["write-share"].as<double>();
  options.Duration = toMilliseconds(args["duration-s"].as<double>());
  if (args.count("pid") > 0)
    options.Pid = args["pid"].as<pid_t>();
  kernel::EventLoop loop;
  Throughput throughput(loop, std::move(deployment), std::move(options));
  throughput.start();
  loop.run();
  throughput.print(std::cout);
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  cxxopts::Options options = declareOptions();
  try {
    auto args = options.parse(argc, argv);
    if (args.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    auto deployment = findDeployment(args["deployment"].as<std::string>());
    if (!deployment)
      throw cxxopts::exceptions::specification("no such deployment");
    if (args["mode"].as<std::string>() == "throughput")
      return runThroughput(args, std::move(*deployment));
    return runCallers(args, std::move(*deployment));
  } catch (const cxxopts::exceptions::exception &error) {
    std::cerr << "standin_load: " << error.what() << '\n';
    return UsageError;
  }
}
