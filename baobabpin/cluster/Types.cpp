#include "baobabpin/cluster/Types.h"

#include "baobabpin/base/Word.h"

namespace baobabpin::cluster {

bool isUsable(const ServerRegistration &it) {
  return base::isWord(it.Id) && base::isWord(it.Group) &&
         base::isName(it.Zone) && http::isReachable(it.Address);
}

} // namespace baobabpin::cluster
