#include "baobabpin/cluster/Types.h"

#include "baobabpin/base/Word.h"

namespace baobabpin::cluster {

bool hasValidNames(const ServerRegistration &it) {
  return base::isWord(it.Id) && base::isWord(it.Group) && base::isName(it.Zone);
}

} // namespace baobabpin::cluster
