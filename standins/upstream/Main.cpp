/// standin_upstream: one server of a database group.
#include "baobabpin/base/Hash.h"
#include "standins/common/Program.h"
#include "standins/upstream/UpstreamServer.h"

#include <utility>

namespace standins::upstream {
namespace {

using Strings = std::vector<std::string>;
using std::chrono::microseconds;
using std::chrono::milliseconds;

cxxopts::Options declareOptions() {
  cxxopts::Options options("standin_upstream",
                           "One server of a database group.");
  auto text = [](const char *fallback) {
    return cxxopts::value<std::string>()->default_value(fallback);
  };
  auto number = [](const char *fallback) {
    return cxxopts::value<std::uint32_t>()->default_value(fallback);
  };
  options.add_options()("listen", "IP:PORT to listen on", text(""))(
      "server", "ID of this server", text(""))("group", "Group name", text(""))(
      "peer", "ID=IP:PORT of another server, repeatable",
      cxxopts::value<Strings>()->default_value(""))(
      "primary", "ID of the primary of term 1; empty to be told",
      text(""))("slots", "Statements that run at once", number("2"))(
      "connections", "Database connections", number("15"))(
      "connect-cost-ms", "Delay of a connection's first answer",
      number("10"))("lag-min-ms", "Least replication delay", number("0"))(
      "lag-max-ms", "Greatest replication delay", number("0"))(
      "statement-us-min", "Least time of a statement", number("0"))(
      "statement-us-max", "Greatest time of a statement",
      number("0"))("seed", "Seed of all random choices", number("1"));
  return options;
}

std::pair<ServerId, baobabpin::http::Endpoint>
parsePeer(const std::string &text) {
  auto split = text.find('=');
  auto endpoint = baobabpin::http::parseEndpoint(
      split == std::string::npos ? "" : text.substr(split + 1));
  if (endpoint.Address.empty())
    throw cxxopts::exceptions::parsing("--peer: " + text +
                                       " is not ID=IP:PORT");
  return {text.substr(0, split), endpoint};
}

UpstreamOptions readOptions(const cxxopts::ParseResult &parsed) {
  auto number = [&](const char *name) {
    return parsed[name].as<std::uint32_t>();
  };
  UpstreamOptions options;
  options.Listen = common::endpointOption(parsed, "listen");
  options.Group = parsed["group"].as<std::string>();
  options.Open.Server = parsed["server"].as<std::string>();
  options.Open.Primary = parsed["primary"].as<std::string>();
  if (options.Open.Server.empty())
    throw cxxopts::exceptions::parsing("--server is missing");
  options.SlotLimit = number("slots");
  options.ConnectionLimit = number("connections");
  options.ConnectCost = milliseconds(number("connect-cost-ms"));
  options.Times.Min = microseconds(number("statement-us-min"));
  options.Times.Max =
      std::max(options.Times.Min, microseconds(number("statement-us-max")));
  // Servers of a group with the same seed still differ.
  options.Seed = baobabpin::base::hash64(options.Open.Server, number("seed"));
  options.Replication.Seed = options.Seed + 1;
  options.Replication.LocalAddress = options.Listen.Address;
  options.Replication.LagMin = milliseconds(number("lag-min-ms"));
  options.Replication.LagMax =
      std::max(options.Replication.LagMin, milliseconds(number("lag-max-ms")));
  for (const auto &it : parsed["peer"].as<Strings>()) {
    if (!it.empty())
      options.Replication.Peers.insert(parsePeer(it));
  }
  return options;
}

} // namespace
} // namespace standins::upstream

int main(int argc, char **argv) {
  using namespace standins;
  auto options = upstream::declareOptions();
  return common::runProgram(
      options, argc, argv, [](const cxxopts::ParseResult &parsed) {
        upstream::UpstreamOptions read = upstream::readOptions(parsed);
        std::string process = "standin_upstream/" + read.Open.Server;
        return common::runService(
            process,
            std::make_unique<upstream::UpstreamServer>(std::move(read)));
      });
}
