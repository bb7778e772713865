/// Keys of the nodes' shared records in the store.
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

/// Returns the key of the record of the promotion duty.
inline std::string dutyKey() {
  return std::string(platform::ProxyPrefix) + cluster::DutyKeyPart;
}

} // namespace baobabpin::control
