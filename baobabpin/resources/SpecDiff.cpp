#include "baobabpin/resources/SpecDiff.h"
#include "baobabpin/resources/SpecJson.h"

#include <map>

namespace baobabpin::resources {
namespace {

using nlohmann::json;
using FlatFields = std::map<std::string, std::string>;

void flatten(const json &value, const std::string &path, FlatFields &fields) {
  if (value.is_object()) {
    std::string prefix = path.empty() ? path : path + ".";
    for (const auto &[key, item] : value.items())
      flatten(item, std::string(prefix).append(key), fields);
    return;
  }
  if (value.is_array()) {
    for (std::size_t i = 0; i < value.size(); ++i)
      flatten(value[i], path + "[" + std::to_string(i) + "]", fields);
    return;
  }
  fields[path] = value.dump();
}

FlatFields fieldsOf(const std::optional<Spec> &spec) {
  FlatFields fields;
  if (spec)
    flatten(internal::specToJson(*spec), "", fields);
  return fields;
}

} // namespace

std::vector<FieldChange> canonicalDiff(const std::optional<Spec> &before,
                                       const std::optional<Spec> &after) {
  std::map<std::string, FieldChange> changes;
  for (const auto &[path, value] : fieldsOf(before))
    changes[path] = {path, value, ""};
  for (const auto &[path, value] : fieldsOf(after)) {
    changes[path].Path = path;
    changes[path].After = value;
  }
  std::vector<FieldChange> result;
  for (auto &[path, change] : changes) {
    if (change.Before != change.After)
      result.push_back(std::move(change));
  }
  return result;
}

} // namespace baobabpin::resources
