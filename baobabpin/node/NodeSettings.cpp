#include "baobabpin/node/NodeSettings.h"

#include "baobabpin/routing/ReplicaChooser.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <set>
#include <sstream>

namespace baobabpin::node {

using base::ErrorType;
using nlohmann::json;

namespace {

constexpr std::size_t MinSecretBytes = 16;

base::leaf::error_id invalidKey(const std::string &path,
                                const std::string &accepted) {
  return base::fail(ErrorType::InvalidSettings, path + ": must be " + accepted);
}

/// Reads the keys of one JSON object and rejects unknown keys.
class ObjectReader {
public:
  ObjectReader(const json &object, std::string path)
      : Object(object), Path(std::move(path)) {}

  std::string pathOf(const std::string &key) const {
    return Path.empty() ? key : Path + "." + key;
  }

  /// Returns the value of \p key, or null, and marks the key as known.
  const json *find(const std::string &key) {
    KnownKeys.insert(key);
    auto it = Object.find(key);
    return it == Object.end() ? nullptr : &*it;
  }

  base::Result<std::string> text(const std::string &key) {
    const json *it = find(key);
    if (!it || !it->is_string() || it->get_ref<const std::string &>().empty())
      return invalidKey(pathOf(key), "a non-empty string");
    return it->get<std::string>();
  }

  base::Result<std::string> optionalText(const std::string &key,
                                         std::string fallback) {
    if (!find(key))
      return fallback;
    return text(key);
  }

  base::Result<http::Endpoint> endpoint(const std::string &key) {
    const json *it = find(key);
    http::Endpoint endpoint;
    if (it && it->is_string())
      endpoint = http::parseEndpoint(it->get<std::string>());
    if (endpoint.Address.empty() || endpoint.Port == 0)
      return invalidKey(pathOf(key), "\"IP:PORT\" with a port from 1 to 65535");
    return endpoint;
  }

  base::Result<bool> flag(const std::string &key, bool fallback) {
    const json *it = find(key);
    if (!it)
      return fallback;
    if (!it->is_boolean())
      return invalidKey(pathOf(key), "true or false");
    return it->get<bool>();
  }

  base::Result<std::int64_t> integer(const std::string &key,
                                     std::int64_t fallback, std::int64_t min,
                                     std::int64_t max) {
    const json *it = find(key);
    if (!it)
      return fallback;
    if (!it->is_number_integer() || *it < min || *it > max)
      return invalidKey(pathOf(key), "an integer from " + std::to_string(min) +
                                         " to " + std::to_string(max));
    return it->get<std::int64_t>();
  }

  base::Result<json> object(const std::string &key) {
    const json *it = find(key);
    if (!it || !it->is_object())
      return invalidKey(pathOf(key), "an object");
    return *it;
  }

