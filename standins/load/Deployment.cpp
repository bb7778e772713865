#include "standins/load/Deployment.h"

namespace standins::load {

using namespace std::chrono_literals;
using Shape = ClassMix::Shape;

namespace {

/// Counters: mostly browsing and stock counts; every fifth request changes
/// something.
Deployment bukhan() {
  return {
      .Name = "bukhan",
      .Customer = "bukhan",
      .Database = "lending-ledger",
      .Groups = {"lending-ledger-0", "lending-ledger-1", "lending-ledger-2"},
      .ClientLatency = 3ms,
      .Mix = {{"browse", Shape::AgeRead, 0.42},
              {"browse", Shape::AgeAndSession, 0.08},
              {"stock_count", Shape::AgeRead, 0.10},
              {"stock_count", Shape::SessionRead, 0.10},
              {"browse", Shape::ReadBack, 0.05},
              {"browse", Shape::ParallelReads, 0.03},
              {"checkout", Shape::Write, 0.09},
              {"return", Shape::Write, 0.06},
              {"reservation", Shape::Write, 0.05},
              {"checkout", Shape::Transaction, 0.02}}};
}

/// Registry counters: searches, corrections that are read back at once, and
/// typed pages that come in.
Deployment lankapura() {
  return {.Name = "lankapura",
          .Customer = "lankapura",
          .Database = "transcript-db",
          .Groups = {"transcript-db-0", "transcript-db-1", "transcript-db-2"},
          .ClientLatency = 1ms,
          .Mix = {{"search", Shape::AgeRead, 0.45},
                  {"search", Shape::AgeAndSession, 0.08},
                  {"search", Shape::SessionRead, 0.05},
                  {"search", Shape::ReadBack, 0.10},
                  {"search", Shape::ParallelReads, 0.02},
                  {"correction", Shape::Write, 0.12},
                  {"correction", Shape::Transaction, 0.02},
                  {"typing_return", Shape::Write, 0.16}}};
}

} // namespace

std::optional<Deployment> findDeployment(std::string_view name) {
  if (name == "bukhan")
    return bukhan();
  if (name == "lankapura")
    return lankapura();
  return std::nullopt;
}

} // namespace standins::load
