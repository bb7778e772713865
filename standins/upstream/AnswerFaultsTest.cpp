#include "standins/upstream/AnswerFaults.h"

#include <doctest/doctest.h>

namespace standins::upstream {
namespace {

using namespace std::chrono_literals;
using baobabpin::base::TimePoint;

const TimePoint Start{100s};

Delivery statement(AnswerFaults &faults, std::string body) {
  return decideDelivery(faults, Start,
                        {.Body = std::move(body), .IsStatement = true});
}

TEST_CASE("faults reach as many statement answers as were asked for") {
  AnswerFaults faults;

  SUBCASE("a crossed answer is one that another request got") {
    faults.CrossCount = 1;
    CHECK(statement(faults, "first").Body == "first");
    CHECK(statement(faults, "second").Body == "first");
    CHECK(statement(faults, "third").Body == "third");
  }
  SUBCASE("late and lost answers leave control answers alone") {
    faults.LateCount = 1;
    faults.LateBy = 30ms;
    faults.DropCount = 1;
    Delivery control = decideDelivery(faults, Start, {.Body = "status"});
    CHECK(control.Delay == 0ms);
    CHECK_FALSE(control.IsDropped);
    Delivery hit = statement(faults, "a");
    CHECK(hit.Delay == 30ms);
    CHECK(hit.IsDropped);
    CHECK(statement(faults, "b").Delay == 0ms);
  }
  SUBCASE("a pause holds every answer") {
    faults.PausedUntil = Start + 500ms;
    CHECK(decideDelivery(faults, Start, {.Body = "status"}).Delay == 500ms);
  }
}

} // namespace
} // namespace standins::upstream
