#include "baobabpin/soak/Soak.h"

#include <cxxopts.hpp>

#include <iostream>

namespace baobabpin::soak {
namespace {

void printTrace(SoakOptions options) {
  options.Tracing = true;
  for (const auto &it : runSoak(options).Trace)
    std::cout << it << "\n";
}

double seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

void printSummary(const SoakResult &sum, std::uint64_t runs,
                  std::uint64_t violations) {
  const auto &counters = sum.Counters;
  std::cout << "runs=" << runs << " violations=" << violations
            << " requests=" << counters.Requests
            << " acknowledged=" << sum.Acked << " reads=" << sum.Reads
            << " replica_reads=" << sum.ReplicaReads
            << " not_run=" << sum.NotRun << " unknown=" << sum.Unknown
            << " positions_lost=" << sum.PositionsLost
            << " truncated_entries=" << sum.Truncations
            << " messages=" << sum.Messages
            << " longest_recovery_s=" << seconds(sum.Recovery) << "\n";
  for (std::size_t n = 0; n < std::size(counters.Promotions); ++n) {
    auto reason = static_cast<replication::PromotionReason>(n);
    std::cout << "promotions_" << replication::promotionReasonName(reason)
              << "=" << counters.Promotions[n] << " ";
  }
  std::cout << "promotions_finished=" << counters.PromotionsFinished
            << " promotions_failed=" << counters.PromotionsFailed
            << " false_promotions=" << counters.FalsePromotions
            << " handovers_done=" << counters.HandoversDone
            << " handovers_failed=" << counters.HandoversFailed
            << " own_pauses=" << counters.OwnPauses
            << " unfit=" << counters.Unfit << "\n";
  for (const auto &[name, count] : sum.Faults)
    std::cout << name << "=" << count << " ";
  std::cout << "\n";
}

int run(SoakOptions options, std::uint64_t runs, bool keepGoing) {
  SoakResult sum;
  std::uint64_t violations = 0;
  std::uint64_t done = 0;
  auto first = options.Seed;
  for (; done < runs; ++done) {
    options.Seed = first + done;
    auto result = runSoak(options);
    addResult(sum, result);
    if (result.Violation.empty())
      continue;
    ++violations;
    std::cout << "violation seed=" << options.Seed << " " << result.Violation
              << "\n";
    if (keepGoing)
      continue;
    printTrace(options);
    ++done;
    break;
  }
  printSummary(sum, done, violations);
  return violations == 0 ? 0 : 1;
}

} // namespace
} // namespace baobabpin::soak

int main(int argc, char **argv) {
  using namespace baobabpin;
  cxxopts::Options options("soak", "Randomised runs of the decisions for one "
                                   "database group under faults");
  options.add_options()("seed", "first seed",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "steps", "fault phase of each run in fake milliseconds",
      cxxopts::value<std::int64_t>()->default_value("6000"))(
      "runs", "number of runs with consecutive seeds",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "disable",
      "safeguard to disable: fence, majority, term, record, "
      "position, age",
      cxxopts::value<std::string>()->default_value("none"))(
      "fixed-timeout", "baseline policy: promote after a fixed timeout")(
      "keep-going", "print violations without a trace and continue")(
      "trace", "print the trace of the first seed")("help", "this text");
  try {
    auto given = options.parse(argc, argv);
    if (given.count("help") > 0) {
      std::cout << options.help() << "\n";
      return 0;
    }
    auto disabled = soak::parseSafeguard(given["disable"].as<std::string>());
    if (!disabled) {
      std::cerr << "soak: unknown safeguard\n";
      return 2;
    }
    soak::SoakOptions run{.Seed = given["seed"].as<std::uint64_t>(),
                          .Steps = given["steps"].as<std::int64_t>(),
                          .Disabled = *disabled};
    if (given.count("fixed-timeout") > 0)
      run.Policy = replication::PromotionPolicy::FixedTimeout;
    if (given.count("trace") > 0)
      soak::printTrace(run);
    return soak::run(run, given["runs"].as<std::uint64_t>(),
                     given.count("keep-going") > 0);
  } catch (const cxxopts::exceptions::exception &error) {
    std::cerr << "soak: " << error.what() << "\n";
    return 2;
  }
}
