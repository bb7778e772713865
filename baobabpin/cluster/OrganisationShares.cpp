#include "baobabpin/cluster/OrganisationShares.h"

#include <algorithm>

namespace baobabpin::cluster {

std::map<base::OrganisationName, double>
organisationShares(const Configuration &config) {
  std::map<base::OrganisationName, double> shares;
  if (!config.Organisations)
    return shares;
  double sum = 0;
  int limited = 0;
  for (const auto &[name, it] : *config.Organisations) {
    sum += it.Limit ? it.Limit->Rate : 0;
    limited += it.Limit ? 1 : 0;
  }
  double average = limited > 0 ? sum / limited : 1;
  for (const auto &[name, it] : *config.Organisations)
    shares[name] = std::max(average, it.Limit ? it.Limit->Rate : 0);
  return shares;
}

} // namespace baobabpin::cluster
