/// Faults and planned stops as the orchestrator injected them; one JSON line
/// each in the fault log.
#pragma once

#include "standins/history/HistoryRecord.h"

#include <optional>
#include <string>
#include <string_view>

namespace standins::history {

/// What happened at one moment.
///
/// event: "start" (the workload begins; earlier promotions are the bootstrap),
/// "cut" and "heal" (a server's links), "kill" (a node died without notice),
/// "stop" (a planned stop was requested), "exit" (a stopped or killed node is
/// gone).
struct FaultRecord {
  MonotonicUs AtUs = 0;
  std::string Event;
  std::string Group;  ///< Of a cut or heal.
  std::string Target; ///< Server ID, or endpoint of a node.

  bool operator==(const FaultRecord &) const = default;
};

std::string formatFault(const FaultRecord &fault);
std::optional<FaultRecord> parseFault(std::string_view line);

} // namespace standins::history
