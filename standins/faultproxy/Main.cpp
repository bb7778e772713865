/// standin_faultproxy: TCP and UDP relays with faults.
#include "standins/common/Program.h"
#include "standins/faultproxy/FaultProxy.h"

int main(int argc, char **argv) {
  using namespace standins;
  cxxopts::Options options("standin_faultproxy",
                           "TCP and UDP relays with delays and faults.");
  options.add_options()("control", "IP:PORT of the control endpoint",
                        cxxopts::value<std::string>()->default_value(""))(
      "seed", "Seed of the jitter",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  return common::runProgram(
      options, argc, argv, [](const cxxopts::ParseResult &parsed) {
        return common::runService("standin_faultproxy",
                                  std::make_unique<faultproxy::FaultProxy>(
                                      common::endpointOption(parsed, "control"),
                                      parsed["seed"].as<std::uint64_t>()));
      });
}
