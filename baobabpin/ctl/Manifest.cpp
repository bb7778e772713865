#include "baobabpin/ctl/Manifest.h"

#include "baobabpin/resources/FieldReader.h"
#include "baobabpin/resources/SpecCodec.h"
#include "baobabpin/resources/SpecJson.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

namespace baobabpin::ctl {
namespace {

namespace fs = std::filesystem;
using base::ErrorType;
using nlohmann::json;
using resources::FieldError;
using resources::ResourceId;

/// Adds the file to a failure.
template <typename T, typename Body>
base::Result<T> inFile(const std::string &source, Body body) {
  std::optional<base::Failure> failed;
  auto value = base::handleFailure(
      [&]() -> base::Result<std::optional<T>> {
        BOOST_LEAF_AUTO(it, body());
        return std::optional<T>(std::move(it));
      },
      [&](const base::Failure &failure) {
        failed = failure;
        return std::optional<T>();
      });
  if (!value)
    return base::fail(failed->Type, source + ": " + failed->Detail);
  return std::move(*value);
}

base::Result<Manifest> readManifest(const json &value,
                                    const std::string &source) {
  std::optional<FieldError> error;
  resources::internal::FieldReader reader(value, "resource", error);
  std::string name = reader.name("name");
  std::string kindText = reader.name("kind");
  std::optional<std::uint64_t> version;
  if (value.is_object() && value.contains("version"))
    version = static_cast<std::uint64_t>(
        reader.integer("version", 0, std::numeric_limits<std::int64_t>::max()));
  reader.allow("spec");
  reader.finish();
  if (error)
    return resources::failField(*error);
  auto kind = resources::parseKind(kindText);
  if (!kind)
    return base::fail(ErrorType::UnknownKind, "unknown kind " + kindText);
  auto spec = value.find("spec");
  if (spec == value.end())
    return resources::failField({"resource.spec", "missing", "object"});
  BOOST_LEAF_AUTO(parsed, resources::internal::specFromJson(*kind, *spec));
  return Manifest{{*kind, name}, std::move(parsed), version, source};
}

base::Result<std::string> readFile(const fs::path &path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file)
    return base::fail(ErrorType::BadRequest, "cannot read " + path.string());
  return text.str();
}

base::Result<std::vector<fs::path>> filesOf(const std::string &path) {
  std::error_code ec;
  if (!fs::is_directory(path, ec))
    return std::vector<fs::path>{path};
  std::vector<fs::path> files;
  for (const auto &it : fs::directory_iterator(path, ec)) {
    if (it.path().extension() == ".json")
      files.push_back(it.path());
  }
  std::sort(files.begin(), files.end());
  if (files.empty())
    return base::fail(ErrorType::BadRequest, "no .json file in " + path);
  return files;
}

} // namespace

base::Result<std::vector<Manifest>> parseManifests(std::string_view text,
                                                   const std::string &source) {
  return inFile<std::vector<Manifest>>(
      source, [&]() -> base::Result<std::vector<Manifest>> {
        std::optional<FieldError> error;
        auto parsed = resources::internal::parseStrict(text, "file", error);
        if (!parsed)
          return resources::failField(*error);
        if (!parsed->is_array())
          parsed = json::array({std::move(*parsed)});
        std::vector<Manifest> manifests;
        for (const auto &it : *parsed) {
          BOOST_LEAF_AUTO(manifest, readManifest(it, source));
          manifests.push_back(std::move(manifest));
        }
        return manifests;
      });
}

base::Result<std::vector<Manifest>>
readManifests(const std::vector<std::string> &paths) {
  std::vector<Manifest> all;
  for (const auto &path : paths) {
    BOOST_LEAF_AUTO(files, filesOf(path));
    for (const auto &file : files) {
      BOOST_LEAF_AUTO(text, readFile(file));
      BOOST_LEAF_AUTO(manifests, parseManifests(text, file.string()));
      std::move(manifests.begin(), manifests.end(), std::back_inserter(all));
    }
  }
  std::map<ResourceId, std::string> sources;
  for (const auto &it : all) {
    auto [known, isNew] = sources.emplace(it.Id, it.Source);
    if (!isNew)
      return base::fail(ErrorType::InvalidResource,
                        formatResourceId(it.Id) + " is given in " +
                            known->second + " and in " + it.Source);
  }
  std::stable_sort(all.begin(), all.end(),
                   [](const Manifest &a, const Manifest &b) {
                     return a.Id.Kind < b.Id.Kind;
                   });
  return all;
}

} // namespace baobabpin::ctl
