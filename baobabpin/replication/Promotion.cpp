#include "baobabpin/replication/Promotion.h"

#include <algorithm>

namespace baobabpin::replication::internal {
namespace {

/// Whether the server is in touch with this primary, or was a moment ago.
bool hearsPrimary(const GroupState &state, const ServerReport &report,
                  const Leadership &primary) {
  if (report.Term != primary.Term || report.Primary != primary.Primary)
    return false;
  return report.PrimaryContact &&
         *report.PrimaryContact < state.Config.Times.ReplicaSilence;
}

bool anyReplicaHears(const GroupState &state, const Leadership &primary,
                     base::TimePoint now) {
  return std::ranges::any_of(state.Servers, [&](const ServerKnowledge &it) {
    return it.Config.Id != primary.Primary && isReachable(state, it, now) &&
           hearsPrimary(state, *it.Report, primary);
  });
}

/// Starts, keeps or clears the time since when a condition holds. Returns for
/// how long it has held.
base::Duration heldFor(std::optional<base::TimePoint> &since, bool holds,
                       base::TimePoint now) {
  if (!holds) {
    since.reset();
    return base::Duration::zero();
  }
  if (!since)
    since = now;
  return now - *since;
}

void declareUnfit(GroupState &state, UnfitReason reason, base::TimePoint now,
                  Actions &out) {
  if (state.UnfitUntil && now < *state.UnfitUntil)
    return;
  state.UnfitUntil = now + state.Config.Times.UnfitFor;
  out.emplace_back(DeclareUnfit{reason, *state.UnfitUntil});
}

/// Whether a majority answers now; unfit when it has not for a while.
bool checkMajority(GroupState &state, base::TimePoint now, Actions &out) {
  const auto &times = state.Config.Times;
  bool reachable = reachableCount(state, now) >= majorityOf(state.Config);
  // An idle group is asked seldom; only unanswered requests count.
  auto silent =
      std::ranges::count_if(state.Servers, [&](const ServerKnowledge &it) {
        return silenceOf(state, it, now) >= times.SuspectAfter;
      });
  auto answering = state.Servers.size() - static_cast<std::size_t>(silent);
  bool cutOff = !reachable && answering < majorityOf(state.Config);
  if (heldFor(state.NoMajoritySince, cutOff, now) >= times.NoMajorityFor)
    declareUnfit(state, UnfitReason::NoMajorityReachable, now, out);
  return reachable;
}

bool hasStrandedPromise(GroupState &state, const Leadership &primary,
                        base::TimePoint now) {
  bool stranded = false;
  for (auto &it : state.Servers) {
    bool above = it.Report && it.Report->PromisedTerm > primary.Term;
    auto held = heldFor(it.StrandedSince, above, now);
    stranded = stranded || (above && isReachable(state, it, now) &&
                            held >= state.Config.Times.StrandedPromise);
  }
  return stranded;
}

/// Whether the primary answers and for a while no replica has heard it.
bool isStalled(GroupState &state, const Leadership &primary,
               base::TimePoint now) {
  const auto *server = findServer(state, primary.Primary);
  // The majority must be there without the primary.
  bool stalls = isReachable(state, *server, now) &&
                reachableCount(state, now) > majorityOf(state.Config) &&
                !anyReplicaHears(state, primary, now);
  auto held = heldFor(state.StallSince, stalls, now);
  return held >= state.Config.Times.ReplicationStall;
}

void noteSuspicion(GroupState &state, const ServerKnowledge &primary,
                   bool suspect, base::TimePoint now, Actions &out) {
  if (suspect && !state.Suspecting) {
    out.emplace_back(
        PrimarySuspected{primary.Config.Id, silenceOf(state, primary, now)});
  }
  state.Suspecting = suspect;
}

void handleSuspect(GroupState &state, const Leadership &primary,
                   base::TimePoint now, Actions &out) {
  bool heard = anyReplicaHears(state, primary, now);
  if (!heard || state.LastResort) {
    startPromotion(state, PromotionReason::PrimarySuspect, {}, now, out);
    return;
  }
  auto silence = silenceOf(state, *findServer(state, primary.Primary), now);
  if (silence >= state.Config.Times.UnfitAfter)
    declareUnfit(state, UnfitReason::PrimaryHeardByReplicas, now, out);
}

void detectByFixedTimeout(GroupState &state, const Leadership &primary,
                          base::TimePoint now, Actions &out) {
  const auto &server = *findServer(state, primary.Primary);
  auto heard = server.AnsweredAt.value_or(base::TimePoint{});
  if (now - heard >= state.Config.FixedTimeout)
    startPromotion(state, PromotionReason::PrimarySuspect, {}, now, out);
}

bool isExpected(const GroupState &state, const ServerKnowledge &server,
                base::TimePoint now) {
  const auto &run = state.Promoting;
  return isReachable(state, server, now) &&
         !run.Grants.contains(server.Config.Id) &&
         !run.Silent.contains(server.Config.Id);
}

bool hasAllGrants(const GroupState &state, base::TimePoint now) {
  return std::ranges::none_of(state.Servers, [&](const ServerKnowledge &it) {
    return isExpected(state, it, now);
  });
}

void sendPromote(GroupState &state, base::TimePoint now, Actions &out) {
  auto &run = state.Promoting;
  run.Chosen = chooseCandidate(state);
  run.Stage = PromotionStage::Promoting;
  run.StageAt = now;
  out.emplace_back(SendPromote{run.Chosen, run.Term, state.Config.Self,
                               state.Config.Times.PromoteTimeout});
}

/// The highest position among the grants; among equals a server that stays,
/// then the first in configured order. Skips \p avoid.
base::ServerId bestGrant(const GroupState &state, const base::ServerId &avoid) {
  base::ServerId best;
  base::LogPosition highest;
  bool bestStays = false;
  for (const auto &it : state.Servers) {
    auto grant = state.Promoting.Grants.find(it.Config.Id);
    if (grant == state.Promoting.Grants.end() || it.Config.Id == avoid)
      continue;
    bool stays = !isLeaving(it);
    if (best.empty() || grant->second > highest ||
        (grant->second == highest && stays && !bestStays)) {
      best = it.Config.Id;
      highest = grant->second;
      bestStays = stays;
    }
  }
  return best;
}

} // namespace

base::Duration silenceOf(const GroupState &state, const ServerKnowledge &server,
                         base::TimePoint now) {
  if (!server.UnansweredSince)
    return base::Duration::zero();
  auto since = std::max(*server.UnansweredSince, state.SuspicionStart);
  return std::max(now - since, base::Duration::zero());
}

bool isSuspect(const GroupState &state, const ServerKnowledge &server,
               base::TimePoint now) {
  const auto &times = state.Config.Times;
  return silenceOf(state, server, now) >= times.SuspectAfter ||
         server.ConsecutiveRefusals >= times.RefusalsToSuspect;
}

void detectFailure(GroupState &state, base::TimePoint now, Actions &out) {
  bool idle = state.Promoting.Stage == PromotionStage::Idle;
  bool reachable = checkMajority(state, now, out);
  auto primary = currentPrimary(state);
  if (!idle || !reachable || !state.Active)
    return;
  auto headless = heldFor(state.NoPrimarySince, !primary, now);
  if (!primary) {
    if (headless >= state.Config.Times.NoPrimaryFor)
      startPromotion(state, PromotionReason::NoPrimary, {}, now, out);
    return;
  }
  if (state.Config.Policy == PromotionPolicy::FixedTimeout) {
    detectByFixedTimeout(state, *primary, now, out);
    return;
  }
  const auto &server = *findServer(state, primary->Primary);
  bool suspect = isSuspect(state, server, now);
  noteSuspicion(state, server, suspect, now, out);
  bool stalled = isStalled(state, *primary, now);
  bool stranded = hasStrandedPromise(state, *primary, now);
  if (suspect)
    handleSuspect(state, *primary, now, out);
  else if (stalled)
    startPromotion(state, PromotionReason::ReplicationStall, primary->Primary,
                   now, out);
  else if (stranded)
    startPromotion(state, PromotionReason::StrandedPromise, {}, now, out);
}

void startPromotion(GroupState &state, PromotionReason reason,
                    base::ServerId avoid, base::TimePoint now, Actions &out) {
  // Each attempt takes a new term. A second promote under a used term could
  // reach another server and make two primaries of one term.
  auto &run = state.Promoting;
  run = Promotion{.Stage = PromotionStage::Preparing,
                  .Reason = reason,
                  .Term = ++state.HighestTerm,
                  .StageAt = now,
                  .Avoid = std::move(avoid)};
  state.StallSince.reset();
  for (auto &it : state.Servers)
    it.StrandedSince.reset();
  out.emplace_back(PromotionStarted{run.Term, reason});
  for (const auto &it : state.Servers) {
    out.emplace_back(SendPrepare{it.Config.Id, run.Term, state.Config.Self,
                                 state.Config.Times.PrepareTimeout});
  }
}

void advancePromotion(GroupState &state, base::TimePoint now, Random &rng,
                      Actions &out) {
  const auto &times = state.Config.Times;
  auto &run = state.Promoting;
  auto inStage = now - run.StageAt;
  switch (run.Stage) {
  case PromotionStage::Idle:
    return;
  case PromotionStage::Backoff:
    if (now >= run.RetryAt)
      run.Stage = PromotionStage::Idle;
    return;
  case PromotionStage::Preparing:
    if (inStage >= times.PrepareTimeout) {
      failPromotion(state, PromotionFailure::NoMajority, now, rng, out);
      return;
    }
    if (run.Grants.size() >= majorityOf(state.Config) &&
        (inStage >= times.PrepareWait || hasAllGrants(state, now)))
      sendPromote(state, now, out);
    return;
  case PromotionStage::Promoting:
    if (inStage >= times.PromoteTimeout)
      failPromotion(state, PromotionFailure::NoPromoteAnswer, now, rng, out);
    return;
  }
}

void failPromotion(GroupState &state, PromotionFailure failure,
                   base::TimePoint now, Random &rng, Actions &out) {
  const auto &times = state.Config.Times;
  auto &run = state.Promoting;
  std::uniform_int_distribution<base::Duration::rep> spread(
      times.BackoffMin.count(), times.BackoffMax.count());
  run.Stage = PromotionStage::Backoff;
  run.RetryAt = now + base::Duration(spread(rng));
  out.emplace_back(PromotionFailed{run.Term, failure, run.RetryAt});
}

base::ServerId chooseCandidate(const GroupState &state) {
  const auto &run = state.Promoting;
  auto best = bestGrant(state, {});
  if (run.Avoid.empty() || !run.Grants.contains(run.Avoid))
    return best;
  auto other = bestGrant(state, run.Avoid);
  if (other.empty())
    return best;
  // The others alone hold every acknowledged write when they are a majority, or
  // when one of them is as far as the avoided server.
  bool majority = run.Grants.size() - 1 >= majorityOf(state.Config);
  bool equal = run.Grants.at(other) >= run.Grants.at(run.Avoid);
  return majority || equal ? other : best;
}

} // namespace baobabpin::replication::internal
