/// standin_store: the platform's key-value store and host list.
#include "standins/common/Program.h"
#include "standins/store/StoreServer.h"

int main(int argc, char **argv) {
  using namespace standins;
  using std::chrono::milliseconds;
  cxxopts::Options options("standin_store",
                           "The platform's store and list of hosts.");
  options.add_options()("listen", "IP:PORT to listen on",
                        cxxopts::value<std::string>()->default_value(""))(
      "hosts-lag-ms", "Delay until a change of the host list is visible",
      cxxopts::value<std::uint32_t>()->default_value("2000"))(
      "answer-ms", "Delay of each answer",
      cxxopts::value<std::uint32_t>()->default_value("0"));
  return common::runProgram(
      options, argc, argv, [](const cxxopts::ParseResult &parsed) {
        store::StoreOptions read;
        read.Listen = common::endpointOption(parsed, "listen");
        read.HostsLag =
            milliseconds(parsed["hosts-lag-ms"].as<std::uint32_t>());
        read.AnswerDelay =
            milliseconds(parsed["answer-ms"].as<std::uint32_t>());
        return common::runService("standin_store",
                                  std::make_unique<store::StoreServer>(read));
      });
}
