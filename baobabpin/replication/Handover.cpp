#include "baobabpin/replication/Handover.h"

#include "baobabpin/replication/Confirmation.h"
#include "baobabpin/replication/Promotion.h"

#include <algorithm>

namespace baobabpin::replication {
namespace {

void finish(GroupState &state, HandoverResult result, Actions &out) {
  state.Handing.Stage = HandoverStage::Idle;
  out.emplace_back(HandoverFinished{result});
}

/// Whether a replica that may lead holds everything that the primary reported
/// after the writes had drained.
bool hasCaughtUp(const GroupState &state, base::TimePoint now) {
  const auto &handing = state.Handing;
  const auto *from = findServer(state, handing.From);
  if (!from->Report || from->ReportSentAt < handing.DrainedAt)
    return false;
  auto wanted = from->Report->Position;
  return std::ranges::any_of(state.Servers, [&](const ServerKnowledge &it) {
    return it.Config.Id != handing.From && isReachable(state, it, now) &&
           !isLeaving(it) && it.Report->Position >= wanted;
  });
}

/// The promotion of a handover ended, one way or the other.
void finishPromoting(GroupState &state, Actions &out) {
  auto stage = state.Promoting.Stage;
  if (stage == PromotionStage::Preparing || stage == PromotionStage::Promoting)
    return;
  bool moved = stage == PromotionStage::Idle &&
               state.Promoting.Chosen != state.Handing.From;
  finish(state, moved ? HandoverResult::Done : HandoverResult::Failed, out);
}

} // namespace

Actions startHandover(GroupState &state, base::TimePoint now) {
  auto primary = currentPrimary(state);
  if (!primary || !state.Active || state.Handing.Stage != HandoverStage::Idle ||
      state.Promoting.Stage != PromotionStage::Idle)
    return {};
  state.Handing = Handover{.Stage = HandoverStage::Draining,
                           .StartedAt = now,
                           .From = primary->Primary};
  return requestStatusRound(state, now);
}

Actions onWritesInFlight(GroupState &state, std::size_t count,
                         base::TimePoint now, Random &rng) {
  if (state.Handing.Stage != HandoverStage::Draining || count > 0)
    return {};
  state.Handing.Stage = HandoverStage::CatchingUp;
  state.Handing.DrainedAt = now;
  return onTick(state, now, rng);
}

namespace internal {

void advanceHandover(GroupState &state, base::TimePoint now, Actions &out) {
  auto &handing = state.Handing;
  if (handing.Stage == HandoverStage::Idle)
    return;
  if (handing.Stage == HandoverStage::Promoting) {
    finishPromoting(state, out);
    return;
  }
  // A promotion for another reason takes precedence.
  if (state.Promoting.Stage != PromotionStage::Idle) {
    finish(state, HandoverResult::Failed, out);
    return;
  }
  if (now - handing.StartedAt >= state.Config.Times.HandoverCatchUp) {
    finish(state, HandoverResult::NotCaughtUp, out);
    return;
  }
  if (handing.Stage != HandoverStage::CatchingUp || !hasCaughtUp(state, now))
    return;
  handing.Stage = HandoverStage::Promoting;
  startPromotion(state, PromotionReason::Handover, handing.From, now, out);
}

} // namespace internal

} // namespace baobabpin::replication
