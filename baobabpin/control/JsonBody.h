/// Decodes the JSON body of a call between nodes.
#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace baobabpin::control {

/// Runs \p body on the parsed text. Returns nothing for a malformed text, and
/// for one that \p body rejects with a json::exception.
template <typename Body>
auto decodeJson(const std::string &text, Body body)
    -> std::optional<decltype(body(nlohmann::json()))> {
  try {
    return body(nlohmann::json::parse(text));
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

} // namespace baobabpin::control
