#include "baobabpin/http/ConnectionPool.h"

#include <utility>

namespace baobabpin::http {

ConnectionPool::ConnectionPool(kernel::EventLoop &loop, Endpoint endpoint,
                               std::size_t most)
    : Loop(loop), Target(std::move(endpoint)), Most(most) {}

HttpConnection *ConnectionPool::findOrCreateIdle() {
  for (auto &it : Connections) {
    if (!it->isBusy())
      return it.get();
  }
  if (Connections.size() >= Most)
    return nullptr;
  Connections.push_back(std::make_unique<HttpConnection>(Loop, Target));
  return Connections.back().get();
}

} // namespace baobabpin::http
