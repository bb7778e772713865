/// Keep-alive connections of the simulated callers to the entry nodes.
///
/// A connection carries one request at a time; a request takes an idle
/// connection of its node or opens another.
#pragma once

#include "baobabpin/http/HttpClient.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace standins::load {

class NodePool {
public:
  NodePool(baobabpin::kernel::EventLoop &loop,
           std::vector<baobabpin::http::Endpoint> nodes);

  std::size_t size() const { return Nodes.size(); }
  const baobabpin::http::Endpoint &endpoint(std::size_t node) const {
    return Nodes[node].Endpoint;
  }
  /// Polls the health check of every node, as a load balancer in front of them
  /// does. A node counts as healthy until a check fails.
  void watchHealth(std::chrono::milliseconds period);
  bool isHealthy(std::size_t node) const { return Nodes[node].Healthy; }
  /// The healthy nodes but \p current; all but \p current when none is.
  std::vector<std::size_t> nodesBut(std::size_t current) const;
  /// \p callback runs once, later, on the loop.
  void post(std::size_t node, const std::string &path, std::string body,
            baobabpin::base::Duration timeout,
            baobabpin::http::ReplyCallback callback);

private:
  using ConnectionPtr = std::shared_ptr<baobabpin::http::HttpConnection>;
  struct Node {
    baobabpin::http::Endpoint Endpoint;
    std::vector<ConnectionPtr> Idle;
    ConnectionPtr HealthCheck;
    bool Healthy = true;
  };

  void checkHealth(Node &node);

  baobabpin::kernel::EventLoop &Loop;
  std::vector<Node> Nodes;
  /// Connections with a request in flight.
  std::map<baobabpin::http::HttpConnection *, ConnectionPtr> Busy;
  baobabpin::kernel::Timer HealthTimer;
};

} // namespace standins::load
