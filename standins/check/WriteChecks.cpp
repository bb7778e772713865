#include "standins/check/Checker.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace standins::check::internal {

using history::HistoryRecord;

namespace {

/// What callers say about one request ID.
struct Request {
  const HistoryRecord *First = nullptr;
  const HistoryRecord *Last = nullptr;
  /// Statements of the log entry if the request takes effect.
  std::string Text;
};
using Requests = std::unordered_map<std::string, Request>;

/// The acknowledged write statements of each transaction, in the order in which
/// its caller sent them.
std::unordered_map<std::string, std::string> transactionTexts(const Case &it) {
  std::unordered_map<std::string, std::string> texts;
  for (const HistoryRecord &record : it.Given.Records) {
    if (record.Transaction.empty() || record.Kind != "write" ||
        record.Outcome != "answered")
      continue;
    std::string &text = texts[record.Transaction];
    text += (text.empty() ? "" : "; ") + record.Statement;
  }
  return texts;
}

Requests collectRequests(const Case &it) {
  auto texts = transactionTexts(it);
  Requests requests;
  for (const HistoryRecord &record : it.Given.Records) {
    if (record.RequestId.empty())
      continue;
    Request &request = requests[record.RequestId];
    if (!request.First) {
      request.First = &record;
      request.Text = record.Kind == "commit" ? texts[record.Transaction]
                                             : record.Statement;
    }
    request.Last = &record;
  }
  return requests;
}

bool isInSomeLog(const Case &it, const std::string &requestId) {
  for (const auto &[name, group] : it.Groups) {
    if (group.ByRequest.contains(requestId) ||
        group.Discarded.contains(requestId))
      return true;
  }
  return false;
}

bool survives(const Case &it, const std::string &requestId) {
  for (const auto &[name, group] : it.Groups) {
    if (group.ByRequest.contains(requestId))
      return true;
  }
  return false;
}

/// A commit that is reported lost may have run on a fenced primary, whose tail
/// is discarded; it must not be in the surviving history. Any other failure is
/// the database's own and leaves no entry anywhere.
bool isFalseFailure(const Case &it, const HistoryRecord &record) {
  if (record.Outcome != "failed")
    return false;
  return record.Error == "transaction_lost" ? survives(it, record.RequestId)
                                            : isInSomeLog(it, record.RequestId);
}

/// An acknowledgement by a server under whose leadership the entry did not
/// enter the surviving history.
bool isByOldPrimary(const GroupHistory &group, const HistoryRecord &record) {
  auto found = group.ByRequest.find(record.RequestId);
  if (found == group.ByRequest.end())
    return group.Discarded.contains(record.RequestId);
  std::uint64_t term = group.Entries[found->second.front() - 1].Term;
  if (record.Replayed)
    return !ledSince(group, record.Server, term);
  std::string primary = primaryOf(group, term);
  return !primary.empty() && primary != record.Server;
}

void checkAcknowledged(Case &it, const GroupHistory &group,
                       const HistoryRecord &record) {
  Report &report = it.Result;
  auto found = group.ByRequest.find(record.RequestId);
  if (isByOldPrimary(group, record))
    noteViolation(it, report.AcknowledgedByOldPrimary, "old_primary", record);
  if (found == group.ByRequest.end()) {
    noteViolation(it, report.LostAcknowledgedWrites, "lost", record);
    return;
  }
  const ServerEntry &entry = group.Entries[found->second.front() - 1];
  if (record.Kind == "write" && record.Result != entry.Result)
    noteViolation(it, report.MixedAnswers, "wrong_result", record,
                  "log=" + entry.Result);
}

void checkAttempt(Case &it, const HistoryRecord &record) {
  Report &report = it.Result;
  bool isOtherId =
      !record.AnsweredId.empty() && record.AnsweredId != record.RequestId;
  if (!record.RequestId.empty() && isOtherId)
    noteViolation(it, report.MixedAnswers, "other_request_id", record);
  if (record.Outcome == "not_run")
    ++report.Refused[record.Error.empty() ? "unnamed" : record.Error];
  bool isUnknown = record.Outcome != "answered" &&
                   record.Outcome != "not_run" && record.Outcome != "failed" &&
                   record.Transfer != "not_sent";
  report.UnknownAttempts += isUnknown;
  if (record.RequestId.empty())
    return;
  if (record.Outcome == "not_run" && isInSomeLog(it, record.RequestId))
    noteViolation(it, report.FalseNotRun, "false_not_run", record);
  if (isFalseFailure(it, record))
    noteViolation(it, report.FalseFailed, "false_failed", record);
  auto group = it.Groups.find(record.Group);
  if (record.Outcome == "answered" && group != it.Groups.end())
    checkAcknowledged(it, group->second, record);
}

/// Every entry must be the whole effect of one request that a caller sent.
void checkEntries(Case &it, const Requests &requests, const GroupHistory &group,
                  std::unordered_set<std::string> &seen,
                  std::unordered_set<std::string> &values) {
  Report &report = it.Result;
  for (const ServerEntry &entry : group.Entries) {
    if (entry.RequestId.empty())
      continue;
    HistoryRecord shown{.Group = group.Name,
                        .RequestId = entry.RequestId,
                        .Statement = entry.Text,
                        .Result = entry.Result};
    auto request = requests.find(entry.RequestId);
    // A repeat under an ID that no caller chose is a second run as well.
    bool isSecond = !seen.insert(entry.RequestId).second;
    bool isPutAgain =
        entry.Text.starts_with("PUT ") && !values.insert(entry.Text).second;
    if (isSecond || isPutAgain || request == requests.end())
      noteViolation(it, report.RanTwice, "ran_twice", shown);
    if (request != requests.end() && request->second.Text != entry.Text)
      noteViolation(it, report.MixedAnswers, "mixed_statements", shown,
                    "sent=" + request->second.Text);
  }
}

bool isResolved(const HistoryRecord &last) {
  return last.Outcome == "answered" || last.Outcome == "not_run" ||
         last.Outcome == "failed";
}

} // namespace

void checkWrites(Case &it) {
  Requests requests = collectRequests(it);
  for (const HistoryRecord &record : it.Given.Records)
    checkAttempt(it, record);
  // One set for all groups: a request that ran in two groups ran twice.
  std::unordered_set<std::string> seen;
  std::unordered_set<std::string> values;
  for (const auto &[name, group] : it.Groups)
    checkEntries(it, requests, group, seen, values);
  for (const auto &[id, request] : requests)
    it.Result.Unknown += !isResolved(*request.Last);
}

} // namespace standins::check::internal
