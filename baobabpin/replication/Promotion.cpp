#include "baobabpin/replication/Promotion.h"

#include <algorithm>

namespace baobabpin::replication::internal {
namespace {

/// Whether the server that sent \p report received a message from this primary
/// less than Timing::ReplicaSilence before.
bool hasPrimaryContact(const GroupState &state, const ServerReport &report,
                       const PrimaryInTerm &primary) {
  if (report.Term != primary.Term || report.Primary != primary.Primary)
    return false;
  return report.PrimaryContact &&
         *report.PrimaryContact < state.Config.Times.ReplicaSilence;
}

bool anyReplicaHasContact(const GroupState &state, const PrimaryInTerm &primary,
                          base::TimePoint now) {
  return std::ranges::any_of(state.Servers, [&](const ServerState &it) {
    return it.Config.Id != primary.Primary && isReachable(state, it, now) &&
           hasPrimaryContact(state, *it.Report, primary);
  });
}

/// Updates the time \p since when a condition has held without interruption and
/// returns for how long it has held.
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

/// Returns whether a majority is reachable. Declares this node unfit when, for
/// Timing::NoMajorityFor, no majority was reachable and those servers that had
/// not been silent for Timing::SuspectAfter were no majority either.
bool checkMajority(GroupState &state, base::TimePoint now, Actions &out) {
  const auto &times = state.Config.Times;
  bool reachable = reachableCount(state, now) >= majorityOf(state.Config);
  // Servers of an idle group get few requests, so their newest reports may be
  // too old for isReachable(). Only unanswered requests count as silence here.
  auto silent =
      std::ranges::count_if(state.Servers, [&](const ServerState &it) {
        return silenceOf(state, it, now) >= times.SuspectAfter;
      });
  auto answering = state.Servers.size() - static_cast<std::size_t>(silent);
  bool cutOff = !reachable && answering < majorityOf(state.Config);
  if (heldFor(state.NoMajoritySince, cutOff, now) >= times.NoMajorityFor)
    declareUnfit(state, UnfitReason::NoMajorityReachable, now, out);
  return reachable;
}

/// Whether a reachable server has held a promise above the primary's term for
/// Timing::StrandedPromise.
bool hasStrandedPromise(GroupState &state, const PrimaryInTerm &primary,
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

/// Whether the primary answers but for Timing::ReplicationStall no replica has
/// been in contact with it.
bool isStalled(GroupState &state, const PrimaryInTerm &primary,
               base::TimePoint now) {
  const auto *server = findServer(state, primary.Primary);
  // The other servers must be a majority by themselves, because the primary is
  // to be replaced.
  bool stalls = isReachable(state, *server, now) &&
                reachableCount(state, now) > majorityOf(state.Config) &&
                !anyReplicaHasContact(state, primary, now);
  auto held = heldFor(state.StallSince, stalls, now);
  return held >= state.Config.Times.ReplicationStall;
}

void reportSuspicion(GroupState &state, const ServerState &primary,
                     bool suspect, base::TimePoint now, Actions &out) {
  if (suspect && !state.WasPrimarySuspect) {
    out.emplace_back(
        PrimarySuspected{primary.Config.Id, silenceOf(state, primary, now)});
  }
  state.WasPrimarySuspect = suspect;
}

void handleSuspect(GroupState &state, const PrimaryInTerm &primary,
                   base::TimePoint now, Actions &out) {
  bool inContact = anyReplicaHasContact(state, primary, now);
  if (!inContact || state.LastResort) {
    startPromotion(state, PromotionReason::PrimarySuspect, {}, now, out);
    return;
  }
  auto silence = silenceOf(state, *findServer(state, primary.Primary), now);
  if (silence >= state.Config.Times.UnfitAfter)
    declareUnfit(state, UnfitReason::PrimaryHeardByReplicas, now, out);
}

void detectByFixedTimeout(GroupState &state, const PrimaryInTerm &primary,
                          base::TimePoint now, Actions &out) {
  const auto &server = *findServer(state, primary.Primary);
  auto lastAnswerAt = server.AnsweredAt.value_or(base::TimePoint{});
  if (now - lastAnswerAt >= state.Config.FixedTimeout)
    startPromotion(state, PromotionReason::PrimarySuspect, {}, now, out);
}

/// Whether the server may still answer the prepare request.
bool isExpected(const GroupState &state, const ServerState &server,
                base::TimePoint now) {
  const auto &promotion = state.CurrentPromotion;
  return isReachable(state, server, now) &&
         !promotion.Grants.contains(server.Config.Id) &&
         !promotion.UnansweredPrepares.contains(server.Config.Id);
}

/// Whether no reachable server may still answer its prepare request.
bool noGrantOutstanding(const GroupState &state, base::TimePoint now) {
  return std::ranges::none_of(state.Servers, [&](const ServerState &it) {
    return isExpected(state, it, now);
  });
}

void sendPromote(GroupState &state, base::TimePoint now, Actions &out) {
  auto &promotion = state.CurrentPromotion;
  promotion.Chosen = chooseServerToPromote(state);
  promotion.Stage = PromotionStage::Promoting;
  promotion.StageAt = now;
  out.emplace_back(SendPromote{promotion.Chosen, promotion.Term,
                               state.Config.Self,
                               state.Config.Times.PromoteTimeout});
}

/// Returns the server with the highest position among the grants, except
/// \p avoid. Among equal positions it prefers a server that is not leaving,
/// then the first in the configured order.
base::ServerId bestGrant(const GroupState &state, const base::ServerId &avoid) {
  base::ServerId best;
  base::LogPosition highest;
  bool bestStays = false;
  for (const auto &it : state.Servers) {
    auto grant = state.CurrentPromotion.Grants.find(it.Config.Id);
    if (grant == state.CurrentPromotion.Grants.end() || it.Config.Id == avoid)
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

base::Duration silenceOf(const GroupState &state, const ServerState &server,
                         base::TimePoint now) {
  if (!server.UnansweredSince)
    return base::Duration::zero();
  auto since = std::max(*server.UnansweredSince, state.SuspicionStart);
  return std::max(now - since, base::Duration::zero());
}

bool isSuspect(const GroupState &state, const ServerState &server,
               base::TimePoint now) {
  const auto &times = state.Config.Times;
  return silenceOf(state, server, now) >= times.SuspectAfter ||
         server.ConsecutiveRefusals >= times.RefusalsToSuspect;
}

void detectFailure(GroupState &state, base::TimePoint now, Actions &out) {
  bool idle = state.CurrentPromotion.Stage == PromotionStage::Idle;
  bool reachable = checkMajority(state, now, out);
  auto primary = currentPrimary(state);
  if (!idle || !reachable || !state.Active)
    return;
  auto timeWithoutPrimary = heldFor(state.NoPrimarySince, !primary, now);
  if (!primary) {
    if (timeWithoutPrimary >= state.Config.Times.NoPrimaryFor)
      startPromotion(state, PromotionReason::NoPrimary, {}, now, out);
    return;
  }
  if (state.Config.Policy == PromotionPolicy::FixedTimeout) {
    detectByFixedTimeout(state, *primary, now, out);
    return;
  }
  const auto &server = *findServer(state, primary->Primary);
  bool suspect = isSuspect(state, server, now);
  reportSuspicion(state, server, suspect, now, out);
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
  // Each attempt uses a new term. A second promote request with the same term
  // could reach another server, and the term would then have two primaries.
  auto &promotion = state.CurrentPromotion;
  promotion = Promotion{.Stage = PromotionStage::Preparing,
                        .Reason = reason,
                        .Term = ++state.HighestTerm,
                        .StageAt = now,
                        .AvoidedServer = std::move(avoid)};
  state.StallSince.reset();
  for (auto &it : state.Servers)
    it.StrandedSince.reset();
  out.emplace_back(PromotionStarted{promotion.Term, reason});
  for (const auto &it : state.Servers) {
    out.emplace_back(SendPrepare{it.Config.Id, promotion.Term,
                                 state.Config.Self,
                                 state.Config.Times.PrepareTimeout});
  }
}

void advancePromotion(GroupState &state, base::TimePoint now, Random &rng,
                      Actions &out) {
  const auto &times = state.Config.Times;
  auto &promotion = state.CurrentPromotion;
  auto inStage = now - promotion.StageAt;
  switch (promotion.Stage) {
  case PromotionStage::Idle:
    return;
  case PromotionStage::Backoff:
    if (now >= promotion.RetryAt)
      promotion.Stage = PromotionStage::Idle;
    return;
  case PromotionStage::Preparing:
    if (inStage >= times.PrepareTimeout) {
      failPromotion(state, PromotionFailure::NoMajority, now, rng, out);
      return;
    }
    if (promotion.Grants.size() >= majorityOf(state.Config) &&
        (inStage >= times.PrepareWait || noGrantOutstanding(state, now)))
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
  auto &promotion = state.CurrentPromotion;
  std::uniform_int_distribution<base::Duration::rep> spread(
      times.BackoffMin.count(), times.BackoffMax.count());
  promotion.Stage = PromotionStage::Backoff;
  promotion.RetryAt = now + base::Duration(spread(rng));
  out.emplace_back(PromotionFailed{promotion.Term, failure, promotion.RetryAt});
}

base::ServerId chooseServerToPromote(const GroupState &state) {
  const auto &promotion = state.CurrentPromotion;
  auto best = bestGrant(state, {});
  if (promotion.AvoidedServer.empty() ||
      !promotion.Grants.contains(promotion.AvoidedServer))
    return best;
  auto other = bestGrant(state, promotion.AvoidedServer);
  if (other.empty())
    return best;
  // The other servers hold every acknowledged write when they are a majority,
  // or when the log of one of them reaches as far as that of the avoided
  // server.
  bool majority = promotion.Grants.size() - 1 >= majorityOf(state.Config);
  bool equal = promotion.Grants.at(other) >=
               promotion.Grants.at(promotion.AvoidedServer);
  return majority || equal ? other : best;
}

} // namespace baobabpin::replication::internal
