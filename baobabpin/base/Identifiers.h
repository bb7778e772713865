/// Names of the things that messages and decisions refer to.
#pragma once

#include <string>

namespace baobabpin::base {

/// A proxy node, unique for one process lifetime, for example "host-3/17".
using NodeId = std::string;
/// An upstream database server, for example "lending-ledger-0-b".
using ServerId = std::string;
/// A database group, for example "lending-ledger-0".
using GroupName = std::string;
/// An availability zone, for example "kr-central-a".
using AvailabilityZone = std::string;
/// Idempotency key of a write: "<unix ms>-<32 hex digits>".
using RequestId = std::string;

} // namespace baobabpin::base
