#include "baobabpin/control/ServerAccess.h"

#include "platform/Wire.h"

namespace baobabpin::control {

std::optional<sql::ServerStatus> statusOf(const std::optional<sql::Reply> &it) {
  if (!it || !it->succeeded() || it->Rows.empty())
    return std::nullopt;
  return platform::parseStatusRow(it->Rows.front());
}

} // namespace baobabpin::control
