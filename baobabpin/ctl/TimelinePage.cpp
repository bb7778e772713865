// The HTML form of the time line.

#include "baobabpin/ctl/TimelineView.h"

#include <algorithm>
#include <map>

namespace baobabpin::ctl {

namespace {

using operators::ProcessEvent;

constexpr int LaneWidth = 220;
constexpr int TimeWidth = 230;
constexpr int HeaderHeight = 40;
constexpr int RowHeight = 24;
constexpr int DotRadius = 4;

constexpr const char *PageHead = R"(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>baobabpin time line</title>
<style>
body { font: 13px sans-serif; margin: 1em; color: #222; background: #fff; }
.scroll { overflow-x: auto; }
svg text { font: 12px sans-serif; fill: #222; }
svg text.lane { font-weight: bold; }
svg text.time { font: 11px monospace; fill: #555; }
svg line.lane { stroke: #bbb; stroke-dasharray: 2 3; }
svg circle { fill: #1f5fa8; }
svg path.link { stroke: #b3541e; fill: none; stroke-width: 1.3; }
svg g.event:hover text { fill: #b3541e; }
</style>
</head>
<body>
<h1>Time line</h1>
)";

constexpr const char *ArrowMarker =
    R"(<defs><marker id="arrow" viewBox="0 0 8 8" refX="8" refY="4" )"
    R"(markerWidth="7" markerHeight="7" orient="auto">)"
    R"(<path d="M0 0 L8 4 L0 8 z" fill="#b3541e"/></marker></defs>)"
    "\n";

/// Event fields come from callers and other nodes; they must not become markup.
std::string escapeHtml(const std::string &text) {
  std::string safe;
  for (char c : text) {
    if (c == '&')
      safe += "&amp;";
    else if (c == '<')
      safe += "&lt;";
    else if (c == '>')
      safe += "&gt;";
    else if (c == '"')
      safe += "&quot;";
    else if (static_cast<unsigned char>(c) < ' ' && c != '\n' && c != '\t')
      safe += '?';
    else
      safe += c;
  }
  return safe;
}

std::string attribute(const char *name, int value) {
  return std::string(" ") + name + "=\"" + std::to_string(value) + "\"";
}

class Page {
public:
  explicit Page(const TimelineSource &source) : Source(source) {
    for (const auto &it : Source.Events)
      Lanes.emplace(it.Process, 0);
    int n = 0;
    for (auto &[process, lane] : Lanes)
      lane = n++;
  }

  std::string render() {
    Text = PageHead;
    addSummary();
    Text += "<div class=\"scroll\"><svg xmlns=\"http://www.w3.org/2000/svg\"" +
            attribute("width", TimeWidth + width() * LaneWidth) +
            attribute("height", height()) + " role=\"img\">\n" + ArrowMarker;
    addLanes();
    for (const auto &it : findLinks(Source.Events))
      addLink(it);
    for (std::size_t i = 0; i < Source.Events.size(); ++i)
      addEvent(i);
    Text += "</svg></div>\n</body>\n</html>\n";
    return std::move(Text);
  }

private:
  int width() const { return std::max<int>(1, static_cast<int>(Lanes.size())); }
  int height() const { return rowY(Source.Events.size()) + RowHeight; }
  int laneX(const std::string &process) const {
    return TimeWidth + Lanes.at(process) * LaneWidth;
  }
  static int rowY(std::size_t row) {
    return HeaderHeight + RowHeight * static_cast<int>(row) + RowHeight / 2;
  }

  void addSummary() {
    Text += "<p>" + std::to_string(Source.Events.size()) + " events of " +
            std::to_string(Lanes.size()) +
            " processes, in the order of cause and effect; the distance of "
            "rows is not to scale. An arrow shows that a message links two "
            "events.</p>\n";
    for (const auto &it : Source.Missing)
      Text += "<p>No answer from " + escapeHtml(it) + ".</p>\n";
  }
  void addLanes() {
    for (const auto &[process, lane] : Lanes) {
      int x = laneX(process);
      Text += "<text class=\"lane\"" + attribute("x", x) +
              attribute("y", HeaderHeight / 2) + ">" + escapeHtml(process) +
              "</text>\n<line class=\"lane\"" + attribute("x1", x) +
              attribute("x2", x) + attribute("y1", HeaderHeight) +
              attribute("y2", height()) + "/>\n";
    }
  }
  void addLink(const EventLink &link) {
    int fromX = laneX(Source.Events[link.From].Process);
    int toX = laneX(Source.Events[link.To].Process);
    int side = toX > fromX ? DotRadius : -DotRadius;
    Text += "<path class=\"link\" marker-end=\"url(#arrow)\" d=\"M" +
            std::to_string(fromX + side) + " " +
            std::to_string(rowY(link.From)) + " L" +
            std::to_string(toX - side) + " " + std::to_string(rowY(link.To)) +
            "\"/>\n";
  }
  void addEvent(std::size_t row) {
    const ProcessEvent &it = Source.Events[row];
    int x = laneX(it.Process);
    int y = rowY(row);
    std::string detail = it.Event.Name;
    for (const auto &[key, value] : it.Event.Fields)
      detail.append("\n").append(key).append("=").append(value);
    Text += "<g class=\"event\"><title>" + escapeHtml(detail) + "</title>" +
            "<text class=\"time\"" + attribute("x", 0) +
            attribute("y", y + DotRadius) + ">" +
            formatWallTime(it.Event.Stamp.WallUs) + "</text><circle" +
            attribute("cx", x) + attribute("cy", y) +
            attribute("r", DotRadius) + "/><text" +
            attribute("x", x + 3 * DotRadius) + attribute("y", y + DotRadius) +
            ">" + escapeHtml(it.Event.Name) + "</text></g>\n";
  }

  const TimelineSource &Source;
  std::map<std::string, int> Lanes;
  std::string Text;
};

} // namespace

std::string renderTimelineHtml(const TimelineSource &source) {
  return Page(source).render();
}

} // namespace baobabpin::ctl
