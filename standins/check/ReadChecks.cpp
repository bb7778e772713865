#include "standins/check/Checker.h"

#include <algorithm>
#include <set>

namespace standins::check::internal {

using history::HistoryRecord;

namespace {

/// Acknowledged writes of one session in one group, by time of receipt.
struct Acknowledged {
  MonotonicUs ReceivedUs = 0;
  Index Highest = 0; ///< Over this and all earlier ones.
};
using SessionKey = std::pair<std::string, std::string>;
using SessionWrites = std::map<SessionKey, std::vector<Acknowledged>>;

bool isWriteKind(const HistoryRecord &record) {
  return record.Kind == "commit" ||
         (record.Kind == "write" && record.Transaction.empty());
}

SessionWrites collectSessionWrites(const Case &it) {
  SessionWrites writes;
  for (const HistoryRecord &record : it.Given.Records) {
    // A dropped answer never reached the session.
    if (!isWriteKind(record) || record.Outcome != "answered" || record.Dropped)
      continue;
    auto group = it.Groups.find(record.Group);
    if (group == it.Groups.end())
      continue;
    auto entry = group->second.ByRequest.find(record.RequestId);
    if (entry == group->second.ByRequest.end())
      continue;
    writes[{record.Session, record.Group}].push_back(
        {record.ReceivedUs, entry->second.front()});
  }
  for (auto &[key, list] : writes) {
    std::sort(list.begin(), list.end(),
              [](auto &a, auto &b) { return a.ReceivedUs < b.ReceivedUs; });
    Index highest = 0;
    for (Acknowledged &write : list)
      write.Highest = highest = std::max(highest, write.Highest);
  }
  return writes;
}

/// The last acknowledged write that the session knew when it sent the read.
Index sessionPosition(const SessionWrites &writes, const HistoryRecord &read) {
  auto it = writes.find({read.Session, read.Group});
  if (it == writes.end())
    return 0;
  auto next = std::upper_bound(
      it->second.begin(), it->second.end(), read.SentUs,
      [](MonotonicUs at, auto &write) { return at < write.ReceivedUs; });
  return next == it->second.begin() ? 0 : std::prev(next)->Highest;
}

/// What the answer must contain, seen from the moment \p from.
Index neededIndex(const GroupHistory &group, const SessionWrites &writes,
                  const HistoryRecord &read, MonotonicUs from) {
  Index needed = read.WithSession ? sessionPosition(writes, read) : 0;
  if (read.MaxAgeMs)
    needed = std::max(needed, indexAt(group, from - *read.MaxAgeMs * 1000));
  return needed;
}

bool isCut(const Case &it, const std::string &server, MonotonicUs at) {
  return std::any_of(it.Cuts.begin(), it.Cuts.end(), [&](const CutSpan &cut) {
    return cut.Server == server && cut.From <= at && at < cut.To;
  });
}

/// Whether some reachable replica held what the read needs when it arrived.
bool couldReplicaServe(const Case &it, const GroupHistory &group,
                       const SessionWrites &writes, const HistoryRecord &read) {
  MonotonicUs arrived = read.SentUs + it.Given.ClientLatency.count();
  Index needed = neededIndex(group, writes, read, arrived);
  std::string primary = primaryAt(group, arrived);
  for (const auto &[server, times] : group.Applied) {
    if (server == primary || isCut(it, server, arrived))
      continue;
    if (appliedAt(group, server, arrived) >= needed)
      return true;
  }
  return false;
}

/// Keys and values that callers tried to write, whether or not it took effect.
struct Attempted {
  std::set<std::string> Puts;                        ///< "key value"
  std::map<std::string, std::set<std::string>> Adds; ///< Request IDs by key.
};

Attempted collectAttempted(const Case &it) {
  Attempted attempted;
  for (const HistoryRecord &record : it.Given.Records) {
    const std::string &text = record.Statement;
    if (text.starts_with("PUT "))
      attempted.Puts.insert(text.substr(4));
    if (!text.starts_with("ADD "))
      continue;
    std::string key = text.substr(4, text.find(' ', 4) - 4);
    const std::string &id =
        record.RequestId.empty() ? record.Transaction : record.RequestId;
    attempted.Adds[key].insert(id + record.Statement);
  }
  return attempted;
}

/// Whether a write that callers sent to this key can explain the value.
bool wasAttempted(const Attempted &attempted, const HistoryRecord &read) {
  if (!read.Statement.starts_with("GET "))
    return false;
  std::string key = read.Statement.substr(4);
  if (attempted.Puts.contains(key + " " + read.Result))
    return true;
  auto adds = attempted.Adds.find(key);
  bool isNumber =
      !read.Result.empty() && read.Result.size() < 10 &&
      read.Result.find_first_not_of("0123456789") == std::string::npos;
  return adds != attempted.Adds.end() && isNumber &&
         std::stoul(read.Result) <= adds->second.size();
}

void checkAnswer(Case &it, const GroupHistory &group,
                 const SessionWrites &writes, const Attempted &attempted,
                 const HistoryRecord &read) {
  Index needed = neededIndex(group, writes, read, read.SentUs);
  switch (judgeRead(group, read.Statement, read.Result, needed)) {
  case ReadVerdict::Fresh:
    return;
  case ReadVerdict::Stale:
    noteViolation(it, it.Result.StaleReads, "stale_read", read,
                  "needed=" + std::to_string(needed));
    return;
  case ReadVerdict::Foreign:
    break;
  }
  // A replica may have shown an entry that a failover discarded later.
  bool isScanOfTail = read.Statement.starts_with("SCAN ") &&
                      group.ServersWithDiscards.contains(read.Server);
  if (isScanOfTail || wasAttempted(attempted, read)) {
    ++it.Result.ReadsOfDiscardedWrites;
    return;
  }
  noteViolation(it, it.Result.MixedAnswers, "foreign_answer", read);
}

} // namespace

void checkReads(Case &it) {
  SessionWrites writes = collectSessionWrites(it);
  Attempted attempted = collectAttempted(it);
  for (const HistoryRecord &read : it.Given.Records) {
    bool counts = read.Kind == "read" && read.Transaction.empty() &&
                  read.Outcome == "answered";
    auto group = it.Groups.find(read.Group);
    if (!counts || group == it.Groups.end())
      continue;
    ++it.Result.Reads;
    it.Result.ReadsServedByReplicas += read.Role == "replica";
    it.Result.ReadsReplicaCouldServe +=
        couldReplicaServe(it, group->second, writes, read);
    checkAnswer(it, group->second, writes, attempted, read);
  }
}

} // namespace standins::check::internal
