#include "standins/history/HistoryRecord.h"
#include "standins/history/FaultRecord.h"

#include <doctest/doctest.h>

namespace standins::history {
namespace {

TEST_CASE("a record survives being written and read") {
  // Guards against a field that the checker reads but the driver never writes.
  HistoryRecord record{.SentUs = 5,
                       .ReceivedUs = 9,
                       .Session = "s1",
                       .Kind = "read",
                       .Statement = "get \"a\"",
                       .MaxAgeMs = 2000,
                       .WithSession = true,
                       .Outcome = "answered",
                       .Replayed = true};
  CHECK(parseRecord(formatRecord(record)) == record);
  record.MaxAgeMs.reset();
  CHECK(parseRecord(formatRecord(record)) == record);
}

TEST_CASE("a truncated line is no record") {
  std::string line = formatRecord({.Session = "s1"});
  CHECK_FALSE(parseRecord(line.substr(0, line.size() / 2)));
  CHECK_FALSE(parseRecord("{}"));
  CHECK_FALSE(parseFault("{\"event\":\"cut\"}"));
}

} // namespace
} // namespace standins::history
