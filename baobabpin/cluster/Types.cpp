#include "baobabpin/cluster/Types.h"

#include "baobabpin/base/Word.h"

#include <algorithm>

namespace baobabpin::cluster {

bool isUsable(const ServerRegistration &it) {
  return base::isWord(it.Id) && base::isWord(it.Group) &&
         base::isName(it.Zone) && http::isReachable(it.Address);
}

const TermStart *termAfter(const std::vector<TermStart> &terms,
                           base::TermNumber term) {
  auto it = std::ranges::find_if(
      terms, [term](const TermStart &start) { return start.Term > term; });
  return it == terms.end() ? nullptr : &*it;
}

} // namespace baobabpin::cluster
