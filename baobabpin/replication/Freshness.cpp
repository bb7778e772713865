#include "baobabpin/replication/Freshness.h"

#include "baobabpin/replication/Confirmation.h"
#include "baobabpin/replication/Promotion.h"

#include <algorithm>

namespace baobabpin::replication {
namespace {

/// Limit of the number of samples of a group, which also bounds the linear
/// scan in positionProvenSince().
constexpr std::size_t MaxSamples = 256;
/// A new sample replaces the last one when it is less than this younger than
/// the one before the last. Together with thinOlderHalf(), this lets the
/// samples of a busy group cover several seconds.
constexpr std::chrono::milliseconds SampleSpacing{5};

using Samples = std::deque<FreshnessSample>;

/// Returns the highest sample at or below \p position that is proven.
const FreshnessSample *provenSample(const Samples &samples,
                                    base::LogPosition position) {
  auto it = std::ranges::upper_bound(samples, position, {},
                                     &FreshnessSample::Position);
  while (it != samples.begin()) {
    --it;
    if (it->ProvenSince)
      return &*it;
  }
  return nullptr;
}

/// Returns the lowest position that is proven since \p earliest or later.
std::optional<base::LogPosition> positionProvenSince(const Samples &samples,
                                                     base::TimePoint earliest) {
  for (const auto &it : samples) {
    if (it.ProvenSince && *it.ProvenSince >= earliest)
      return it.Position;
  }
  return std::nullopt;
}

/// Returns an upper bound of the true duration of an interval that this node's
/// clock measured as \p age. A clock that is slow by the rate r shows only
/// (1 - r) of the true duration. The last summand covers the truncation by the
/// division, which the multiplication enlarges to at most ClockDriftPpm ticks.
base::Duration withDrift(const GroupState &state, base::Duration age) {
  constexpr std::int64_t Million = 1000000;
  std::int64_t ppm = state.Config.Times.ClockDriftPpm;
  auto allowance = age / (Million - ppm) * ppm;
  return age + allowance + base::Duration(ppm);
}

/// Removes every second sample of the older half.
void thinOlderHalf(Samples &samples) {
  Samples kept;
  for (std::size_t n = 0; n < samples.size(); ++n) {
    if (n % 2 == 0 || n >= samples.size() / 2)
      kept.push_back(samples[n]);
  }
  samples = std::move(kept);
}

Qualification qualifyPosition(const GroupState &state,
                              const ServerState &server,
                              base::LogPosition wanted) {
  switch (base::checkPosition(server.Report->TermStarts,
                              server.Report->Position, wanted)) {
  case base::PositionCheck::Contained:
    return Qualification::Qualifies;
  case base::PositionCheck::Superseded:
    return Qualification::PositionReplaced;
  case base::PositionCheck::NotYet:
    break;
  }
  bool close = replicationLag(state, server) < state.Config.Times.ShortLag;
  return close ? Qualification::SlightlyBehind : Qualification::Behind;
}

} // namespace

std::optional<base::Duration> provenAge(const GroupState &state,
                                        base::LogPosition position,
                                        base::TimePoint now) {
  const auto *sample = provenSample(state.Samples, position);
  if (!sample)
    return std::nullopt;
  auto age = std::max(now - *sample->ProvenSince, base::Duration::zero());
  return withDrift(state, age);
}

bool isWithinMaxAge(const GroupState &state, const ReadRequirement &wanted,
                    base::LogPosition answered, base::TimePoint now) {
  if (!wanted.MaxAge)
    return true;
  auto age = provenAge(state, answered, now);
  return age && *age <= *wanted.MaxAge;
}

ReadQualification qualifyForRead(const GroupState &state,
                                 const base::ServerId &server,
                                 const ReadRequirement &wanted,
                                 base::TimePoint now) {
  ReadQualification qualification;
  const auto *known = findServer(state, server);
  if (!known || !known->Report || internal::isSuspect(state, *known, now))
    return qualification;
  qualification.Result = Qualification::Qualifies;
  if (isLeaving(*known)) {
    qualification.Result = Qualification::Leaving;
    return qualification;
  }
  if (wanted.Session) {
    qualification.MinPosition = *wanted.Session;
    qualification.Result = qualifyPosition(state, *known, *wanted.Session);
  }
  if (!wanted.MaxAge || qualification.Result != Qualification::Qualifies)
    return qualification;
  if (!isWithinMaxAge(state, wanted, known->Report->Position, now)) {
    qualification.Result = Qualification::TooOld;
    return qualification;
  }
  auto proven = positionProvenSince(state.Samples, now - *wanted.MaxAge);
  // When the proven position is of another term, the session's position
  // remains the minimum position, because only the server's check of that
  // position detects that it was lost. The age is checked again with the
  // answer.
  bool sameTerm = !wanted.Session || wanted.Session->Index == 0 ||
                  (proven && proven->Term == wanted.Session->Term);
  if (proven && sameTerm)
    qualification.MinPosition = std::max(qualification.MinPosition, *proven);
  return qualification;
}

bool isPositionLost(const GroupState &state, base::LogPosition position) {
  for (const auto &termSource : state.Servers) {
    if (!termSource.Report)
      continue;
    auto term = termSource.Report->PromisedTerm;
    std::size_t members = 0;
    bool superseded = false;
    for (const auto &it : state.Servers) {
      if (!it.Report || it.Report->PromisedTerm != term ||
          it.Report->Position.Term != term)
        continue;
      ++members;
      auto check = base::checkPosition(it.Report->TermStarts,
                                       it.Report->Position, position);
      superseded = superseded || check == base::PositionCheck::Superseded;
    }
    if (superseded && members >= majorityOf(state.Config))
      return true;
  }
  return false;
}

base::Duration replicationLag(const GroupState &state,
                              const ServerState &server) {
  if (!server.Report)
    return base::Duration::max();
  // The first sample above the end of the server's log tells since when the
  // server has been behind.
  auto it = std::ranges::upper_bound(state.Samples, server.Report->Position, {},
                                     &FreshnessSample::Position);
  if (it == state.Samples.end())
    return base::Duration::zero();
  return std::max(server.ReportSentAt - it->SentAt, base::Duration::zero());
}

namespace internal {

void recordSample(GroupState &state, base::LogPosition position,
                  base::TimePoint sentAt) {
  auto &samples = state.Samples;
  if (!samples.empty()) {
    auto &last = samples.back();
    if (position < last.Position)
      return;
    if (position == last.Position) {
      last.SentAt = std::max(last.SentAt, sentAt);
      return;
    }
    if (sentAt < last.SentAt)
      return;
  }
  bool tooClose = samples.size() >= 2 &&
                  sentAt - samples[samples.size() - 2].SentAt < SampleSpacing;
  if (tooClose)
    samples.pop_back();
  samples.push_back({.Position = position, .SentAt = sentAt});
  if (samples.size() > MaxSamples)
    thinOlderHalf(samples);
}

void extendProofs(GroupState &state) {
  if (state.Samples.empty())
    return;
  auto term = state.Samples.back().Position.Term;
  auto confirmed = termConfirmedSince(state, term);
  if (!confirmed)
    return;
  for (std::size_t n = state.Samples.size(); n > 0; --n) {
    auto &it = state.Samples[n - 1];
    bool isFinal = it.ProvenSince && *it.ProvenSince == it.SentAt;
    if (isFinal || it.Position.Term != term)
      break;
    auto since = std::min(it.SentAt, *confirmed);
    if (!it.ProvenSince || *it.ProvenSince < since)
      it.ProvenSince = since;
  }
}

} // namespace internal

} // namespace baobabpin::replication
