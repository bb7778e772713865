#include "baobabpin/replication/Confirmation.h"

#include "baobabpin/replication/Promotion.h"

#include <algorithm>
#include <functional>

namespace baobabpin::replication {
namespace {

/// Whether the server has promised \p term and its last log entry has that
/// term.
bool isInTerm(const ServerState &server, base::TermNumber term) {
  return server.Report && server.Report->PromisedTerm == term &&
         server.Report->Position.Term == term;
}

} // namespace

std::optional<PrimaryInTerm> currentPrimary(const GroupState &state) {
  std::optional<PrimaryInTerm> best;
  auto consider = [&](const base::ServerId &primary, base::TermNumber term) {
    if (term > 0 && !primary.empty() && (!best || term > best->Term))
      best = PrimaryInTerm{primary, term};
  };
  for (const auto &it : state.Servers) {
    if (!it.Report)
      continue;
    if (it.Report->Role == ServerRole::Replica)
      consider(it.Report->Primary, it.Report->Term);
    else if (it.Report->Term == it.Report->PromisedTerm)
      consider(it.Config.Id, it.Report->Term);
  }
  if (!best)
    return std::nullopt;
  // A server that has promised a later term is no longer the primary.
  const auto *server = findServer(state, best->Primary);
  if (!server || (server->Report && server->Report->PromisedTerm > best->Term))
    return std::nullopt;
  return best;
}

std::optional<base::TimePoint> termConfirmedSince(const GroupState &state,
                                                  base::TermNumber term) {
  std::vector<base::TimePoint> times;
  for (const auto &it : state.Servers) {
    if (it.Report && it.Report->PromisedTerm == term)
      times.push_back(it.PromiseSentAt);
  }
  auto majority = majorityOf(state.Config);
  if (times.size() < majority)
    return std::nullopt;
  std::ranges::sort(times, std::greater<>());
  return times[majority - 1];
}

bool isTermConfirmedSince(const GroupState &state, base::TermNumber term,
                          base::TimePoint since) {
  auto confirmed = termConfirmedSince(state, term);
  return confirmed && *confirmed >= since;
}

std::optional<WriteBlockReason> writeBlockReason(const GroupState &state,
                                                 base::TimePoint now) {
  auto stage = state.CurrentPromotion.Stage;
  if (state.CurrentHandover.Stage != HandoverStage::Idle)
    return WriteBlockReason::HandoverRunning;
  if (stage == PromotionStage::Preparing || stage == PromotionStage::Promoting)
    return WriteBlockReason::PromotionRunning;
  auto primary = currentPrimary(state);
  if (!primary)
    return WriteBlockReason::NoPrimary;
  if (internal::isSuspect(state, *findServer(state, primary->Primary), now))
    return WriteBlockReason::PrimarySuspect;
  auto since = now - state.Config.Times.TermConfirmation;
  if (!isTermConfirmedSince(state, primary->Term, since))
    return WriteBlockReason::TermNotConfirmed;
  return std::nullopt;
}

std::optional<base::TermNumber> confirmingTerm(const GroupState &state,
                                               base::LogPosition position) {
  for (const auto &termSource : state.Servers) {
    if (!termSource.Report)
      continue;
    auto term = termSource.Report->PromisedTerm;
    std::size_t holders = 0;
    for (const auto &it : state.Servers) {
      if (!isInTerm(it, term))
        continue;
      auto check = base::checkPosition(it.Report->TermStarts,
                                       it.Report->Position, position);
      if (check == base::PositionCheck::Contained)
        ++holders;
    }
    if (holders >= majorityOf(state.Config))
      return term;
  }
  return std::nullopt;
}

bool isConfirmed(const GroupState &state, base::LogPosition position) {
  return confirmingTerm(state, position).has_value();
}

bool isReachable(const GroupState &state, const ServerState &server,
                 base::TimePoint now) {
  return server.Report &&
         now - server.ReportSentAt <= state.Config.Times.ReachableWithin;
}

std::size_t reachableCount(const GroupState &state, base::TimePoint now) {
  return static_cast<std::size_t>(
      std::ranges::count_if(state.Servers, [&](const ServerState &it) {
        return isReachable(state, it, now);
      }));
}

double slowStartWeight(const GroupState &state, const base::ServerId &server,
                       base::TimePoint now) {
  const auto &times = state.Config.Times;
  const auto *known = findServer(state, server);
  if (!known || !known->ReturnedAt)
    return 1;
  std::chrono::duration<double> passed = now - *known->ReturnedAt;
  std::chrono::duration<double> whole = times.SlowStart;
  double part = std::clamp(passed / whole, 0.0, 1.0);
  return times.SlowStartWeight + (1 - times.SlowStartWeight) * part;
}

std::string_view writeBlockReasonName(WriteBlockReason block) {
  switch (block) {
  case WriteBlockReason::NoPrimary:
    return "no_primary";
  case WriteBlockReason::TermNotConfirmed:
    return "term_not_confirmed";
  case WriteBlockReason::PrimarySuspect:
    return "primary_suspect";
  case WriteBlockReason::PromotionRunning:
    return "promotion_running";
  case WriteBlockReason::HandoverRunning:
    return "handover_running";
  }
  return "unknown";
}

} // namespace baobabpin::replication
