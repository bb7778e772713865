#include "baobabpin/cluster/MoveDecision.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace baobabpin::cluster {

bool isSuspect(const PrimaryObservation &own) {
  if (own.Leaving)
    return true;
  if (own.Unsure)
    return false;
  if (!own.PrimaryReplyAge)
    return own.Unreachable;
  if (own.Unreachable && *own.PrimaryReplyAge > SuspectUnreachableAfter)
    return true;
  return *own.PrimaryReplyAge > SuspectAfter;
}

std::string_view failoverVerdictName(FailoverVerdict verdict) {
  switch (verdict) {
  case FailoverVerdict::KeepPrimary:
    return "stay";
  case FailoverVerdict::DeferToOther:
    return "leave_to_another";
  case FailoverVerdict::StartFailover:
    return "move";
  case FailoverVerdict::Undecided:
    break;
  }
  return "not_sure";
}

namespace {

/// Returns the number of peers that know whether the primary is alive.
std::size_t countKnowing(const FailoverEvidence &evidence) {
  return static_cast<std::size_t>(std::ranges::count_if(
      evidence.Peers, [](const PeerEvidence &it) { return !it.Unsure; }));
}

/// Returns whether at least half of the nodes that know, this one included,
/// have a recent reply from the primary.
bool isConfirmedAlive(const FailoverEvidence &evidence) {
  std::size_t aliveReports = isSuspect(evidence.Own) ? 0 : 1;
  for (const auto &it : evidence.Peers) {
    if (!it.Unsure && it.PrimaryReplyAge && *it.PrimaryReplyAge < AliveReplyAge)
      ++aliveReports;
  }
  return 2 * aliveReports >= countKnowing(evidence) + 1;
}

/// The holder of the promotion duty keeps it while it reaches the store, so
/// that the duty does not change hands without need. Otherwise the first node
/// by name takes it.
std::string chooseCoordinator(const FailoverEvidence &evidence, bool needed) {
  std::vector<std::string> capable;
  if (evidence.SelfCanCoordinate)
    capable.push_back(evidence.Self);
  for (const auto &it : evidence.Peers) {
    // A peer that is unsure would not start the failover.
    if (it.CanCoordinate && (needed || !it.Unsure))
      capable.push_back(it.Node);
  }
  if (capable.empty())
    return {};
  if (std::ranges::find(capable, evidence.DutyHolder) != capable.end())
    return evidence.DutyHolder;
  return *std::ranges::min_element(capable);
}

} // namespace

void noteDutyHolder(DutyHistory &history, const std::string &self,
                    const std::string &holder, base::BootTime now) {
  if (holder == self)
    history.LostAt.reset();
  else if (history.Holder == self && !holder.empty())
    history.LostAt = now;
  history.Holder = holder;
}

bool mayHoldDuty(const DutyHistory &history, base::BootTime now) {
  return !history.LostAt || now - *history.LostAt >= DutyReturnDelay;
}

FailoverVerdict decideFailover(const FailoverEvidence &evidence) {
  bool busy = std::ranges::any_of(evidence.Peers, [](const PeerEvidence &it) {
    return it.FailoverInProgress;
  });
  if (busy)
    return FailoverVerdict::KeepPrimary;
  bool needed = evidence.Own.Leaving || evidence.TakingOver;
  if (!needed && isConfirmedAlive(evidence))
    return FailoverVerdict::KeepPrimary;
  if (!needed && evidence.Own.Unsure)
    return FailoverVerdict::Undecided;
  std::size_t heard = needed ? evidence.Peers.size() : countKnowing(evidence);
  bool isolated = 2 * heard < evidence.PeersAsked;
  bool delayPassed = evidence.Own.PrimaryReplyAge.value_or(IsolatedNodeDelay) >=
                     IsolatedNodeDelay;
  if (isolated && !needed && !delayPassed)
    return FailoverVerdict::Undecided;
  std::string coordinator = chooseCoordinator(evidence, needed);
  if (coordinator.empty())
    return FailoverVerdict::Undecided;
  return coordinator == evidence.Self ? FailoverVerdict::StartFailover
                                      : FailoverVerdict::DeferToOther;
}

namespace {

/// Whether an earlier attempt of the failover has promoted the server.
bool leadsLaterTerm(const Candidate &it, const PromotionContext &context) {
  return !it.IsCurrentPrimary &&
         isLeading(it.Status, context.RecordTerm, false);
}

/// Whether the server holds, or may hold, commits that an earlier promotion
/// discarded.
bool isDivergent(const Candidate &it, const PromotionContext &context) {
  base::LogPosition end = it.Status.Received;
  if (it.IsCurrentPrimary || end.Term >= context.RecordTerm || end.Index == 0)
    return false;
  // The log of each later term begins with what the first of them kept.
  const TermStart *next = termAfter(context.Terms, end.Term);
  bool isKept =
      next && next->Position.Term == end.Term && end <= next->Position;
  return !isKept;
}

/// Whether the server has every acknowledged commit. A server that an earlier
/// attempt has promoted had them when it was chosen.
bool hasAcknowledgedCommits(const Candidate &it,
                            const std::vector<Candidate> &candidates,
                            const PromotionContext &context) {
  if (context.SyncReplicas <= 0 || it.IsCurrentPrimary ||
      leadsLaterTerm(it, context))
    return true;
  auto isBehind = [&](const Candidate &other) {
    return !isDivergent(other, context) &&
           it.Status.Received < other.Status.Received;
  };
  auto current = std::ranges::find_if(candidates, &Candidate::IsCurrentPrimary);
  if (current != candidates.end() && !isBehind(*current))
    return true;
  bool isEachCommitHeard =
      std::cmp_less(context.UnheardReplicas, context.SyncReplicas);
  return isEachCommitHeard &&
         std::ranges::none_of(candidates, [&](const Candidate &other) {
           return !other.IsCurrentPrimary && isBehind(other);
         });
}

} // namespace

