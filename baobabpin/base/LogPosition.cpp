#include "baobabpin/base/LogPosition.h"

namespace baobabpin::base {

PositionCheck checkPosition(const std::vector<TermStart> &starts,
                            LogPosition last, LogPosition wanted) {
  if (wanted.Index == 0)
    return PositionCheck::Contained;
  bool termKnown = false;
  for (const auto &it : starts) {
    if (it.Term < wanted.Term)
      continue;
    if (it.Term == wanted.Term) {
      termKnown = true;
      if (wanted.Index < it.Index)
        return PositionCheck::Superseded;
      continue;
    }
    // The first later term decides: it replaced everything from its start on.
    if (!termKnown || wanted.Index >= it.Index)
      return PositionCheck::Superseded;
    break;
  }
  if (termKnown && wanted.Index <= last.Index)
    return PositionCheck::Contained;
  return PositionCheck::NotYet;
}

std::string formatPosition(LogPosition position) {
  return std::to_string(position.Term) + ":" + std::to_string(position.Index);
}

} // namespace baobabpin::base
