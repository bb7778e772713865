/// Keys of the nodes' own records in the store.
#pragma once

#include "baobabpin/cluster/ClusterView.h"
#include "platform/Documents.h"

#include <string>

namespace baobabpin::control {

inline std::string nodeKey(const std::string &node) {
  return std::string(platform::ProxyPrefix) + cluster::NodeKeyPart + node;
}

inline std::string groupKey(const base::GroupName &group) {
  return std::string(platform::ProxyPrefix) + cluster::GroupKeyPart + group;
}

/// Of the holder of the promotion duty.
inline std::string dutyKey() {
  return std::string(platform::ProxyPrefix) + cluster::DutyKeyPart;
}

} // namespace baobabpin::control
