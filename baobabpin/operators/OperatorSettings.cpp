#include "baobabpin/operators/OperatorSettings.h"

#include <nlohmann/json.hpp>

namespace baobabpin::operators {
namespace {

using base::ErrorType;
using nlohmann::json;

base::leaf::error_id refuse(const std::string &key, const char *accepted) {
  return base::fail(ErrorType::InvalidSettings,
                    "operators." + key + ": accepted: " + accepted);
}

base::Result<void> readText(const json &value, const char *key,
                            std::string &text) {
  auto it = value.find(key);
  if (it == value.end())
    return {};
  if (!it->is_string() || it->get_ref<const std::string &>().empty())
    return refuse(key, "a string that is not empty");
  text = it->get<std::string>();
  return {};
}

base::Result<void> checkKeys(const json &value) {
  for (const auto &[key, ignored] : value.items()) {
    if (key != "listen" && key != "clear_text" && key != "ca" &&
        key != "certificate" && key != "key")
      return refuse(key, "listen, clear_text, ca, certificate, key");
  }
  return {};
}

base::Result<void> checkTransport(const OperatorSettings &settings) {
  bool all = !settings.CaFile.empty() && !settings.CertificateFile.empty() &&
             !settings.KeyFile.empty();
  bool any = !settings.CaFile.empty() || !settings.CertificateFile.empty() ||
             !settings.KeyFile.empty();
  if (settings.ClearText && any)
    return refuse("clear_text", "false when ca, certificate or key is given");
  if (!settings.ClearText && !all)
    return refuse("ca", "ca, certificate and key, or clear_text true");
  return {};
}

} // namespace

base::Result<OperatorSettings> parseOperatorSettings(const json &value) {
  if (!value.is_object())
    return base::fail(ErrorType::InvalidSettings,
                      "operators: accepted: an object");
  BOOST_LEAF_CHECK(checkKeys(value));
  OperatorSettings settings;
  BOOST_LEAF_CHECK(readText(value, "listen", settings.Listen));
  BOOST_LEAF_CHECK(readText(value, "ca", settings.CaFile));
  BOOST_LEAF_CHECK(readText(value, "certificate", settings.CertificateFile));
  BOOST_LEAF_CHECK(readText(value, "key", settings.KeyFile));
  if (settings.Listen.empty())
    return refuse("listen", "IP:PORT");
  if (auto it = value.find("clear_text"); it != value.end()) {
    if (!it->is_boolean())
      return refuse("clear_text", "true or false");
    settings.ClearText = it->get<bool>();
  }
  BOOST_LEAF_CHECK(checkTransport(settings));
  return settings;
}

} // namespace baobabpin::operators