  /// Fails if the object has a key that was not looked up.
  base::Result<void> rejectUnknownKeys() const {
    for (const auto &[key, value] : Object.items()) {
      if (!KnownKeys.contains(key))
        return base::fail(ErrorType::InvalidSettings,
                          pathOf(key) + ": unknown key");
    }
    return {};
  }

private:
  const json &Object;
  std::string Path;
  std::set<std::string> KnownKeys;
};

base::Result<std::string> parseHexSecret(const std::string &path,
                                         const std::string &text) {
  std::string bytes;
  bool valid =
      text.size() % 2 == 0 && text.size() / 2 >= MinSecretBytes &&
      text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
  if (!valid)
    return invalidKey(path, "an even number of hex digits, at least 32");
  for (std::size_t n = 0; n < text.size(); n += 2)
    bytes += static_cast<char>(std::stoi(text.substr(n, 2), nullptr, 16));
  return bytes;
}

base::Result<void> readListen(ObjectReader &root, NodeSettings &settings) {
  BOOST_LEAF_AUTO(listen, root.object("listen"));
  ObjectReader reader(listen, "listen");
  BOOST_LEAF_ASSIGN(settings.Callers, reader.endpoint("callers"));
  BOOST_LEAF_ASSIGN(settings.Peers, reader.endpoint("peers"));
  BOOST_LEAF_ASSIGN(settings.Gossip, reader.endpoint("gossip"));
  BOOST_LEAF_ASSIGN(settings.Operators, reader.endpoint("operators"));
  return reader.rejectUnknownKeys();
}

base::Result<void> readSeeds(ObjectReader &root, NodeSettings &settings) {
  const json *seeds = root.find("seeds");
  if (!seeds || !seeds->is_array())
    return invalidKey("seeds", "a list of \"IP:PORT\"");
  for (const auto &it : *seeds) {
    if (!it.is_string() || http::parseEndpoint(it.get<std::string>()).Port == 0)
      return invalidKey("seeds", "a list of \"IP:PORT\"");
    settings.Seeds.push_back(it.get<std::string>());
  }
  return {};
}

base::Result<void> readKeys(ObjectReader &root, NodeSettings &settings) {
  const json *keys = root.find("session_keys");
  if (!keys || !keys->is_array() || keys->empty())
    return invalidKey("session_keys", "a list of {\"id\", \"secret\"}");
  std::set<std::int64_t> ids;
  for (std::size_t n = 0; n < keys->size(); ++n) {
    std::string path = "session_keys[" + std::to_string(n) + "]";
    if (!(*keys)[n].is_object())
      return invalidKey(path, "an object");
    ObjectReader reader((*keys)[n], path);
    BOOST_LEAF_AUTO(id, reader.integer("id", 0, 1, UINT32_MAX));
    BOOST_LEAF_AUTO(text, reader.text("secret"));
    BOOST_LEAF_AUTO(secret, parseHexSecret(path + ".secret", text));
    BOOST_LEAF_CHECK(reader.rejectUnknownKeys());
    if (!ids.insert(id).second || id == 0)
      return invalidKey(path + ".id", "a unique integer from 1 to 4294967295");
    settings.SessionKeys.push_back({static_cast<std::uint32_t>(id), secret});
  }
  return {};
}

base::Result<void> readTls(ObjectReader &root, NodeSettings &settings) {
  BOOST_LEAF_AUTO(tls, root.object("tls"));
  ObjectReader reader(tls, "tls");
  BOOST_LEAF_ASSIGN(settings.Tls.ClearText, reader.flag("clear_text", false));
  if (!settings.Tls.ClearText) {
    BOOST_LEAF_ASSIGN(settings.Tls.Certificate, reader.text("certificate"));
    BOOST_LEAF_ASSIGN(settings.Tls.Key, reader.text("key"));
    BOOST_LEAF_ASSIGN(settings.Tls.Authority, reader.text("authority"));
  }
  return reader.rejectUnknownKeys();
}

base::Result<void> readPolicy(ObjectReader &root, NodeSettings &settings) {
  if (!root.find("policy"))
    return {};
  BOOST_LEAF_AUTO(policy, root.object("policy"));
  ObjectReader reader(policy, "policy");
  BOOST_LEAF_ASSIGN(settings.Baseline, reader.flag("baseline", false));
  BOOST_LEAF_ASSIGN(settings.Chooser,
                    reader.optionalText("chooser", settings.Chooser));
  if (!routing::findChooser(settings.Chooser))
    return invalidKey("policy.chooser",
                      "least_pending, two_choices or lottery");
  BOOST_LEAF_AUTO(timeout,
                  reader.integer("stop_deadline_ms",
                                 settings.StopTimeout.count(), 0, 3'600'000));
  settings.StopTimeout = std::chrono::milliseconds(timeout);
  return reader.rejectUnknownKeys();
}

} // namespace

base::Result<NodeSettings> parseSettings(const std::string &text) {
  json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object())
    return base::fail(ErrorType::InvalidSettings,
                      "the settings must be a JSON object");
  NodeSettings settings;
  ObjectReader root(parsed, "");
  BOOST_LEAF_ASSIGN(settings.Node, root.text("node"));
  BOOST_LEAF_ASSIGN(settings.Host, root.optionalText("host", settings.Node));
  BOOST_LEAF_ASSIGN(settings.Zone, root.text("availability_zone"));
  BOOST_LEAF_ASSIGN(settings.Customer, root.optionalText("customer", ""));
  BOOST_LEAF_CHECK(readListen(root, settings));
  BOOST_LEAF_ASSIGN(settings.Store, root.endpoint("store"));
  BOOST_LEAF_CHECK(readSeeds(root, settings));
  BOOST_LEAF_AUTO(secret, root.text("fleet_secret"));
  BOOST_LEAF_ASSIGN(settings.FleetSecret,
                    parseHexSecret("fleet_secret", secret));
  BOOST_LEAF_CHECK(readKeys(root, settings));
  BOOST_LEAF_CHECK(readTls(root, settings));
  BOOST_LEAF_CHECK(readPolicy(root, settings));
  BOOST_LEAF_CHECK(root.rejectUnknownKeys());
  return settings;
}

base::Result<NodeSettings> readSettings(const std::string &path) {
  std::ifstream file(path);
  if (!file)
    return base::fail(ErrorType::InvalidSettings,
                      "cannot open settings file " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return parseSettings(text.str());
}

} // namespace baobabpin::node
