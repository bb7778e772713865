#include "standins/check/GroupHistory.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <sstream>

namespace standins::check {

using nlohmann::json;

namespace {

constexpr Index EndOfTime = std::numeric_limits<Index>::max();

/// Indices [From, To) after which the history looked a certain way.
struct Span {
  Index From = 0;
  Index To = EndOfTime;
};

std::vector<std::string> splitStatements(const std::string &text) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin < text.size()) {
    std::size_t end = text.find("; ", begin);
    if (end == std::string::npos)
      end = text.size();
    parts.push_back(text.substr(begin, end - begin));
    begin = end + 2;
  }
  return parts;
}

std::string valueNow(const GroupHistory &group, const std::string &key) {
  auto it = group.Keys.find(key);
  return it == group.Keys.end() ? "" : it->second.back().Value;
}

/// The driver writes with PUT and ADD only.
void applyStatement(GroupHistory &group, Index index,
                    const std::string &statement) {
  std::istringstream words(statement);
  std::string verb;
  std::string key;
  std::string operand;
  words >> verb >> key >> operand;
  if (verb == "ADD") {
    std::string now = valueNow(group, key);
    operand = std::to_string((now.empty() ? 0 : std::stoll(now)) +
                             std::stoll(operand));
  }
  group.Keys[key].push_back({index, operand});
}

/// When \p key had \p value; the empty value stands for an absent key.
std::vector<Span> spansOf(const GroupHistory &group, const std::string &key,
                          const std::string &value) {
  std::vector<Span> spans;
  auto it = group.Keys.find(key);
  if (it == group.Keys.end()) {
    if (value.empty())
      spans.push_back({});
    return spans;
  }
  const auto &changes = it->second;
  if (value.empty())
    spans.push_back({0, changes.front().From});
  for (std::size_t i = 0; i < changes.size(); ++i) {
    if (changes[i].Value != value)
      continue;
    Index to = i + 1 < changes.size() ? changes[i + 1].From : EndOfTime;
    spans.push_back({changes[i].From, to});
  }
  return spans;
}

std::vector<Span> intersect(const std::vector<Span> &a,
                            const std::vector<Span> &b) {
  std::vector<Span> common;
  for (const Span &x : a) {
    for (const Span &y : b) {
      Span both{std::max(x.From, y.From), std::min(x.To, y.To)};
      if (both.From < both.To)
        common.push_back(both);
    }
  }
  return common;
}

/// When the whole prefix looked like \p result.
std::vector<Span> spansOfScan(const GroupHistory &group,
                              const std::string &prefix,
                              const std::string &result) {
  json found = json::parse(result, nullptr, false);
  if (!found.is_object())
    return {};
  std::map<std::string, std::string> values;
  for (auto it = group.Keys.lower_bound(prefix);
       it != group.Keys.end() && it->first.starts_with(prefix); ++it)
    values[it->first] = "";
  for (const auto &[key, value] : found.items()) {
    if (!key.starts_with(prefix))
      return {};
    values[key] = value.is_string() ? value.get<std::string>() : value.dump();
  }
  std::vector<Span> spans{{}};
  for (const auto &[key, value] : values)
    spans = intersect(spans, spansOf(group, key, value));
  return spans;
}

void addServer(GroupHistory &group, const ServerLog &log) {
  for (const Promotion &it : log.Promotions)
    group.Leaders.push_back({it.AtUs, it.Term, log.Server});
  for (const DiscardedEntry &it : log.Discarded) {
    group.Discarded.insert(it.RequestId);
    group.ServersWithDiscards.insert(log.Server);
  }
  auto &applied = group.Applied[log.Server];
  for (std::size_t i = 0; i < log.Entries.size(); ++i) {
    // A tail of another term never became part of the surviving history.
    if (i >= group.Entries.size() ||
        log.Entries[i].Term != group.Entries[i].Term) {
      for (; i < log.Entries.size(); ++i)
        group.Discarded.insert(log.Entries[i].RequestId);
      group.ServersWithDiscards.insert(log.Server);
      break;
    }
    applied.push_back(log.Entries[i].AppliedUs);
  }
}

} // namespace

GroupHistory buildGroupHistory(const std::string &name,
                               const std::vector<ServerLog> &logs) {
  GroupHistory group{.Name = name};
  auto endsBefore = [](const ServerLog *a, const ServerLog &b) {
    if (!a || a->Entries.empty())
      return true;
    if (b.Entries.empty())
      return false;
    const ServerEntry &x = a->Entries.back();
    const ServerEntry &y = b.Entries.back();
    return std::pair(x.Term, x.Index) < std::pair(y.Term, y.Index);
  };
  const ServerLog *longest = nullptr;
  for (const ServerLog &log : logs) {
    if (log.Group == name && endsBefore(longest, log))
      longest = &log;
  }
  if (!longest)
    return group;
  group.Entries = longest->Entries;
  for (const ServerEntry &entry : group.Entries) {
    if (!entry.RequestId.empty())
      group.ByRequest[entry.RequestId].push_back(entry.Index);
    for (const std::string &statement : splitStatements(entry.Text))
      applyStatement(group, entry.Index, statement);
  }
  for (const ServerLog &log : logs) {
    if (log.Group == name)
      addServer(group, log);
  }
  group.Discarded.erase("");
  std::sort(group.Leaders.begin(), group.Leaders.end(),
            [](auto &a, auto &b) { return a.Term < b.Term; });
  return group;
}

Index indexAt(const GroupHistory &group, MonotonicUs at) {
  auto it = std::upper_bound(group.Entries.begin(), group.Entries.end(), at,
                             [](MonotonicUs t, const ServerEntry &entry) {
                               return t < entry.AppendedUs;
                             });
  return static_cast<Index>(it - group.Entries.begin());
}

Index appliedAt(const GroupHistory &group, const std::string &server,
                MonotonicUs at) {
  auto it = group.Applied.find(server);
  if (it == group.Applied.end())
    return 0;
  const auto &times = it->second;
  auto end = std::upper_bound(times.begin(), times.end(), at);
  return static_cast<Index>(end - times.begin());
}

std::string primaryAt(const GroupHistory &group, MonotonicUs at) {
  std::string server;
  for (const Leadership &it : group.Leaders) {
    if (it.AtUs <= at)
      server = it.Server;
  }
  return server;
}

bool ledSince(const GroupHistory &group, const std::string &server,
              std::uint64_t term) {
  return std::any_of(group.Leaders.begin(), group.Leaders.end(),
                     [&](const Leadership &it) {
                       return it.Server == server && it.Term >= term;
                     });
}

std::string primaryOf(const GroupHistory &group, std::uint64_t term) {
  for (const Leadership &it : group.Leaders) {
    if (it.Term == term)
      return it.Server;
  }
  return "";
}

ReadVerdict judgeRead(const GroupHistory &group, const std::string &statement,
                      const std::string &result, Index needed) {
  std::istringstream words(statement);
  std::string verb;
  std::string key;
  words >> verb >> key;
  auto spans = verb == "SCAN" ? spansOfScan(group, key, result)
                              : spansOf(group, key, result);
  if (spans.empty())
    return ReadVerdict::Foreign;
  bool isFresh = std::any_of(spans.begin(), spans.end(),
                             [&](const Span &it) { return it.To > needed; });
  return isFresh ? ReadVerdict::Fresh : ReadVerdict::Stale;
}

} // namespace standins::check
