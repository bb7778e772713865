#include "baobabpin/kernel/internal/LogValue.h"

#include "baobabpin/base/Word.h"

namespace baobabpin::kernel::internal {

void appendLogValue(std::string &line, std::string_view value) {
  bool isPlain = !value.empty() && !base::hasControl(value) &&
                 value.find_first_of(" \"=") == std::string_view::npos;
  if (isPlain) {
    line += value;
    return;
  }
  line += '"';
  for (char c : value) {
    if (c == '"' || c == '\\')
      line += '\\';
    line += base::isControl(c) ? ' ' : c;
  }
  line += '"';
}

} // namespace baobabpin::kernel::internal
