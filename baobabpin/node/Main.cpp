/// Entry point of the proxy node: reads the command line and the settings, then
/// runs the node until it is told to stop.

#include "baobabpin/node/NodeAssembly.h"
#include "baobabpin/node/PlatformNode.h"

#include <cxxopts.hpp>
#include <glog/logging.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

constexpr const char *Version = "0.1.0";
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

int runNode(const baobabpin::node::NodeSettings &settings) {
  baobabpin::kernel::Kernel kernel(settings.Node);
  baobabpin::node::addServices(kernel, settings);
  bool started = baobabpin::base::handleFailure(
      [&]() -> baobabpin::base::Result<bool> {
        BOOST_LEAF_CHECK(kernel.startAll());
        return true;
      },
      [&](const baobabpin::base::Failure &failure) {
        std::cerr << "baobabpin: " << baobabpin::base::errorName(failure.Type)
                  << ": " << failure.Detail << '\n';
        return false;
      });
  if (!started)
    return ExitFailed;
  kernel.log().record("node_ready", {{"zone", settings.Zone}});
  kernel.loop().run();
  kernel.log().record("node_stopping");
  kernel.stopAll();
  return 0;
}

int runOnPlatform(bool checkOnly) {
  const char *path = std::getenv(platform::SettingsPathVariable);
  if (!path) {
    std::cerr << "baobabpin: " << platform::SettingsPathVariable
              << " is not set\n";
    return ExitUsage;
  }
  return baobabpin::base::handleFailure(
      [&]() -> baobabpin::base::Result<int> {
        BOOST_LEAF_AUTO(settings, platform::readHostSettings(path));
        return checkOnly ? 0 : baobabpin::node::runPlatformNode(settings, path);
      },
      [&](const baobabpin::base::Failure &failure) {
        std::cerr << "baobabpin: " << path << ": " << failure.Detail << '\n';
        return ExitUsage;
      });
}

int run(int argc, char **argv) {
  cxxopts::Options options("baobabpin",
                           "Database proxy node with session consistency.");
  options.add_options()("settings", "path of the settings file (JSON)",
                        cxxopts::value<std::string>())(
      "platform",
      "run as a node of the hosting platform; the environment variable "
      "BAOBABPIN_NODE_FILE names the settings file")(
      "check", "validate the settings and exit")(
      "version", "print the version and exit")("help",
                                               "print this help and exit");
  auto parsed = options.parse(argc, argv);
  if (parsed.count("help")) {
    std::cout << options.help();
    return 0;
  }
  if (parsed.count("version")) {
    std::cout << "baobabpin " << Version << '\n';
    return 0;
  }
  if (parsed.count("platform"))
    return runOnPlatform(parsed.count("check") > 0);
  if (!parsed.count("settings")) {
    std::cerr << "baobabpin: --settings FILE is required; see --help\n";
    return ExitUsage;
  }
  auto path = parsed["settings"].as<std::string>();
  return baobabpin::base::handleFailure(
      [&]() -> baobabpin::base::Result<int> {
        BOOST_LEAF_AUTO(settings, baobabpin::node::readSettings(path));
        if (parsed.count("check"))
          return 0;
        return runNode(settings);
      },
      [&](const baobabpin::base::Failure &failure) {
        std::cerr << "baobabpin: " << path << ": " << failure.Detail << '\n';
        return ExitUsage;
      });
}

} // namespace

int main(int argc, char **argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  // A write to a connection that the peer has closed must return an error and
  // not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return run(argc, argv);
  } catch (const cxxopts::exceptions::exception &ec) {
    std::cerr << "baobabpin: " << ec.what() << '\n';
    return ExitUsage;
  }
}
