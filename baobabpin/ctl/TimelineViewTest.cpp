#include "baobabpin/ctl/TimelineView.h"

#include <doctest/doctest.h>

namespace baobabpin::ctl {
namespace {

using operators::ProcessEvent;

ProcessEvent event(const char *process, std::uint64_t us, const char *name,
                   kernel::EventFields fields = {}) {
  return {process, {{us, 0}, name, std::move(fields)}};
}

TEST_CASE("a time line links the events of one message") {
  TimelineSource source{
      {event("node-1", 1'000'001, "forward_sent", {{"request_id", "r1"}}),
       event("node-1", 1'000'002, "forward_retried", {{"request_id", "r1"}}),
       event("node-2", 1'000'003, "forward_received", {{"request_id", "r1"}}),
       event("node-3", 1'000'004, "other", {{"request_id", "r2"}}),
       event("node-2", 1'000'005, "answered", {{"request_id", "r1"}})},
      {"node-9"}};

  SUBCASE("from its origin to the first event of each other process") {
    CHECK(findLinks(source.Events) == std::vector<EventLink>{{0, 2}});
  }
  SUBCASE("as text, with the nodes that are missing") {
    std::string text = renderTimelineText(source);
    CHECK(text.find("1970-01-01T00:00:01.000003Z  node-2  forward_received "
                    "request_id=r1\n") != std::string::npos);
    CHECK(text.find("no answer from node-9") != std::string::npos);
  }
  SUBCASE("as a page that loads nothing and runs nothing") {
    source.Events[0].Event.Fields.emplace_back("statement",
                                               "<script>alert(1)</script>");
    std::string page = renderTimelineHtml(source);
    CHECK(page.find("<script") == std::string::npos);
    CHECK(page.find("src=") == std::string::npos);
    CHECK(page.find("href=") == std::string::npos);
    CHECK(page.find("marker-end") != std::string::npos);
    CHECK(page.find(">node-3</text>") != std::string::npos);
  }
}

} // namespace
} // namespace baobabpin::ctl
