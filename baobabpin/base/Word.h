/// Checks on names that other processes supply, before they become part of a
/// line-based message or of a log.
///
/// \code
///   if (!isWord(server.Id))
///     return std::nullopt; // It would be more than one field of a message.
/// \endcode
#pragma once

#include <string_view>

namespace baobabpin::base {

/// The maximum size of a name, in bytes.
inline constexpr std::size_t MaxNameBytes = 200;

/// Whether the byte is an ASCII control character, such as a line end.
constexpr bool isControl(char c) {
  auto byte = static_cast<unsigned char>(c);
  return byte < 0x20 || byte == 0x7f;
}

bool hasControl(std::string_view text);

/// Whether \p text is a name: not empty, at most MaxNameBytes, and without
/// control characters.
bool isName(std::string_view text);

/// Whether \p text is a name without blanks, which can be one field of a
/// message.
bool isWord(std::string_view text);

} // namespace baobabpin::base