std::optional<Candidate> choosePrimary(const std::vector<Candidate> &candidates,
                                       const PromotionContext &context) {
  std::vector<Candidate> eligible;
  for (const auto &it : candidates) {
    bool mayLead = leadsLaterTerm(it, context) || !isDivergent(it, context);
    if (!it.Unregistered && mayLead &&
        hasAcknowledgedCommits(it, candidates, context))
      eligible.push_back(it);
  }
  auto serving = eligible;
  std::erase_if(serving, &Candidate::EndsSoon);
  // Without SyncReplicas, each of the others that does not end soon may lead.
  bool othersLackCommits =
      serving.empty() && std::ranges::any_of(candidates, [](const auto &it) {
        return !it.EndsSoon && !it.Unregistered;
      });
  if (!othersLackCommits || context.SyncReplicas == 0)
    eligible = std::move(serving);
  auto rank = [&](const Candidate &it) {
    bool leads = leadsLaterTerm(it, context);
    return std::tuple(leads, leads ? it.Status.Term : 0,
                      -it.PromotionsWithoutEffect, !it.Leaving,
                      !it.IsCurrentPrimary, it.Status.Received);
  };
  auto best = std::ranges::max_element(eligible, {}, rank);
  return best == eligible.end() ? std::nullopt : std::optional(*best);
}

std::optional<Candidate>
findRestartedPrimary(const std::vector<Candidate> &candidates,
                     const PromotionContext &context) {
  bool hasReplied =
      std::ranges::any_of(candidates, &Candidate::IsCurrentPrimary);
  // The record of a group's first primary does not know its term.
  if (hasReplied || context.RecordTerm == 0)
    return std::nullopt;
  base::LogPosition start;
  if (!context.Terms.empty())
    start = context.Terms.back().Position;
  auto leads = [&](const Candidate &it) {
    return !it.Unregistered && it.Status.Role == sql::ServerRole::Primary &&
           it.Status.Term == context.RecordTerm && it.Status.Received >= start;
  };
  auto leader = std::ranges::find_if(candidates, leads);
  if (std::ranges::count_if(candidates, leads) != 1)
    return std::nullopt;
  return *leader;
}

std::optional<Candidate> findLeader(const std::vector<Candidate> &replies,
                                    std::size_t asked,
                                    base::TermNumber knownTerm) {
  if (replies.empty() || replies.size() < asked)
    return std::nullopt;
  auto newestTerm = knownTerm;
  for (const auto &it : replies)
    newestTerm =
        std::max({newestTerm, it.Status.Term, it.Status.Received.Term});
  auto leads = [newestTerm](const Candidate &it) {
    return it.Status.Role == sql::ServerRole::Primary &&
           it.Status.Term == newestTerm;
  };
  auto leader = std::ranges::find_if(replies, leads);
  bool single = std::ranges::count_if(replies, leads) == 1;
  return single ? std::optional(*leader) : std::nullopt;
}

std::vector<TermStart> knownTerms(const GroupRecord &record) {
  auto terms = record.EarlierTerms;
  terms.push_back({record.Term, record.StartPosition});
  return terms;
}

void recordPrimary(GroupRecord &record, const base::ServerId &leader,
                   std::int64_t startedMs, base::TermNumber term,
                   base::LogPosition start) {
  ++record.Epoch;
  record.Primary = leader;
  record.PrimaryStartedMs = startedMs;
  record.FailoverInProgress = false;
  record.Coordinator.clear();
  if (term == record.Term)
    return;
  record.EarlierTerms = knownTerms(record);
  if (record.EarlierTerms.size() > MaxEarlierTerms)
    record.EarlierTerms.erase(record.EarlierTerms.begin());
  record.Term = term;
  record.StartPosition = start;
}

std::optional<base::LogPosition> startOfTerm(const sql::ServerStatus &leader) {
  if (leader.Received.Term >= leader.Term)
    return std::nullopt;
  return leader.Received;
}

bool isLeading(const sql::ServerStatus &status, base::TermNumber recordTerm,
               bool isCurrentPrimary) {
  if (status.Role != sql::ServerRole::Primary)
    return false;
  return isCurrentPrimary ? status.Term >= recordTerm
                          : status.Term > recordTerm;
}

} // namespace baobabpin::cluster
