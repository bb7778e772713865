/// The proxy's control endpoint and its links; docs/faultproxy.md.
#pragma once

#include "baobabpin/http/HttpServer.h"
#include "baobabpin/kernel/Kernel.h"
#include "standins/faultproxy/Link.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace standins::faultproxy {

class FaultProxy : public baobabpin::kernel::Service {
public:
  FaultProxy(baobabpin::http::Endpoint control, std::uint64_t seed)
      : Control(std::move(control)), Random(seed) {}

  std::string_view name() const override { return "faultproxy"; }
  baobabpin::base::Result<void>
  start(baobabpin::kernel::Kernel &kernel) override;
  void stop() override;
  const baobabpin::http::Endpoint &endpoint() const { return Control; }

private:
  using Json = nlohmann::json;

  void route(const std::string &path,
             Json (FaultProxy::*handler)(const Json &));
  Json links(const Json &body);
  Json rules(const Json &body);
  void addLink(const Json &body);
  Json describeLinks() const;

  baobabpin::http::Endpoint Control;
  std::mt19937_64 Random;
  baobabpin::kernel::Kernel *Process = nullptr;
  std::unique_ptr<baobabpin::http::HttpServer> Http;
  std::map<std::string, std::unique_ptr<Link>> Links;
  std::vector<Rule> Rules;
  Json RuleText = Json::array();
};

} // namespace standins::faultproxy
