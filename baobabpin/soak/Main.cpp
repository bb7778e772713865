#include "baobabpin/soak/Soak.h"

#include <cxxopts.hpp>

#include <algorithm>
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
            << " of_them_by_last_resort=" << counters.LastResortPromotions
            << " handovers_done=" << counters.HandoversDone
            << " handovers_failed=" << counters.HandoversFailed
            << " own_pauses=" << counters.OwnPauses
            << " unfit=" << counters.Unfit << "\n";
  for (const auto &[name, count] : sum.Faults)
    std::cout << name << "=" << count << " ";
  std::cout << "\n";
}

/// Prints the gaps of \p runs interruptions; 1 when one of them never ended.
int printGaps(SoakOptions options, std::uint64_t runs,
              Interruption interruption) {
  std::vector<Duration> gaps;
  auto first = options.Seed;
  for (std::uint64_t n = 0; n < runs; ++n) {
    options.Seed = first + n;
    auto gap = measureGap(options, interruption);
    if (gap)
      gaps.push_back(*gap);
    else
      std::cout << "no acknowledgement seed=" << options.Seed << "\n";
  }
  std::ranges::sort(gaps);
  std::cout << "gaps=" << gaps.size() << " of=" << runs;
  if (!gaps.empty())
    std::cout << " median_s=" << seconds(gaps[gaps.size() / 2])
              << " worst_s=" << seconds(gaps.back());
  std::cout << "\n";
  return gaps.size() == runs ? 0 : 1;
}

std::optional<Interruption> parseInterruption(const std::string &name) {
  if (name == "cut")
    return Interruption::PrimaryCutOff;
  if (name == "crash")
    return Interruption::PrimaryCrashed;
  if (name == "handover")
    return Interruption::Handover;
  return std::nullopt;
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
              << std::endl;
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
      "faults", "only these kinds of fault, separated by commas",
      cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "max-fault", "longest fault in fake milliseconds",
      cxxopts::value<std::int64_t>()->default_value("2500"))(
      "fixed-timeout",
      "baseline policy: promote after this silence in fake milliseconds",
      cxxopts::value<std::int64_t>())(
      "gap",
      "measure the gap after an interruption of the primary: cut, "
      "crash, handover",
      cxxopts::value<std::string>())(
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
    if (given.count("faults") > 0)
      run.Faults = given["faults"].as<std::vector<std::string>>();
    run.MaxFault = soak::ms(given["max-fault"].as<std::int64_t>());
    if (given.count("fixed-timeout") > 0) {
      run.Policy = replication::PromotionPolicy::FixedTimeout;
      run.FixedTimeout = soak::ms(given["fixed-timeout"].as<std::int64_t>());
    }
    auto runs = given["runs"].as<std::uint64_t>();
    if (given.count("gap") > 0) {
      auto kind = soak::parseInterruption(given["gap"].as<std::string>());
      if (kind)
        return soak::printGaps(run, runs, *kind);
      std::cerr << "soak: unknown interruption\n";
      return 2;
    }
    if (given.count("trace") > 0)
      soak::printTrace(run);
    return soak::run(run, runs, given.count("keep-going") > 0);
  } catch (const cxxopts::exceptions::exception &error) {
    std::cerr << "soak: " << error.what() << "\n";
    return 2;
  }
}
