/// One relayed address.
#pragma once

#include "standins/faultproxy/Rules.h"
#include "standins/faultproxy/Sockets.h"

#include <cstdint>
#include <string>
#include <vector>

namespace standins::faultproxy {

struct LinkOptions {
  std::string Name;
  baobabpin::http::Endpoint Listen;
  baobabpin::http::Endpoint Target;
};

struct LinkCounters {
  /// TCP connections that are open, UDP sources that are known.
  std::size_t Open = 0;
  /// TCP connections accepted, UDP datagrams received, from the start on.
  std::uint64_t Total = 0;
};

class Link {
public:
  virtual ~Link() = default;
  virtual const LinkOptions &options() const = 0;
  /// "tcp" or "udp".
  virtual std::string_view protocol() const = 0;
  virtual void applyRules(const std::vector<Rule> &rules) = 0;
  virtual LinkCounters counters() const = 0;
};

} // namespace standins::faultproxy
