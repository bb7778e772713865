#include "baobabpin/http/ConnectionPool.h"

#include <utility>

namespace baobabpin::http {

ConnectionPool::ConnectionPool(kernel::EventLoop &loop, Endpoint endpoint,
                               std::size_t maxConnections)
    : Loop(loop), Target(std::move(endpoint)), MaxConnections(maxConnections) {}

HttpConnection *ConnectionPool::findOrCreateIdle() {
  for (auto &it : Connections) {
    if (!it->isBusy())
      return it.get();
  }
  if (Connections.size() >= MaxConnections)
    return nullptr;
  Connections.push_back(std::make_unique<HttpConnection>(Loop, Target));
  return Connections.back().get();
}

} // namespace baobabpin::http
