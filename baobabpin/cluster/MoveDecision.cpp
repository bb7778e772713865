#include "baobabpin/cluster/MoveDecision.h"

#include <algorithm>
#include <tuple>

namespace baobabpin::cluster {

bool isSuspect(const PrimaryObservation &own) {
  if (own.Leaving)
    return true;
  if (!own.PrimaryReplyAge)
    return own.Unreachable;
  if (own.Unreachable && *own.PrimaryReplyAge > SuspectUnreachableAfter)
    return true;
  return *own.PrimaryReplyAge > SuspectAfter;
}

std::string_view moveVerdictName(MoveVerdict verdict) {
  switch (verdict) {
  case MoveVerdict::Stay:
    return "stay";
  case MoveVerdict::LeaveIt:
    return "leave_to_another";
  case MoveVerdict::MoveNow:
    return "move";
  case MoveVerdict::NotSure:
    break;
  }
  return "not_sure";
}

namespace {

/// The primary is vouched for by at least half of the nodes in touch.
bool isVouchedFor(const MoveQuestion &question) {
  std::size_t heard = isSuspect(question.Own) ? 0 : 1;
  for (const auto &it : question.Peers) {
    if (it.PrimaryReplyAge && *it.PrimaryReplyAge < VouchWithin)
      ++heard;
  }
  return 2 * heard >= question.Peers.size() + 1;
}

/// The holder of the duty keeps it while it can act, so that the duty does not
/// change hands without need; otherwise the first node by name takes it.
std::string chooseMover(const MoveQuestion &question) {
  std::vector<std::string> able;
  if (question.SelfStoreReachable)
    able.push_back(question.Self);
  for (const auto &it : question.Peers) {
    if (it.StoreReachable)
      able.push_back(it.Node);
  }
  if (able.empty())
    return {};
  if (std::ranges::find(able, question.DutyHolder) != able.end())
    return question.DutyHolder;
  return *std::ranges::min_element(able);
}

} // namespace

MoveVerdict decideMove(const MoveQuestion &question) {
  bool busy = std::ranges::any_of(question.Peers, [](const PeerEvidence &it) {
    return it.FailoverInProgress;
  });
  if (busy)
    return MoveVerdict::Stay;
  bool needed = question.Own.Leaving || question.TakeOver;
  if (!needed && isVouchedFor(question))
    return MoveVerdict::Stay;
  bool lonely = 2 * question.Peers.size() < question.PeersAsked;
  bool waited =
      question.Own.PrimaryReplyAge.value_or(LonelyAfter) >= LonelyAfter;
  if (lonely && !needed && !waited)
    return MoveVerdict::NotSure;
  std::string mover = chooseMover(question);
  if (mover.empty())
    return MoveVerdict::NotSure;
  return mover == question.Self ? MoveVerdict::MoveNow : MoveVerdict::LeaveIt;
}

std::optional<Candidate> choosePrimary(const std::vector<Candidate> &candidates,
                                       base::TermNumber recordTerm,
                                       base::LogPosition recordBase) {
  auto rank = [&](const Candidate &it) {
    bool leads = !it.Present && isLeading(it.Status, recordTerm, false);
    bool divergent =
        it.Status.Received.Term < recordTerm && it.Status.Received > recordBase;
    return std::tuple(leads, leads ? it.Status.Term : 0, !divergent,
                      !it.Leaving, !it.Present, it.Status.Received);
  };
  auto best = std::ranges::max_element(candidates, {}, rank);
  return best == candidates.end() ? std::nullopt : std::optional(*best);
}

bool isLeading(const sql::ServerStatus &status, base::TermNumber recordTerm,
               bool isPresentPrimary) {
  if (status.Role != sql::ServerRole::Primary)
    return false;
  return isPresentPrimary ? status.Term >= recordTerm
                          : status.Term > recordTerm;
}

} // namespace baobabpin::cluster
