#include "baobabpin/operators/ResourceWatch.h"
#include "baobabpin/operators/FakeBackend.h"
#include "baobabpin/operators/Timeline.h"

#include <doctest/doctest.h>

namespace baobabpin::operators {
namespace {

using namespace std::chrono_literals;
using resources::PlannedStop;
using resources::ResourceId;
using resources::ResourceKind;
using resources::StopTarget;

struct Story {
  void write(const std::string &name) {
    Backend.write(
        {ResourceKind::PlannedStop, name},
        resources::StoredValue{"m", PlannedStop{StopTarget::Node, "n", 5s}});
  }
  void watch(const std::string &name) {
    Watch = std::make_shared<ResourceWatch>(
        Backend, WatchFilter{ResourceKind::PlannedStop, name},
        [this](const WatchUpdate &update) { note(update); });
    Watch->start();
  }
  void note(const WatchUpdate &update) {
    if (!Seen.empty())
      Seen += " ";
    if (update.Synced) {
      Seen += "synced";
      return;
    }
    Seen += update.Id.Name + std::to_string(update.Version);
    if (update.Deleted)
      Seen += "-deleted";
    else if (update.Status.InForce)
      Seen += "-force";
    else if (update.Status.ConfirmedNodes > 0)
      Seen += "-pending";
  }

  FakeBackend Backend;
  std::string Seen;
  std::shared_ptr<ResourceWatch> Watch;
};

TEST_CASE("a watch reports the present state first, then changes in order") {
  Story story;
  story.write("a");
  story.write("b");
  story.Backend.confirmAll();

  SUBCASE("of one resource") {
    story.watch("a");
    story.write("b");
    story.write("a");
    story.write("a");
    story.Backend.confirmAll();
    story.Backend.write({ResourceKind::PlannedStop, "a"}, std::nullopt);
    CHECK(story.Seen == "a1-force synced a4 a4-pending a5 a5-pending a5-force "
                        "a5-deleted");
  }
  SUBCASE("of all resources") {
    story.watch("");
    story.write("c");
    CHECK(story.Seen == "a1-force b2-force synced c3 c3-pending");
  }
  SUBCASE("of a resource that does not exist yet") {
    story.watch("z");
    story.write("z");
    CHECK(story.Seen == "synced z3 z3-pending");
  }
  SUBCASE("a status that did not change is not repeated") {
    story.watch("a");
    story.Backend.confirmAll();
    story.Backend.confirmAll();
    CHECK(story.Seen == "a1-force synced");
  }
  SUBCASE("a watch that ended hears nothing") {
    story.watch("a");
    story.Watch.reset();
    CHECK(story.Backend.Observers->empty());
  }
}

TEST_CASE("time lines of several processes become one") {
  auto event = [](const char *process, std::uint64_t us, std::uint32_t n) {
    return ProcessEvent{process, {{us, n}, "e", {}}};
  };
  auto merged = mergeTimelines(
      {event("b", 2, 1), event("a", 2, 0), event("b", 1, 0), event("a", 2, 0)},
      10);
  // A node's events arrive twice when two peers relay them.
  REQUIRE(merged.size() == 3);
  CHECK(merged[0].Process == "b");
  CHECK(merged[1].Event.Stamp == kernel::EventStamp{2, 0});
  CHECK(merged[2].Event.Stamp == kernel::EventStamp{2, 1});
  CHECK(mergeTimelines(merged, 2).size() == 2);
}

} // namespace
} // namespace baobabpin::operators
