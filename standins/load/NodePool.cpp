#include "standins/load/NodePool.h"

#include <utility>

namespace standins::load {

using namespace baobabpin;

namespace {

constexpr std::chrono::milliseconds HealthTimeout{1000};
constexpr int HttpOk = 200;

} // namespace

NodePool::NodePool(kernel::EventLoop &loop, std::vector<http::Endpoint> nodes)
    : Loop(loop) {
  for (http::Endpoint &endpoint : nodes)
    Nodes.push_back({.Endpoint = std::move(endpoint)});
}

void NodePool::watchHealth(std::chrono::milliseconds period) {
  for (Node &node : Nodes)
    node.HealthCheck =
        std::make_shared<http::HttpConnection>(Loop, node.Endpoint);
  HealthTimer = Loop.runEvery(period, [this] {
    for (Node &node : Nodes)
      checkHealth(node);
  });
}

void NodePool::checkHealth(Node &node) {
  if (node.HealthCheck->isBusy())
    return;
  node.HealthCheck->get(
      "/healthz", HealthTimeout, [&node](const http::HttpReply &reply) {
        node.Healthy =
            reply.Result == http::Transfer::Completed && reply.Status == HttpOk;
      });
}

std::vector<std::size_t> NodePool::nodesBut(std::size_t current) const {
  std::vector<std::size_t> healthy;
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < Nodes.size(); ++i) {
    if (i == current)
      continue;
    all.push_back(i);
    if (Nodes[i].Healthy)
      healthy.push_back(i);
  }
  return healthy.empty() ? all : healthy;
}

void NodePool::post(std::size_t node, const std::string &path, std::string body,
                    base::Duration timeout, http::ReplyCallback callback) {
  auto &idle = Nodes[node].Idle;
  ConnectionPtr connection;
  if (idle.empty()) {
    connection =
        std::make_shared<http::HttpConnection>(Loop, Nodes[node].Endpoint);
  } else {
    connection = std::move(idle.back());
    idle.pop_back();
  }
  http::HttpConnection *key = connection.get();
  Busy[key] = std::move(connection);
  key->post(
      path, std::move(body), timeout,
      [this, node, key, callback = std::move(callback)](http::HttpReply reply) {
        auto done = Busy.extract(key);
        // After a failure the connection object reconnects by itself.
        Nodes[node].Idle.push_back(std::move(done.mapped()));
        callback(std::move(reply));
      });
}

} // namespace standins::load
