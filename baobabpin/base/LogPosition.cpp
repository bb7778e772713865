#include "baobabpin/base/LogPosition.h"

namespace baobabpin::base {

PositionCheck checkPosition(const std::vector<TermStart> &starts,
                            LogPosition last, LogPosition wanted) {
  if (wanted.Index == 0)
    return PositionCheck::Contained;
  bool isTermKnown = false;
  for (const auto &it : starts) {
    if (it.Term < wanted.Term)
      continue;
    if (it.Term == wanted.Term) {
      isTermKnown = true;
      if (wanted.Index < it.Index)
        return PositionCheck::Superseded;
      continue;
    }
    // The first later term replaced all entries of earlier terms from its start
    // index on. Terms after it need not be checked.
    if (!isTermKnown || wanted.Index >= it.Index)
      return PositionCheck::Superseded;
    break;
  }
  if (isTermKnown && wanted.Index <= last.Index)
    return PositionCheck::Contained;
  return PositionCheck::NotYet;
}

std::string formatPosition(LogPosition position) {
  return std::to_string(position.Term) + ":" + std::to_string(position.Index);
}

} // namespace baobabpin::base
