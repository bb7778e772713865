/// What the main functions of the stand-ins share.
#pragma once

#include "baobabpin/http/HttpClient.h"
#include "baobabpin/kernel/Kernel.h"

#include <cxxopts.hpp>

#include <memory>
#include <string>

namespace standins::common {

/// Runs one service until SIGTERM or SIGINT. Returns the exit status: 1 when
/// the service cannot start.
int runService(const std::string &process,
               std::unique_ptr<baobabpin::kernel::Service> service);

/// The value of an IP:PORT option; throws cxxopts::exceptions::parsing when it
/// is malformed.
baobabpin::http::Endpoint endpointOption(const cxxopts::ParseResult &options,
                                         const std::string &name);

/// Parses the command line and calls \p body with the result. Prints the help
/// for --help, and the help and the fault for a wrong command line (status 2).
template <typename Body>
int runProgram(cxxopts::Options &options, int argc, char **argv, Body body);

/// Prints \p text to the standard error.
void printUsage(const std::string &text);

template <typename Body>
int runProgram(cxxopts::Options &options, int argc, char **argv, Body body) {
  options.add_options()("help", "Print this text");
  try {
    auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      printUsage(options.help());
      return 0;
    }
    return body(parsed);
  } catch (const cxxopts::exceptions::exception &ec) {
    printUsage(std::string(ec.what()) + "\n" + options.help());
    return 2;
  }
}

} // namespace standins::common
