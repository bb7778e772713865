#include "baobabpin/control/GroupChanges.h"

#include "baobabpin/control/RecordKeys.h"

namespace baobabpin::control {

bool isFull(const GroupChanges &changes) {
  return changes.Keys.size() >= platform::MaxKeyChanges;
}

void addGroup(GroupChanges &changes, const base::GroupName &group,
              const cluster::GroupRecord &record, std::uint64_t revision) {
  changes.Keys.push_back(
      {groupKey(group), cluster::encodeRecord(record), revision, false});
  changes.Names += (changes.Names.empty() ? "" : ",") + group;
}

} // namespace baobabpin::control
