#include "baobabpin/pacing/StatementPace.h"

#include <algorithm>

namespace baobabpin::pacing {
namespace {

/// Weights of a new latency in Best: one part in this many. Best follows lower
/// latencies sooner, as when a server that was cold warms up, and higher ones
/// slowly, so that it stays near the low end of an irregular latency.
constexpr int FasterWeight = 32;
constexpr int SlowerWeight = 64;
/// The same for Usual.
constexpr int UsualWeight = 16;
/// The replies of a round for each statement that may be in flight. With one,
/// the random spread of exponentially distributed costs halves the limit about
/// once in 80 rounds.
constexpr int RepliesPerStatement = 2;
/// The server is silent when it owes a reply for this many times the due
/// latency of the slowest kind of work. An overloaded server needs twice the
/// due latency, and the latency of single statements varies by about as much.
constexpr int SilenceFactor = 4;

/// While other replies are good, a refusal shows an overload only when more
/// than this share of the replies are refusals. The queue of a server is many
/// times as long as its slots, so when it is full the statements that are
/// accepted wait for long. Halving on each refusal would use only 62 % of a
/// server that refuses one statement in six at random.
constexpr double MaxRefusedShare = 0.5;
/// Weight of a reply in the share of refusals: one part in this many.
constexpr int RefusedWeight = 16;

/// The time that a statement waits at the server until it gets a slot.
double dueWait(const StatementPace &pace, int inFlight) {
  int slots = std::max(1, pace.Slots);
  return pace.Usual * std::max(0, inFlight - slots) / slots;
}

void beginRound(StatementPace &pace) {
  pace.RoundReplies = 0;
  pace.RoundRatios.clear();
}

void halve(StatementPace &pace, base::BootTime now) {
  pace.Limit = std::max(1, pace.Limit / 2);
  pace.CountedFrom = now;
  beginRound(pace);
}

/// Compares the latency with the best one of its kind, and updates that one.
/// Returns the latency as a multiple of the due one.
double compare(StatementPace &pace, const PaceReply &reply) {
  auto took = static_cast<double>((reply.At - reply.SentAt).count());
  auto it = pace.Best.find(reply.Kind);
  if (it == pace.Best.end()) {
    int slots = std::max(1, pace.Slots);
    it =
        pace.Best
            .emplace(reply.Kind, took * slots / std::max(slots, reply.InFlight))
            .first;
  }
  double &best = it->second;
  double ratio = took / std::max(1.0, best + dueWait(pace, reply.InFlight));
  best += best * (std::min(ratio, OverloadRatio) - 1) /
          (ratio < 1 ? FasterWeight : SlowerWeight);
  pace.Usual =
      pace.Usual == 0 ? best : pace.Usual + (best - pace.Usual) / UsualWeight;
  return ratio;
}

/// The lower quartile. Waiting at the server delays all statements, whereas an
/// expensive one among cheap ones raises only the upper part.
double lowerQuartile(std::vector<double> ratios) {
  if (ratios.empty())
    return 1;
  auto at =
      ratios.begin() + static_cast<std::ptrdiff_t>((ratios.size() - 1) / 4);
  std::ranges::nth_element(ratios, at);
  return *at;
}

/// Nothing of this node waits at the server, so its work itself takes longer
/// than it did. All kinds are expected to be affected alike.
void adoptSlowerServer(StatementPace &pace, double ratio) {
  for (auto &[kind, best] : pace.Best)
    best *= ratio;
  pace.Usual *= ratio;
  pace.SlowStartEnd = pace.Ceiling;
}

} // namespace

void setCapacity(StatementPace &pace, int slots, int ceiling) {
  bool slowStart = pace.SlowStartEnd >= pace.Ceiling;
  pace.Slots = std::max(1, slots);
  pace.Ceiling = std::max(1, ceiling);
  pace.Limit = std::min(pace.Limit, pace.Ceiling);
  if (slowStart)
    pace.SlowStartEnd = pace.Ceiling;
}

void restart(StatementPace &pace, base::BootTime now) {
  pace.Limit = 1;
  pace.SlowStartEnd = pace.Ceiling;
  pace.CountedFrom = now;
  pace.Best.clear();
  pace.Usual = 0;
  pace.LastWasGood = false;
  pace.RefusedShare = 0;
  beginRound(pace);
}

void recordReply(StatementPace &pace, const PaceReply &reply) {
  pace.LastReply = std::max(pace.LastReply, reply.At);
  if (reply.SentAt < pace.CountedFrom)
    return;
  pace.RefusedShare +=
      ((reply.Refused ? 1 : 0) - pace.RefusedShare) / RefusedWeight;
  if (reply.Refused) {
    if (!pace.LastWasGood || pace.RefusedShare > MaxRefusedShare)
      halve(pace, reply.At);
    return;
  }
  double ratio = 1;
  if (!reply.Kind.empty()) {
    ratio = compare(pace, reply);
    pace.RoundRatios.push_back(ratio);
    pace.LastWasGood = ratio <= OverloadRatio;
  }
  if (++pace.RoundReplies >= RepliesPerStatement * pace.Limit) {
    double measured = lowerQuartile(pace.RoundRatios);
    beginRound(pace);
    if (measured > OverloadRatio) {
      if (pace.Limit > 1) {
        halve(pace, reply.At);
        pace.SlowStartEnd = pace.Limit;
        return;
      }
      adoptSlowerServer(pace, measured);
      ratio = 1;
    } else if (pace.Limit >= pace.SlowStartEnd) {
      pace.Limit = std::min(pace.Limit + 1, pace.Ceiling);
      return;
    }
  }
  int end = std::min(pace.SlowStartEnd, pace.Ceiling);
  if (pace.Limit < end && ratio <= OverloadRatio &&
      reply.SentAt >= pace.DoubledAt) {
    pace.Limit = std::min(2 * pace.Limit, end);
    pace.DoubledAt = reply.At;
  }
}

void recordError(StatementPace &pace, base::BootTime now) {
  pace.LastReply = std::max(pace.LastReply, now);
}

void recordSilence(StatementPace &pace, base::BootTime sentAt,
                   base::BootTime now) {
  // Without a latency the limit is at its start already.
  if (pace.Best.empty() || sentAt < pace.CountedFrom || pace.LastReply > sentAt)
    return;
  double slowest = 0;
  for (const auto &[kind, best] : pace.Best)
    slowest = std::max(slowest, best);
  double due = slowest + dueWait(pace, pace.Ceiling);
  if (static_cast<double>((now - sentAt).count()) > SilenceFactor * due)
    restart(pace, now);
}

void recordLoss(StatementPace &pace, base::BootTime sentAt,
                base::BootTime now) {
  if (sentAt >= pace.CountedFrom && pace.LastReply <= sentAt)
    restart(pace, now);
}

} // namespace baobabpin::pacing
