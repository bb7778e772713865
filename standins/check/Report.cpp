#include "standins/check/Report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace standins::check {

namespace {

std::string formatShare(std::uint64_t part, std::uint64_t whole) {
  std::ostringstream text;
  double share =
      whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
  text << std::fixed << std::setprecision(4) << share;
  return text.str();
}

std::string formatMs(std::int64_t us) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << static_cast<double>(us) / 1000;
  return text.str();
}

/// The upper of the two middle values, so that it is never flattered.
std::int64_t median(std::vector<std::int64_t> values) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

std::int64_t greatest(const std::vector<std::int64_t> &values) {
  auto it = std::max_element(values.begin(), values.end());
  return it == values.end() ? 0 : *it;
}

} // namespace

std::uint64_t violationCount(const Report &report) {
  return report.AcknowledgedByOldPrimary + report.RanTwice +
         report.FalseNotRun + report.FalseFailed + report.StaleReads +
         report.LostAcknowledgedWrites + report.MixedAnswers +
         report.CutInFlight + report.FalsePromotions;
}

std::vector<std::pair<std::string, std::string>>
listCounts(const Report &report) {
  std::vector<std::pair<std::string, std::string>> list;
  auto add = [&](const std::string &key, const std::string &value) {
    list.emplace_back(key, value);
  };
  auto count = [&](const std::string &key, std::uint64_t n) {
    add(key, std::to_string(n));
  };
  count("requests", report.Requests);
  count("reads", report.Reads);
  count("reads_served_by_replicas", report.ReadsServedByReplicas);
  add("replica_read_share",
      formatShare(report.ReadsServedByReplicas, report.Reads));
  add("replica_read_share_bound",
      formatShare(report.ReadsReplicaCouldServe, report.Reads));
  add("failover_gap_p50_ms", formatMs(median(report.GapsUs)));
  add("failover_gap_max_ms", formatMs(greatest(report.GapsUs)));
  count("cuts", report.Cuts);
  count("failovers", report.Failovers);
  count("failovers_missing", report.FailoversMissing);
  count("false_promotions", report.FalsePromotions);
  count("acknowledged_by_old_primary", report.AcknowledgedByOldPrimary);
  count("ran_twice", report.RanTwice);
  count("false_not_run", report.FalseNotRun);
  count("false_failed", report.FalseFailed);
  count("stale_reads", report.StaleReads);
  count("lost_acknowledged_writes", report.LostAcknowledgedWrites);
  count("mixed_answers", report.MixedAnswers);
  count("cut_in_flight", report.CutInFlight);
  count("reads_of_discarded_writes", report.ReadsOfDiscardedWrites);
  count("unknown_attempts", report.UnknownAttempts);
  count("unknown", report.Unknown);
  count("timed_out", report.TimedOut);
  for (const auto &[type, n] : report.Refused)
    count("refused_" + type, n);
  return list;
}

std::string formatLines(const Report &report, const std::string &prefix) {
  std::ostringstream text;
  for (const auto &[key, value] : listCounts(report))
    text << prefix << key << '=' << value << '\n';
  return text.str();
}

std::string formatJson(const Report &report) {
  nlohmann::ordered_json object;
  for (const auto &[key, value] : listCounts(report))
    object[key] = nlohmann::json::parse(value);
  object["failover_gaps_us"] = report.GapsUs;
  object["examples"] = report.Examples;
  return object.dump(2);
}

} // namespace standins::check
