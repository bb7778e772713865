#include "baobabpin/base/Word.h"

#include <algorithm>

namespace baobabpin::base {

bool hasControl(std::string_view text) {
  return std::ranges::any_of(text, isControl);
}

bool isName(std::string_view text) {
  return !text.empty() && text.size() <= MaxNameBytes && !hasControl(text);
}

bool isWord(std::string_view text) {
  return isName(text) && text.find(' ') == std::string_view::npos;
}

} // namespace baobabpin::base
