#include "standins/history/FaultRecord.h"

#include <nlohmann/json.hpp>

namespace standins::history {

using nlohmann::json;

std::string formatFault(const FaultRecord &fault) {
  json line{{"at_us", fault.AtUs},
            {"event", fault.Event},
            {"group", fault.Group},
            {"target", fault.Target}};
  return line.dump();
}

std::optional<FaultRecord> parseFault(std::string_view text) {
  json line = json::parse(text, nullptr, false);
  if (!line.is_object())
    return std::nullopt;
  try {
    return FaultRecord{line.at("at_us").get<MonotonicUs>(),
                       line.at("event").get<std::string>(),
                       line.value("group", ""), line.value("target", "")};
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace standins::history
