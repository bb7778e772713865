/// IPv4 addresses and libevent objects of the proxy.
#pragma once

#include "baobabpin/http/HttpClient.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <netinet/in.h>

#include <memory>
#include <string>

namespace standins::faultproxy {

struct LibeventDeleter {
  void operator()(event *it) const { event_free(it); }
  void operator()(bufferevent *it) const { bufferevent_free(it); }
  void operator()(evconnlistener *it) const { evconnlistener_free(it); }
};
using EventPtr = std::unique_ptr<event, LibeventDeleter>;
using BufferPtr = std::unique_ptr<bufferevent, LibeventDeleter>;
using ListenerPtr = std::unique_ptr<evconnlistener, LibeventDeleter>;

sockaddr_in socketAddress(const baobabpin::http::Endpoint &endpoint);
baobabpin::http::Endpoint endpointOf(const sockaddr_in &address);
/// Where a socket is bound.
baobabpin::http::Endpoint localEndpoint(evutil_socket_t fd);

/// A non-blocking socket (SOCK_STREAM or SOCK_DGRAM) that sends from the IP
/// number \p source and any port; -1 on failure.
evutil_socket_t openSocketFrom(const std::string &source, int type);

void setNoDelay(evutil_socket_t fd);
/// Closing the socket afterwards sends a reset.
void setResetOnClose(evutil_socket_t fd);

} // namespace standins::faultproxy
