/// The shares by which organisations take turns at a server that has less
/// capacity than they ask for.
#pragma once

#include "baobabpin/cluster/Types.h"

namespace baobabpin::cluster {

/// Returns the share of each organisation: the rate that it may use, but at
/// least the average rate, so that a small one does not wait for many turns of
/// the large ones. Without any rate limit, all shares are equal.
std::map<base::OrganisationName, double>
organisationShares(const Configuration &config);

} // namespace baobabpin::cluster
