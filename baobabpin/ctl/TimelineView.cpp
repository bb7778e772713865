#include "baobabpin/ctl/TimelineView.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <map>
#include <set>

namespace baobabpin::ctl {
namespace {

using nlohmann::json;
using operators::ProcessEvent;

constexpr std::uint64_t MicrosPerSecond = 1'000'000;

bool isLinkField(const std::string &key) {
  static constexpr std::array Names{"message", "request_id", "correlation",
                                    "revision"};
  return std::find(Names.begin(), Names.end(), key) != Names.end();
}

std::string fieldsText(const ProcessEvent &event) {
  std::string text;
  for (const auto &[key, value] : event.Event.Fields)
    text.append(" ").append(key).append("=").append(value);
  return text;
}

} // namespace

std::string formatWallTime(std::uint64_t wallUs) {
  auto seconds = static_cast<std::time_t>(wallUs / MicrosPerSecond);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 32> date{};
  std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  std::array<char, 48> text{};
  std::snprintf(text.data(), text.size(), "%s.%06uZ", date.data(),
                static_cast<unsigned>(wallUs % MicrosPerSecond));
  return text.data();
}

std::vector<EventLink> findLinks(const std::vector<ProcessEvent> &events) {
  struct Origin {
    std::size_t Event;
    std::set<std::string> Reached;
  };
  std::map<std::pair<std::string, std::string>, Origin> origins;
  std::set<std::pair<std::size_t, std::size_t>> links;
  for (std::size_t i = 0; i < events.size(); ++i) {
    for (const auto &field : events[i].Event.Fields) {
      if (!isLinkField(field.first) || field.second.empty())
        continue;
      auto [it, isFirst] = origins.try_emplace(field, Origin{i, {}});
      Origin &origin = it->second;
      if (origin.Reached.insert(events[i].Process).second && !isFirst)
        links.emplace(origin.Event, i);
    }
  }
  std::vector<EventLink> result;
  result.reserve(links.size());
  for (const auto &[from, to] : links)
    result.push_back({from, to});
  return result;
}

std::string renderTimelineText(const TimelineSource &source) {
  std::string text;
  std::size_t width = 0;
  for (const auto &it : source.Events)
    width = std::max(width, it.Process.size());
  for (const auto &it : source.Events) {
    std::string process = it.Process;
    process.resize(width, ' ');
    text += formatWallTime(it.Event.Stamp.WallUs) + "  ";
    text.append(process).append("  ").append(it.Event.Name);
    text += fieldsText(it) + "\n";
  }
  for (const auto &it : source.Missing)
    text.append("no answer from ").append(it).append("\n");
  return text;
}

std::string renderTimelineJson(const TimelineSource &source) {
  json events = json::array();
  for (const auto &it : source.Events) {
    json fields = json::object();
    for (const auto &[key, value] : it.Event.Fields)
      fields[key] = value;
    events.push_back({{"process", it.Process},
                      {"wall_us", it.Event.Stamp.WallUs},
                      {"counter", it.Event.Stamp.Counter},
                      {"name", it.Event.Name},
                      {"fields", std::move(fields)}});
  }
  return json{{"events", std::move(events)}, {"missing", source.Missing}}.dump(
             2, ' ', false, json::error_handler_t::replace) +
         "\n";
}

} // namespace baobabpin::ctl
