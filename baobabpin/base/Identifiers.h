/// Types of the identifiers that are used in messages and in all packages.
#pragma once

#include <string>

namespace baobabpin::base {

/// ID of a proxy node, for example "host-3/1796361961141". A restarted node has
/// a new ID.
using NodeId = std::string;
/// ID of an upstream database server, for example "lending-ledger-0-b".
using ServerId = std::string;
/// Name of a database group, for example "lending-ledger-0".
using GroupName = std::string;
/// Name of an organisation, whose callers share access keys and a quota. Empty
/// for work that is done for none.
using OrganisationName = std::string;
/// Name of an availability zone, for example "kr-central-a".
using AvailabilityZone = std::string;
/// Idempotency key of a write: "<unix ms>-<32 hex digits>".
using RequestId = std::string;

} // namespace baobabpin::base
