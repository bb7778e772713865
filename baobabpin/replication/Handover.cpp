#include "baobabpin/replication/Handover.h"

#include "baobabpin/replication/Confirmation.h"
#include "baobabpin/replication/Promotion.h"

#include <algorithm>

namespace baobabpin::replication {
namespace {

void finish(GroupState &state, HandoverResult result, Actions &out) {
  state.CurrentHandover.Stage = HandoverStage::Idle;
  out.emplace_back(HandoverFinished{result});
}

/// Whether a replica that may be promoted has reached the position that the
/// primary reported after the last write had ended.
bool hasCaughtUp(const GroupState &state, base::TimePoint now) {
  const auto &handover = state.CurrentHandover;
  const auto *from = findServer(state, handover.From);
  if (!from->Report || from->ReportSentAt < handover.DrainedAt)
    return false;
  auto wanted = from->Report->Position;
  return std::ranges::any_of(state.Servers, [&](const ServerState &it) {
    return it.Config.Id != handover.From && isReachable(state, it, now) &&
           !isLeaving(it) && it.Report->Position >= wanted;
  });
}

/// Ends the handover when its promotion has ended.
void finishIfPromotionEnded(GroupState &state, Actions &out) {
  auto stage = state.CurrentPromotion.Stage;
  if (stage == PromotionStage::Preparing || stage == PromotionStage::Promoting)
    return;
  bool moved = stage == PromotionStage::Idle &&
               state.CurrentPromotion.Chosen != state.CurrentHandover.From;
  finish(state, moved ? HandoverResult::Done : HandoverResult::Failed, out);
}

} // namespace

Actions startHandover(GroupState &state, base::TimePoint now) {
  auto primary = currentPrimary(state);
  if (!primary || !state.Active ||
      state.CurrentHandover.Stage != HandoverStage::Idle ||
      state.CurrentPromotion.Stage != PromotionStage::Idle)
    return {};
  state.CurrentHandover = Handover{.Stage = HandoverStage::AwaitingWrites,
                                   .StartedAt = now,
                                   .From = primary->Primary};
  return requestStatusRound(state, now);
}

Actions onWritesInFlight(GroupState &state, std::size_t count,
                         base::TimePoint now, Random &rng) {
  if (state.CurrentHandover.Stage != HandoverStage::AwaitingWrites || count > 0)
    return {};
  state.CurrentHandover.Stage = HandoverStage::CatchingUp;
  state.CurrentHandover.DrainedAt = now;
  return onTick(state, now, rng);
}

namespace internal {

void advanceHandover(GroupState &state, base::TimePoint now, Actions &out) {
  auto &handover = state.CurrentHandover;
  if (handover.Stage == HandoverStage::Idle)
    return;
  if (handover.Stage == HandoverStage::Promoting) {
    finishIfPromotionEnded(state, out);
    return;
  }
  // A promotion for another reason takes precedence over the handover.
  if (state.CurrentPromotion.Stage != PromotionStage::Idle) {
    finish(state, HandoverResult::Failed, out);
    return;
  }
  if (now - handover.StartedAt >= state.Config.Times.HandoverCatchUp) {
    finish(state, HandoverResult::NotCaughtUp, out);
    return;
  }
  if (handover.Stage != HandoverStage::CatchingUp || !hasCaughtUp(state, now))
    return;
  handover.Stage = HandoverStage::Promoting;
  startPromotion(state, PromotionReason::Handover, handover.From, now, out);
}

} // namespace internal

} // namespace baobabpin::replication
