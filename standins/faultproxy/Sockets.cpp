#include "standins/faultproxy/Sockets.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace standins::faultproxy {

using baobabpin::http::Endpoint;

sockaddr_in socketAddress(const Endpoint &endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.Port);
  inet_pton(AF_INET, endpoint.Address.c_str(), &address.sin_addr);
  return address;
}

Endpoint endpointOf(const sockaddr_in &address) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  return {text.data(), ntohs(address.sin_port)};
}

Endpoint localEndpoint(evutil_socket_t fd) {
  sockaddr_in address{};
  socklen_t n = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr *>(&address), &n);
  return endpointOf(address);
}

evutil_socket_t openSocketFrom(const std::string &source, int type) {
  evutil_socket_t fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  int one = 1;
  // The kernel chooses the port on connect; ports then are unique for each
  // destination only, and thousands of connections do not use them up.
  if (type == SOCK_STREAM)
    setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one, sizeof one);
  sockaddr_in address = socketAddress({source, 0});
  if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0)
    return fd;
  close(fd);
  return -1;
}

void setNoDelay(evutil_socket_t fd) {
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

void setResetOnClose(evutil_socket_t fd) {
  linger abrupt{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &abrupt, sizeof abrupt);
}

} // namespace standins::faultproxy
