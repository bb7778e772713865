#include "baobabpin/resources/FieldReader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <vector>

namespace baobabpin::resources::internal {
namespace {

using nlohmann::json;

constexpr std::size_t MaxTokenBytes = 256;
constexpr int MaxNesting = 16;
constexpr const char *AcceptedName =
    "1 to 128 letters, digits, '.', '_' or '-', not beginning with '.' or '-'";
constexpr const char *AcceptedAddress =
    "IPv4 address and port 1..65535, such as 127.0.0.1:5432";

bool isAddress(const std::string &text) {
  auto colon = text.rfind(':');
  if (colon == std::string::npos)
    return false;
  in_addr parsed{};
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed) != 1)
    return false;
  std::uint16_t port = 0;
  const char *end = text.data() + text.size();
  auto [ptr, ec] = std::from_chars(text.data() + colon + 1, end, port);
  // A leading zero would give one address two spellings.
  return ec == std::errc() && ptr == end && port != 0 && text[colon + 1] != '0';
}

/// Watches the parser for repeated keys and excessive nesting.
class KeyWatch {
public:
  bool operator()(int depth, json::parse_event_t event, json &parsed) {
    if (event == json::parse_event_t::object_start)
      Keys.emplace_back();
    if (event == json::parse_event_t::object_end)
      Keys.pop_back();
    if (depth > MaxNesting && Problem.empty())
      Problem = "nested too deeply";
    if (event == json::parse_event_t::key) {
      const auto &key = parsed.get_ref<const std::string &>();
      if (!Keys.back().insert(key).second && Problem.empty())
        Problem = "key \"" + key + "\" appears twice";
    }
    return true;
  }

  std::string Problem;

private:
  std::vector<std::set<std::string>> Keys;
};

} // namespace

FieldReader::FieldReader(const json &value, std::string path,
                         std::optional<FieldError> &error)
    : Value(value), Path(std::move(path)), Error(error) {
  if (!Value.is_object() && !Error)
    Error = FieldError{Path, "wrong type", "object"};
}

const json *FieldReader::require(const char *key, const std::string &accepted) {
  Known.insert(key);
  if (Error)
    return nullptr;
  auto it = Value.find(key);
  if (it == Value.end()) {
    refuse(key, "missing", accepted);
    return nullptr;
  }
  return &*it;
}

void FieldReader::refuse(const std::string &key, std::string problem,
                         std::string accepted) {
  if (!Error)
    Error = FieldError{pathOf(key), std::move(problem), std::move(accepted)};
}

std::string FieldReader::name(const char *key) {
  const json *field = require(key, AcceptedName);
  if (!field)
    return {};
  if (!field->is_string() ||
      !isValidName(field->get_ref<const std::string &>())) {
    refuse(key, "not a name", AcceptedName);
    return {};
  }
  return field->get<std::string>();
}

std::string FieldReader::token(const char *key) {
  const char *accepted = "1 to 256 printable characters without spaces";
  const json *field = require(key, accepted);
  if (!field)
    return {};
  std::string text = field->is_string() ? field->get<std::string>() : "";
  bool printable = std::all_of(text.begin(), text.end(),
                               [](char c) { return c > ' ' && c < 0x7f; });
  if (text.empty() || text.size() > MaxTokenBytes || !printable)
    refuse(key, "wrong type, length or character", accepted);
  return text;
}

std::string FieldReader::address(const char *key) {
  const json *field = require(key, AcceptedAddress);
  if (!field)
    return {};
  if (!field->is_string() ||
      !isAddress(field->get_ref<const std::string &>())) {
    refuse(key, "not an address", AcceptedAddress);
    return {};
  }
  return field->get<std::string>();
}

std::int64_t FieldReader::integer(const char *key, std::int64_t least,
                                  std::int64_t most) {
  std::string accepted =
      "integer " + std::to_string(least) + ".." + std::to_string(most);
  const json *field = require(key, accepted);
  if (!field)
    return 0;
  if (!field->is_number_integer()) {
    refuse(key, "wrong type", accepted);
    return 0;
  }
  // An unsigned value above INT64_MAX would wrap to a negative one.
  bool wraps = field->is_number_unsigned() &&
               field->get<std::uint64_t>() > static_cast<std::uint64_t>(most);
  auto n = field->get<std::int64_t>();
  if (wraps || n < least || n > most) {
    refuse(key, field->dump() + " is out of range", accepted);
    return 0;
  }
  return n;
}

void FieldReader::finish() {
  if (Error)
    return;
  for (const auto &[key, ignored] : Value.items()) {
    if (Known.contains(key))
      continue;
    std::string accepted;
    for (const auto &it : Known)
      accepted += (accepted.empty() ? "" : ", ") + it;
    return refuse(key, "unknown key", accepted);
  }
}

std::optional<json> parseStrict(std::string_view text, const std::string &path,
                                std::optional<FieldError> &error) {
  KeyWatch watch;
  json parsed = json::parse(text, std::ref(watch), false);
  if (parsed.is_discarded()) {
    error = FieldError{path, "not valid JSON", "JSON object"};
    return std::nullopt;
  }
  if (!watch.Problem.empty()) {
    error =
        FieldError{path, watch.Problem, "JSON object without repeated keys"};
    return std::nullopt;
  }
  return parsed;
}

} // namespace baobabpin::resources::internal
