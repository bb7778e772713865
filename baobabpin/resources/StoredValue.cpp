#include "baobabpin/resources/StoredValue.h"
#include "baobabpin/resources/FieldReader.h"
#include "baobabpin/resources/SpecJson.h"

namespace baobabpin::resources {
namespace {

using base::ErrorType;
using nlohmann::json;

base::Result<void> checkSize(std::size_t size) {
  if (size > MaxValueBytes)
    return base::fail(ErrorType::RequestTooLarge,
                      "stored value of " + std::to_string(size) +
                          " bytes; accepted: at most 1000000");
  return {};
}

} // namespace

std::string storeKey(const ResourceId &id) {
  return std::string(KeyPrefix) + formatResourceId(id);
}

base::Result<ResourceId> parseStoreKey(std::string_view key) {
  if (!key.starts_with(KeyPrefix))
    return base::fail(ErrorType::InvalidResource,
                      "key does not begin with resources/");
  key.remove_prefix(KeyPrefix.size());
  auto slash = key.find('/');
  auto kind = parseKind(key.substr(0, slash));
  if (!kind)
    return base::fail(ErrorType::UnknownKind,
                      "unknown kind in key " + std::string(key));
  if (slash == std::string_view::npos)
    return base::fail(ErrorType::InvalidResource, "key without a name");
  std::string_view name = key.substr(slash + 1);
  BOOST_LEAF_CHECK(checkName(name, "name"));
  return ResourceId{*kind, std::string(name)};
}

base::Result<std::string> encodeStored(const StoredValue &value) {
  json stored{{"mark", value.Mark},
              {"spec", internal::specToJson(value.ResourceSpec)}};
  std::string text = stored.dump();
  BOOST_LEAF_CHECK(checkSize(text.size()));
  return text;
}

base::Result<StoredValue> decodeStored(ResourceKind kind,
                                       std::string_view value) {
  BOOST_LEAF_CHECK(checkSize(value.size()));
  std::optional<FieldError> error;
  auto parsed = internal::parseStrict(value, "value", error);
  if (!parsed)
    return failField(*error);
  internal::FieldReader reader(*parsed, "value", error);
  std::string mark = reader.token("mark");
  if (error)
    return failField(*error);
  auto it = parsed->find("spec");
  if (it == parsed->end() || parsed->size() != 2)
    return failField({"value", "wrong keys", "mark, spec"});
  BOOST_LEAF_AUTO(spec, internal::specFromJson(kind, *it));
  return StoredValue{std::move(mark), std::move(spec)};
}

} // namespace baobabpin::resources
