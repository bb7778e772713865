/// Keep-alive connections of the simulated callers to the entry nodes.
///
/// A connection carries one request at a time; a request takes an idle
/// connection of its node or opens another.
#pragma once

#include "baobabpin/http/HttpClient.h"

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
  /// \p callback runs once, later, on the loop.
  void post(std::size_t node, const std::string &path, std::string body,
            baobabpin::base::Duration timeout,
            baobabpin::http::ReplyCallback callback);

private:
  using ConnectionPtr = std::shared_ptr<baobabpin::http::HttpConnection>;
  struct Node {
    baobabpin::http::Endpoint Endpoint;
    std::vector<ConnectionPtr> Idle;
  };

  baobabpin::kernel::EventLoop &Loop;
  std::vector<Node> Nodes;
  /// Connections with a request in flight.
  std::map<baobabpin::http::HttpConnection *, ConnectionPtr> Busy;
};

} // namespace standins::load
