// standin_check: checks a history against the servers' final logs.
#include "standins/check/Checker.h"

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <optional>

using namespace standins::check;
using namespace standins::history;

namespace {

constexpr int ViolationsFound = 1;
constexpr int UsageError = 2;

template <typename Record, typename Parse>
std::vector<Record> readLines(const std::string &path, Parse parse) {
  std::ifstream file(path);
  if (!file)
    throw cxxopts::exceptions::specification("cannot read " + path);
  std::vector<Record> records;
  for (std::string line; std::getline(file, line);) {
    if (std::optional<Record> record = parse(line)) {
      records.push_back(std::move(*record));
      continue;
    }
    // Only the last line may be incomplete.
    if (file.peek() != std::ifstream::traits_type::eof())
      throw cxxopts::exceptions::specification("malformed line in " + path);
  }
  return records;
}

Evidence readEvidence(const cxxopts::ParseResult &args) {
  Evidence evidence;
  evidence.Records =
      readLines<HistoryRecord>(args["history"].as<std::string>(), parseRecord);
  evidence.Faults =
      readLines<FaultRecord>(args["faults"].as<std::string>(), parseFault);
  std::ifstream file(args["servers"].as<std::string>());
  auto servers = parseServerLogs(file);
  if (!servers || servers->empty())
    throw cxxopts::exceptions::specification("no server logs");
  evidence.Servers = std::move(*servers);
  evidence.ClientLatency =
      std::chrono::microseconds(args["client-latency-us"].as<std::int64_t>());
  return evidence;
}

cxxopts::Options declareOptions() {
  cxxopts::Options options("standin_check", "Checks a history");
  auto add = options.add_options();
  add("history", "file that standin_load wrote", cxxopts::value<std::string>());
  add("servers", "final logs of all servers", cxxopts::value<std::string>());
  add("faults", "faults that were injected", cxxopts::value<std::string>());
  add("client-latency-us", "one way between callers and nodes",
      cxxopts::value<std::int64_t>()->default_value("0"));
  add("prefix", "put before each key",
      cxxopts::value<std::string>()->default_value(""));
  add("json", "print JSON");
  add("examples", "print violations to the standard error");
  add("help", "print this text");
  return options;
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
    Report report = check(readEvidence(args));
    if (args.count("json") > 0)
      std::cout << formatJson(report) << '\n';
    else
      std::cout << formatLines(report, args["prefix"].as<std::string>());
    if (args.count("examples") > 0) {
      for (const std::string &example : report.Examples)
        std::cerr << example << '\n';
    }
    return violationCount(report) == 0 ? 0 : ViolationsFound;
  } catch (const cxxopts::exceptions::exception &error) {
    std::cerr << "standin_check: " << error.what() << '\n';
    return UsageError;
  }
}
