/// Reads the fields of one JSON object strictly and keeps the first error.
///
/// \code
///   std::optional<FieldError> error;
///   FieldReader reader(object, "spec", error);
///   std::int64_t slots = reader.integer("slots", 1, 64);
///   reader.finish(); // refuses keys that were not read
/// \endcode
#pragma once

#include "baobabpin/resources/SpecCodec.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <set>
#include <string>

namespace baobabpin::resources::internal {

/// After the first error every read returns an empty value.
class FieldReader {
public:
  FieldReader(const nlohmann::json &value, std::string path,
              std::optional<FieldError> &error);

  /// A name by isValidName.
  std::string name(const char *key);
  /// Printable text without spaces, 1 to 256 bytes.
  std::string token(const char *key);
  /// "IP:PORT" with a numeric IPv4 address.
  std::string address(const char *key);
  std::int64_t integer(const char *key, std::int64_t least, std::int64_t most);
  /// One of the names that \p parse knows.
  template <typename Enum, typename Parse>
  Enum choice(const char *key, Parse parse, const char *accepted) {
    const nlohmann::json *field = require(key, accepted);
    if (!field)
      return Enum{};
    std::optional<Enum> value;
    if (field->is_string())
      value = parse(field->get_ref<const std::string &>());
    if (!value)
      refuse(key, "unknown value " + field->dump(), accepted);
    return value.value_or(Enum{});
  }
  /// An array of \p least to \p most objects; calls \p read with a reader of
  /// each and the object's path.
  template <typename Read>
  void objects(const char *key, std::size_t least, std::size_t most,
               Read read) {
    std::string accepted = "array of " + std::to_string(least) + " to " +
                           std::to_string(most) + " objects";
    const nlohmann::json *field = require(key, accepted);
    if (!field)
      return;
    if (!field->is_array() || field->size() < least || field->size() > most)
      return refuse(key, "wrong type or length", accepted);
    for (std::size_t i = 0; i < field->size() && !Error; ++i) {
      std::string path = pathOf(key) + "[" + std::to_string(i) + "]";
      FieldReader element((*field)[i], path, Error);
      read(element);
      element.finish();
    }
  }

  /// Refuses the field \p key; only the first refusal is kept.
  void refuse(const std::string &key, std::string problem,
              std::string accepted);
  /// Accepts the key without reading it.
  void allow(const char *key) { Known.insert(key); }
  /// Refuses keys that were neither read nor allowed.
  void finish();

private:
  const nlohmann::json *require(const char *key, const std::string &accepted);
  std::string pathOf(const std::string &key) const { return Path + "." + key; }

  const nlohmann::json &Value;
  std::string Path;
  std::optional<FieldError> &Error;
  std::set<std::string> Known;
};

/// Parses a whole JSON text; repeated keys, which the JSON library would merge
/// silently, are errors.
std::optional<nlohmann::json> parseStrict(std::string_view text,
                                          const std::string &path,
                                          std::optional<FieldError> &error);

} // namespace baobabpin::resources::internal
