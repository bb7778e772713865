#include "standins/check/Checker.h"

#include <algorithm>
#include <iterator>

namespace standins::check::internal {

using history::FaultRecord;
using history::HistoryRecord;

namespace {

/// A planned handover explains promotions for this long.
constexpr MonotonicUs HandoverSpanUs = 5'000'000;

bool isAcknowledgement(const HistoryRecord &record) {
  bool isWrite = record.Kind == "commit" ||
                 (record.Kind == "write" && record.Transaction.empty());
  return isWrite && record.Outcome == "answered";
}

/// Receipt of the first acknowledgement by a server other than the one that was
/// cut, up to \p until; 0 for none.
MonotonicUs firstNewAcknowledgement(const Case &it, const CutSpan &cut,
                                    MonotonicUs until) {
  MonotonicUs first = 0;
  for (const HistoryRecord &record : it.Given.Records) {
    if (record.Group != cut.Group || !isAcknowledgement(record) ||
        record.Server == cut.Server)
      continue;
    // An answer of the time before the cut may still be on its way, but it came
    // from the server that was cut.
    if (record.ReceivedUs <= cut.From || record.ReceivedUs > until)
      continue;
    if (first == 0 || record.ReceivedUs < first)
      first = record.ReceivedUs;
  }
  return first;
}

void checkFailovers(Case &it) {
  Report &report = it.Result;
  for (std::size_t i = 0; i < it.Cuts.size(); ++i) {
    const CutSpan &cut = it.Cuts[i];
    if (!cut.OfPrimary)
      continue;
    ++report.Cuts;
    auto until = std::numeric_limits<MonotonicUs>::max();
    for (std::size_t j = i + 1; j < it.Cuts.size(); ++j) {
      if (it.Cuts[j].Group == cut.Group)
        until = std::min(until, it.Cuts[j].From);
    }
    MonotonicUs first = firstNewAcknowledgement(it, cut, until);
    if (first == 0) {
      ++report.FailoversMissing;
      continue;
    }
    ++report.Failovers;
    report.GapsUs.push_back(first - cut.From);
  }
}

bool isExplained(const Case &it, const std::string &group, MonotonicUs at) {
  for (const CutSpan &cut : it.Cuts) {
    if (cut.OfPrimary && cut.Group == group && cut.From <= at && at <= cut.To)
      return true;
  }
  for (const FaultRecord &fault : it.Given.Faults) {
    if (fault.Event == "handover" && fault.Group == group && fault.AtUs <= at &&
        at <= fault.AtUs + HandoverSpanUs)
      return true;
  }
  return false;
}

void checkPromotions(Case &it) {
  for (const auto &[name, group] : it.Groups) {
    for (const Leadership &leader : group.Leaders) {
      if (leader.AtUs <= it.StartUs || isExplained(it, name, leader.AtUs))
        continue;
      HistoryRecord shown{
          .SentUs = leader.AtUs, .Group = name, .Server = leader.Server};
      noteViolation(it, it.Result.FalsePromotions, "false_promotion", shown,
                    "term=" + std::to_string(leader.Term));
    }
  }
}

/// Whether the node was killed without notice while the attempt was under way.
/// A kill takes effect at some time after its record, at the latest at the exit
/// if that is the next record of the node.
bool wasKilled(const Case &it, const HistoryRecord &record) {
  const auto &faults = it.Given.Faults;
  for (auto kill = faults.begin(); kill != faults.end(); ++kill) {
    if (kill->Event != "kill" || kill->Target != record.Node)
      continue;
    auto next = std::find_if(
        std::next(kill), faults.end(),
        [&](const FaultRecord &fault) { return fault.Target == record.Node; });
    bool hasExit = next != faults.end() && next->Event == "exit";
    MonotonicUs goneUs = hasExit ? next->AtUs : kill->AtUs;
    if (record.SentUs <= goneUs && kill->AtUs <= record.ReceivedUs)
      return true;
  }
  return false;
}

} // namespace

void checkAvailability(Case &it) {
  for (const HistoryRecord &record : it.Given.Records) {
    it.Result.TimedOut += record.Transfer == "timed_out";
    if (record.Transfer == "broken" && !wasKilled(it, record))
      noteViolation(it, it.Result.CutInFlight, "cut_in_flight", record);
  }
  checkFailovers(it);
  checkPromotions(it);
}

} // namespace standins::check::internal
