#include "baobabpin/replication/GroupState.h"

namespace baobabpin::replication {

GroupState makeGroupState(GroupConfig config, base::TimePoint now) {
  GroupState state;
  for (const auto &it : config.Servers)
    state.Servers.push_back({.Config = it});
  state.Config = std::move(config);
  state.SuspicionStart = now;
  return state;
}

void reconfigure(GroupState &state, GroupConfig config) {
  std::vector<ServerState> servers;
  for (const auto &it : config.Servers) {
    const auto *known = findServer(state, it.Id);
    servers.push_back(known ? *known : ServerState{});
    servers.back().Config = it;
  }
  state.Servers = std::move(servers);
  state.Config = std::move(config);
  // A running promotion or handover refers to the old servers, so it is
  // cancelled.
  state.CurrentPromotion.Stage = PromotionStage::Idle;
  state.CurrentHandover.Stage = HandoverStage::Idle;
}

void setPlannedStop(GroupState &state, const base::ServerId &server,
                    bool planned) {
  if (auto *known = findServer(state, server))
    known->HasPlannedStop = planned;
}

bool isLeaving(const ServerState &server) {
  return server.HasPlannedStop || (server.Report && server.Report->Leaving);
}

const ServerState *findServer(const GroupState &state,
                              const base::ServerId &id) {
  for (const auto &it : state.Servers) {
    if (it.Config.Id == id)
      return &it;
  }
  return nullptr;
}

ServerState *findServer(GroupState &state, const base::ServerId &id) {
  return const_cast<ServerState *>(
      findServer(static_cast<const GroupState &>(state), id));
}

std::string_view promotionReasonName(PromotionReason reason) {
  switch (reason) {
  case PromotionReason::NoPrimary:
    return "no_primary";
  case PromotionReason::PrimarySuspect:
    return "primary_suspect";
  case PromotionReason::StrandedPromise:
    return "stranded_promise";
  case PromotionReason::ReplicationStall:
    return "replication_stall";
  case PromotionReason::Handover:
    return "handover";
  }
  return "unknown";
}

std::string_view promotionFailureName(PromotionFailure failure) {
  switch (failure) {
  case PromotionFailure::LostRace:
    return "lost_race";
  case PromotionFailure::NoMajority:
    return "no_majority";
  case PromotionFailure::NoPromoteAnswer:
    return "no_promote_answer";
  case PromotionFailure::Refused:
    return "refused";
  }
  return "unknown";
}

std::string_view unfitReasonName(UnfitReason reason) {
  switch (reason) {
  case UnfitReason::PrimaryHeardByReplicas:
    return "primary_heard_by_replicas";
  case UnfitReason::NoMajorityReachable:
    return "no_majority_reachable";
  }
  return "unknown";
}

} // namespace baobabpin::replication
