#include "baobabpin/resources/ResourceCatalog.h"
#include "baobabpin/resources/StoredValue.h"

#include <algorithm>

namespace baobabpin::resources {
namespace {

void insertSorted(std::vector<std::string> &names, const std::string &name) {
  names.insert(std::lower_bound(names.begin(), names.end(), name), name);
}

template <typename Index, typename Key>
void eraseName(Index &index, const Key &key, const std::string &name) {
  auto it = index.find(key);
  if (it == index.end())
    return;
  std::erase(it->second, name);
  if (it->second.empty())
    index.erase(it);
}

} // namespace

base::Result<bool> ResourceCatalog::apply(const ResourceChange &change) {
  BOOST_LEAF_AUTO(id, parseStoreKey(change.Key));
  if (auto it = Revisions.find(id);
      it != Revisions.end() && change.Revision <= it->second)
    return false;
  std::optional<Spec> spec;
  if (change.Value) {
    BOOST_LEAF_AUTO(stored, decodeStored(id.Kind, *change.Value));
    spec = std::move(stored.ResourceSpec);
  }
  Revisions[id] = change.Revision;
  Highest = std::max(Highest, change.Revision);
  if (auto it = Records.find(id); it != Records.end()) {
    removeFromIndexes(it->second);
    Records.erase(it);
  }
  if (!spec)
    return true;
  auto &record = Records[id];
  record = ResourceRecord{id, change.Revision, std::move(*spec)};
  addToIndexes(record);
  return true;
}

void ResourceCatalog::addToIndexes(const ResourceRecord &record) {
  const std::string &name = record.Id.Name;
  if (const auto *group = std::get_if<DatabaseGroup>(&record.ResourceSpec)) {
    insertSorted(Groups[{group->Customer, group->Database}], name);
    for (const auto &it : group->Servers)
      insertSorted(ServerGroups[it.Id], name);
  }
  if (const auto *spec = std::get_if<SessionAdmission>(&record.ResourceSpec))
    insertSorted(Admissions[{spec->Customer, spec->Database}], name);
  if (const auto *spec = std::get_if<StalenessAllowance>(&record.ResourceSpec))
    insertSorted(Allowances[{spec->Customer, spec->Database, spec->Class}],
                 name);
}

void ResourceCatalog::removeFromIndexes(const ResourceRecord &record) {
  const std::string &name = record.Id.Name;
  if (const auto *group = std::get_if<DatabaseGroup>(&record.ResourceSpec)) {
    eraseName(Groups, DatabaseKey{group->Customer, group->Database}, name);
    for (const auto &it : group->Servers)
      eraseName(ServerGroups, it.Id, name);
  }
  if (const auto *spec = std::get_if<SessionAdmission>(&record.ResourceSpec))
    eraseName(Admissions, DatabaseKey{spec->Customer, spec->Database}, name);
  if (const auto *spec = std::get_if<StalenessAllowance>(&record.ResourceSpec))
    eraseName(Allowances, ClassKey{spec->Customer, spec->Database, spec->Class},
              name);
}

const std::vector<base::GroupName> &
ResourceCatalog::groupsOf(const std::string &customer,
                          const std::string &database) const {
  static const std::vector<base::GroupName> none;
  auto it = Groups.find({customer, database});
  return it == Groups.end() ? none : it->second;
}

const ResourceRecord *ResourceCatalog::find(const ResourceId &id) const {
  auto it = Records.find(id);
  return it == Records.end() ? nullptr : &it->second;
}

std::uint64_t ResourceCatalog::revisionOf(const ResourceId &id) const {
  auto it = Revisions.find(id);
  return it == Revisions.end() ? 0 : it->second;
}

const DatabaseGroup *
ResourceCatalog::findGroup(const base::GroupName &name) const {
  const ResourceRecord *record = find({ResourceKind::DatabaseGroup, name});
  return record ? std::get_if<DatabaseGroup>(&record->ResourceSpec) : nullptr;
}

std::vector<base::GroupName> ResourceCatalog::groupNames() const {
  std::vector<base::GroupName> names;
  for (const auto &[id, record] : Records) {
    if (id.Kind == ResourceKind::DatabaseGroup)
      names.push_back(id.Name);
  }
  return names;
}

std::optional<base::GroupName>
ResourceCatalog::groupOfServer(const base::ServerId &id) const {
  auto it = ServerGroups.find(id);
  if (it == ServerGroups.end())
    return std::nullopt;
  return it->second.front();
}

const SessionAdmission *
ResourceCatalog::admissionOf(const std::string &customer,
                             const std::string &database) const {
  auto it = Admissions.find({customer, database});
  if (it == Admissions.end())
    return nullptr;
  const auto *record =
      find({ResourceKind::SessionAdmission, it->second.front()});
  return std::get_if<SessionAdmission>(&record->ResourceSpec);
}

const AdmittedClass *
ResourceCatalog::admittedClass(const std::string &customer,
                               const std::string &database,
                               const std::string &name) const {
  const SessionAdmission *admission = admissionOf(customer, database);
  if (!admission)
    return nullptr;
  for (const auto &it : admission->Classes) {
    if (it.Name == name)
      return &it;
  }
  return nullptr;
}

std::optional<std::chrono::milliseconds>
ResourceCatalog::allowance(const std::string &customer,
                           const std::string &database,
                           const std::string &requestClass) const {
  auto it = Allowances.find({customer, database, requestClass});
  if (it == Allowances.end())
    return std::nullopt;
  const auto *record =
      find({ResourceKind::StalenessAllowance, it->second.front()});
  return std::get<StalenessAllowance>(record->ResourceSpec).MaxAge;
}

std::vector<std::pair<std::string, PlannedStop>>
ResourceCatalog::plannedStops() const {
  std::vector<std::pair<std::string, PlannedStop>> stops;
  auto it = Records.lower_bound({ResourceKind::PlannedStop, ""});
  for (; it != Records.end(); ++it)
    stops.emplace_back(it->first.Name,
                       std::get<PlannedStop>(it->second.ResourceSpec));
  return stops;
}

std::optional<PlannedStop>
ResourceCatalog::findStop(StopTarget kind, const std::string &target) const {
  std::optional<PlannedStop> found;
  for (const auto &[name, stop] : plannedStops()) {
    if (stop.TargetKind != kind || stop.Target != target)
      continue;
    if (!found || stop.Deadline < found->Deadline)
      found = stop;
  }
  return found;
}

} // namespace baobabpin::resources
