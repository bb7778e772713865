#include "standins/faultproxy/FaultProxy.h"

#include "standins/faultproxy/TcpLink.h"
#include "standins/faultproxy/UdpLink.h"

#include <stdexcept>
#include <utility>

namespace standins::faultproxy {

using namespace baobabpin;
using http::Endpoint;
using http::HttpRequest;
using http::ResponderPtr;

namespace {

using Json = nlohmann::json;

Endpoint decodeEndpoint(const Json &body, const char *name) {
  auto text = body.at(name).get<std::string>();
  Endpoint endpoint = http::parseEndpoint(text);
  // Port 0 lets the system choose where to listen.
  bool isAnyPort = text.ends_with(":0");
  if (isAnyPort)
    return {text.substr(0, text.size() - 2), 0};
  if (endpoint.Address.empty())
    throw std::invalid_argument(std::string(name) + " is not IP:PORT");
  return endpoint;
}

std::chrono::microseconds decodeMs(const Json &body, const char *name) {
  double ms = body.value(name, 0.0);
  if (ms < 0)
    throw std::invalid_argument(std::string(name) + " is negative");
  return std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000));
}

Rule decodeRule(const Json &body) {
  Rule rule;
  rule.Link = body.value("link", "*");
  rule.Source = body.value("source", "*");
  rule.Delay = decodeMs(body, "delay_ms");
  rule.Jitter = decodeMs(body, "jitter_ms");
  auto drop = body.value("drop", "none");
  if (drop != "none" && drop != "both" && drop != "to_target" &&
      drop != "to_source")
    throw std::invalid_argument("drop: " + drop);
  rule.DropsToTarget = drop == "both" || drop == "to_target";
  rule.DropsToSource = drop == "both" || drop == "to_source";
  auto heal = body.value("heal", "resume");
  if (heal != "resume" && heal != "reset")
    throw std::invalid_argument("heal: " + heal);
  rule.ResetsOnHeal = heal == "reset";
  rule.Resets = body.value("reset", false);
  rule.Refuses = body.value("refuse", false);
  return rule;
}

std::int64_t monotonicUs(base::TimePoint at) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             at.time_since_epoch())
      .count();
}

} // namespace

base::Result<void> FaultProxy::start(kernel::Kernel &kernel) {
  Process = &kernel;
  Http = std::make_unique<http::HttpServer>(kernel.loop());
  route("/admin/links", &FaultProxy::links);
  route("/admin/rules", &FaultProxy::rules);
  BOOST_LEAF_ASSIGN(Control, Http->listen(Control));
  return {};
}

void FaultProxy::stop() {
  Links.clear();
  Http.reset();
}

void FaultProxy::route(const std::string &path,
                       Json (FaultProxy::*handler)(const Json &)) {
  Http->handle(path, [this, handler](const HttpRequest &request,
                                     const ResponderPtr &responder) {
    try {
      Json body = request.Body.empty() ? Json() : Json::parse(request.Body);
      Json answer = (this->*handler)(body);
      answer["at_us"] = monotonicUs(Process->loop().now());
      responder->json(200, answer.dump());
    } catch (const std::exception &ec) {
      responder->json(400, Json{{"error", ec.what()}}.dump());
    }
  });
}

FaultProxy::Json FaultProxy::links(const Json &body) {
  if (body.is_array()) {
    for (const auto &it : body)
      addLink(it);
  } else if (!body.is_null()) {
    addLink(body);
  }
  return {{"links", describeLinks()}};
}

void FaultProxy::addLink(const Json &body) {
  LinkOptions options{body.at("name").get<std::string>(),
                      decodeEndpoint(body, "listen"),
                      decodeEndpoint(body, "target")};
  std::string name = options.Name;
  if (Links.contains(name))
    throw std::invalid_argument("link " + name + " exists");
  auto protocol = body.value("protocol", "tcp");
  auto open = [&](auto link) {
    base::handleFailure(
        [&]() -> base::Result<bool> {
          BOOST_LEAF_CHECK(link->open(Rules));
          return true;
        },
        [](const base::Failure &failure) -> bool {
          throw std::runtime_error(failure.Detail);
        });
    Links.emplace(name, std::move(link));
  };
  kernel::EventLoop &loop = Process->loop();
  if (protocol == "tcp")
    open(std::make_unique<TcpLink>(loop, Random, std::move(options)));
  else if (protocol == "udp")
    open(std::make_unique<UdpLink>(loop, Random, std::move(options)));
  else
    throw std::invalid_argument("protocol: " + protocol);
}

FaultProxy::Json FaultProxy::describeLinks() const {
  Json list = Json::array();
  for (const auto &[name, it] : Links) {
    LinkCounters counters = it->counters();
    list.push_back({{"name", name},
                    {"protocol", it->protocol()},
                    {"listen", formatEndpoint(it->options().Listen)},
                    {"target", formatEndpoint(it->options().Target)},
                    {"open", counters.Open},
                    {"total", counters.Total}});
  }
  return list;
}

FaultProxy::Json FaultProxy::rules(const Json &body) {
  if (body.is_null())
    return {{"rules", RuleText}};
  const Json &list = body.is_object() ? body.at("rules") : body;
  std::vector<Rule> decoded;
  for (const auto &it : list)
    decoded.push_back(decodeRule(it));
  Rules = std::move(decoded);
  RuleText = list;
  for (auto &[name, it] : Links)
    it->applyRules(Rules);
  Process->log().record("rules_set", {{"rules", RuleText.dump()}});
  return {{"rules", RuleText}};
}

} // namespace standins::faultproxy
