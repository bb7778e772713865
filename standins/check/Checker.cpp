#include "standins/check/Checker.h"

#include <algorithm>
#include <limits>

namespace standins::check {

namespace internal {

namespace {

constexpr std::size_t MaxExamples = 40;

void addFault(Case &it, const history::FaultRecord &fault) {
  if (fault.Event == "start")
    it.StartUs = fault.AtUs;
  if (fault.Event == "cut") {
    auto group = it.Groups.find(fault.Group);
    bool ofPrimary = group != it.Groups.end() &&
                     primaryAt(group->second, fault.AtUs) == fault.Target;
    it.Cuts.push_back({fault.Group, fault.Target, fault.AtUs,
                       std::numeric_limits<MonotonicUs>::max(), ofPrimary});
  }
  if (fault.Event != "heal")
    return;
  for (CutSpan &cut : it.Cuts) {
    if (cut.Server == fault.Target && cut.To > fault.AtUs)
      cut.To = fault.AtUs;
  }
}

} // namespace

Case arrange(const Evidence &evidence) {
  Case it{.Given = evidence};
  for (const ServerLog &log : evidence.Servers) {
    if (!it.Groups.contains(log.Group))
      it.Groups[log.Group] = buildGroupHistory(log.Group, evidence.Servers);
  }
  for (const history::FaultRecord &fault : evidence.Faults)
    addFault(it, fault);
  return it;
}

void noteViolation(Case &it, std::uint64_t &counter, const char *name,
                   const history::HistoryRecord &record,
                   const std::string &detail) {
  ++counter;
  if (it.Result.Examples.size() >= MaxExamples)
    return;
  it.Result.Examples.push_back(std::string(name) + " " + detail + " " +
                               formatRecord(record));
}

} // namespace internal

Report check(const Evidence &evidence) {
  internal::Case it = internal::arrange(evidence);
  it.Result.Requests = evidence.Records.size();
  internal::checkReads(it);
  internal::checkWrites(it);
  internal::checkAvailability(it);
  return std::move(it.Result);
}

} // namespace standins::check
