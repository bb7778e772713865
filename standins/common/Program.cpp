#include "standins/common/Program.h"

#include <csignal>
#include <iostream>

namespace standins::common {

using namespace baobabpin;

int runService(const std::string &process,
               std::unique_ptr<kernel::Service> service) {
  // A peer that closed its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  kernel::Kernel kernel(process);
  kernel.add(std::move(service));
  bool started = base::handleFailure(
      [&]() -> base::Result<bool> {
        BOOST_LEAF_CHECK(kernel.startAll());
        return true;
      },
      [&](const base::Failure &failure) {
        kernel.log().record("start_failed", {{"detail", failure.Detail}});
        return false;
      });
  if (!started)
    return 1;
  for (int signal : {SIGTERM, SIGINT})
    kernel.loop().onSignal(signal, [&] { kernel.loop().stop(); });
  kernel.loop().run();
  kernel.stopAll();
  return 0;
}

http::Endpoint endpointOption(const cxxopts::ParseResult &options,
                              const std::string &name) {
  auto text = options[name].as<std::string>();
  auto endpoint = http::parseEndpoint(text);
  if (endpoint.Address.empty())
    throw cxxopts::exceptions::parsing("--" + name + ": " + text +
                                       " is not IP:PORT");
  return endpoint;
}

void printUsage(const std::string &text) { std::cerr << text << '\n'; }

} // namespace standins::common
