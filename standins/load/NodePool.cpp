#include "standins/load/NodePool.h"

#include <utility>

namespace standins::load {

using namespace baobabpin;

NodePool::NodePool(kernel::EventLoop &loop, std::vector<http::Endpoint> nodes)
    : Loop(loop) {
  for (http::Endpoint &endpoint : nodes)
    Nodes.push_back({std::move(endpoint), {}});
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
